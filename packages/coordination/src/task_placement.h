// Defines the choice of a worker for a task.

#ifndef SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_
#define SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_

#include <chrono>
#include <cstdint>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// When a caller may try again with a job that no listed worker can run.
constexpr std::chrono::milliseconds kNeverFitsRetry{60'000};

// Says whether some listed worker could run each step of the job if it were
// idle. True while no worker of the service is known.
bool CanEverRun(const TaskScheduler& scheduler, const StepJob& job);

// Returns the worker that the task should start on now, or null if none has
// room.
WorkerRuns* ChooseWorker(TaskScheduler* scheduler, const ScheduledJob& job,
                         const TaskName& task, TimePoint now);

// Returns the largest number of free milli-cores on a worker that may be used.
std::int64_t LargestRoom(const TaskScheduler& scheduler, TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_
