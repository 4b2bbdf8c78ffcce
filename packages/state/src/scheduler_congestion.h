// Defines SchedulerCongestion, with which a SchedulerService paces its orders
// and names the share of new jobs that it admits, where its link is scarce.

#ifndef SEQUOIAPATH_STATE_SCHEDULER_CONGESTION_H_
#define SEQUOIAPATH_STATE_SCHEDULER_CONGESTION_H_

#include <cstdint>

#include "sequoiapath/coordination/admission_share.h"
#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath::internal {

// Thread safety: loop thread only.
struct SchedulerCongestion {
  // Rate of the VM's link; zero if it is not known.
  std::uint64_t link_bytes_per_second = 0;
  AdmissionShare admission;
  std::uint64_t refused_jobs = 0;  // By the scheduler, because of its link.
};

// Sets the rate of the scheduler's link budget and adapts the share. Logs when
// the link becomes congested and when it no longer is. Call it every 20 ms.
void ObserveLink(SchedulerCongestion* congestion, TaskScheduler* scheduler,
                 TimePoint now);

// Records a heartbeat that this daemon sent and its round trip; its timeout if
// there was no reply.
void RecordHeartbeat(SchedulerCongestion* congestion, TaskScheduler* scheduler,
                     Duration round_trip, TimePoint now);

// Returns whether a submission is refused because start orders wait too long
// for the link. Only jobs of which nothing can have been started are refused.
bool ShedsForLink(SchedulerCongestion* congestion,
                  const TaskScheduler& scheduler, const StepJob& job);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_SCHEDULER_CONGESTION_H_
