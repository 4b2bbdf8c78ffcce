// Declares when a scheduler may work on a job: as long as the daemon that
// submitted the job is known to be alive and to wait for the answer.

#ifndef SEQUOIAPATH_COORDINATION_DAEMON_CONFIRMATIONS_H_
#define SEQUOIAPATH_COORDINATION_DAEMON_CONFIRMATIONS_H_

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Returns whether the job's daemon was confirmed within `daemon_timeout`. True
// for a job without a daemon.
bool IsDaemonConfirmed(const TaskScheduler& scheduler, const ScheduledJob& job,
                       TimePoint now);

// Returns the end of a lease that is granted at `now`, on the worker's clock:
// the usual one, or an earlier one if the confirmation of a daemon is old whose
// job runs on the worker or is `starting` there; `starting` may be null. Zero
// if the worker's clock is not known.
WorkerTime ConfirmedLeaseEnd(const TaskScheduler& scheduler,
                             const WorkerRuns& worker,
                             const ScheduledJob* starting, TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_DAEMON_CONFIRMATIONS_H_
