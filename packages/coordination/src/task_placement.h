// Defines the choice of a worker for a task.

#ifndef SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_
#define SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// When a caller may try again with a job that no listed worker can run.
constexpr std::chrono::milliseconds kNeverFitsRetryDelay{60'000};

// Says whether some listed worker could run each step of the job if it were
// idle. True while no worker of the service is known.
bool CanEverRun(const TaskScheduler& scheduler, const StepJob& job);

// A worker that has room.
struct PlacementCandidate {
  WorkerRuns* worker = nullptr;
  std::int64_t free_milli_cores = 0;
  // Room that the worker's speed is worth.
  double speed_bonus_milli_cores = 0;
  std::optional<bool> healthy;  // Nothing until it is asked for.
};

// The workers that tasks may be placed on during one pass.
struct PlacementView {
  std::vector<PlacementCandidate> candidates;
  std::int64_t largest_free_milli_cores = 0;  // In milli-cores.
};

// Returns the workers that may be used and have at least `smallest_demand`
// milli-cores left.
PlacementView FindCandidates(const TaskScheduler& scheduler,
                             std::int64_t smallest_demand, TimePoint now);

// Returns the worker that the task should start on now, or null if none has
// room. Its room in the view shrinks by the task's demand.
WorkerRuns* ChooseWorker(const TaskScheduler& scheduler, PlacementView* view,
                         const ScheduledJob& job, const TaskName& task,
                         TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_
