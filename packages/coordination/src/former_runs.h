// Declares when the tasks of a resubmitted job may start: once the runs that
// former schedulers started are known from the workers' reports, or once they
// must have ended.

#ifndef SEQUOIAPATH_COORDINATION_FORMER_RUNS_H_
#define SEQUOIAPATH_COORDINATION_FORMER_RUNS_H_

#include <optional>
#include <string>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// What the reports of all workers show together.
struct ReportSummary {
  // Why the reports of `worker` do not show its runs at present; null if the
  // reports of all workers do.
  const char* missing_reason = nullptr;
  // When the oldest of the workers' latest reports was requested, from
  // `worker`; the latest time if there is no worker.
  TimePoint oldest_request = TimePoint::max();
  std::string worker;
};

// Returns the summary of the workers' latest reports.
ReportSummary SummarizeReports(const TaskScheduler& scheduler);

// Returns whether tasks of the job may start now, and logs the decision that
// ends the wait. After a takeover many jobs wait, and a look at all workers for
// each of them would take longer than the interval between passes. `reports` is
// therefore computed for the first waiting job of a pass and used for the
// others.
bool MayStartTasks(TaskScheduler* scheduler,
                   std::optional<ReportSummary>* reports, ScheduledJob* job,
                   TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_FORMER_RUNS_H_
