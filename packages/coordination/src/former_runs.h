// Declares when the tasks of a resubmitted job may start: once the runs that
// former schedulers started are known from the workers' reports, or once they
// must have ended.

#ifndef SEQUOIAPATH_COORDINATION_FORMER_RUNS_H_
#define SEQUOIAPATH_COORDINATION_FORMER_RUNS_H_

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Returns whether tasks of the job may start now. Checks the reports of all
// workers at most once per 20 ms: after a takeover many jobs wait, and a check
// of all workers for each job in each pass would take longer than the interval
// between passes. Logs the decision that ends the wait.
bool MayStartTasks(TaskScheduler* scheduler, ScheduledJob* job, TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_FORMER_RUNS_H_
