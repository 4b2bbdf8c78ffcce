// Computes from the state of a job's tasks what is left to do.

#ifndef SEQUOIAPATH_COORDINATION_JOB_PROGRESS_H_
#define SEQUOIAPATH_COORDINATION_JOB_PROGRESS_H_

#include <chrono>
#include <cstddef>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Returns whether all steps that the step depends on have ended.
bool IsReady(const ScheduledJob& job, std::size_t step);

// Returns the largest sum of estimates along a chain of dependent steps,
// counting only steps with waiting tasks.
std::chrono::milliseconds RemainingCriticalPath(const ScheduledJob& job);

// Returns the bytes that a start order of the job uses on the link.
std::size_t StartOrderBytes(const TaskScheduler& scheduler,
                            const ScheduledJob& job);

// Returns the bytes of the start orders of all ready tasks that wait.
std::size_t WaitingOrderBytes(const TaskScheduler& scheduler,
                              const ScheduledJob& job);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_JOB_PROGRESS_H_
