// Declares when a job is answered although its tasks have not ended.

#ifndef SEQUOIAPATH_COORDINATION_JOB_EXPIRY_H_
#define SEQUOIAPATH_COORDINATION_JOB_EXPIRY_H_

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Returns whether the job must be answered now: it cannot end before its caller
// stops waiting, or nothing of it has started and all workers of its service
// are in evacuated data centres.
bool MustEnd(const TaskScheduler& scheduler, const ScheduledJob& job,
             TimePoint now);

// Returns the answer to a job for which MustEnd is true.
StepJobAnswer ExpiryAnswer(const TaskScheduler& scheduler,
                           const ScheduledJob& job);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_JOB_EXPIRY_H_
