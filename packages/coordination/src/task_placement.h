// Declares the functions that choose a worker for a task.

#ifndef SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_
#define SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Delay after which a caller may retry a job that no listed worker can run.
constexpr std::chrono::milliseconds kNeverFitsRetryDelay{60'000};

// Returns whether the worker serves the job's service and has the label that
// the step requires.
bool IsAllowed(const WorkerRuns& worker, const StepJob& job,
               const JobStep& step);

// Returns whether each step of the job has a listed worker that could run its
// tasks if it were idle. Returns true while no worker of the service is known.
bool CanEverRun(const TaskScheduler& scheduler, const StepJob& job);

// A usable worker with free capacity.
struct PlacementCandidate {
  WorkerRuns* worker = nullptr;
  std::int64_t free_milli_cores = 0;
  // Subtracted from the placement cost of a fast worker; negative for a worker
  // that is slower than the estimates.
  double speed_bonus_milli_cores = 0;
  std::optional<bool> healthy;  // Empty until the first check.
};

// How many more suspects may start in one placement pass.
struct SuspectLimit {
  std::size_t workers = 0;      // Workers that are listed.
  std::size_t unavailable = 0;  // Workers that do not answer.
  std::size_t runs = 0;         // Runs of suspects.
};

// The workers that may get tasks in one placement pass, with the capacity left
// by the placements of this pass.
struct PlacementView {
  std::vector<PlacementCandidate> candidates;
  std::int64_t largest_free_milli_cores = 0;  // Of the candidates.
  bool link_is_busy = false;  // The budget for start orders is used up.
  SuspectLimit suspects;
};

// Returns the workers that new tasks may start on and that have at least
// `smallest_demand` milli-cores free.
PlacementView FindCandidates(const TaskScheduler& scheduler,
                             std::int64_t smallest_demand, TimePoint now);

// Returns the worker that the task should start on now, or null if no candidate
// can take it. Subtracts the task's demand from the chosen worker's free
// capacity in `view`.
WorkerRuns* ChooseWorker(const TaskScheduler& scheduler, PlacementView* view,
                         const ScheduledJob& job, const TaskName& task,
                         TimePoint now);

// Returns the milli-cores that tasks of the given demand can use at the same
// time on the workers of the service that may get new tasks. A worker runs
// whole tasks only.
double WholeTaskMilliCores(const TaskScheduler& scheduler,
                           const std::string& service,
                           std::int64_t task_milli_cores, TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_TASK_PLACEMENT_H_
