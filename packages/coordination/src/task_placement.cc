#include "task_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sequoiapath {
namespace internal {
namespace {

// A worker this much faster than another is worth the waste of so many
// milli-cores of room.
constexpr double kMilliCoresPerDoubledSpeed = 4000;
// A task avoids the worker that it failed on, unless all others are this full.
constexpr double kRepeatPenaltyMilliCores = 1e6;
// Waste that a task accepts to run near its data.
constexpr double kRackBonusMilliCores = 1e5;

bool HasLabel(const WorkerRuns& worker, const std::string& label) {
  const auto& labels = worker.description.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool IsAllowed(const WorkerRuns& worker, const StepJob& job,
               const JobStep& step) {
  if (worker.description.service != job.service) return false;
  return step.required_label.empty() || HasLabel(worker, step.required_label);
}

// Says whether new tasks may start on the worker.
bool IsUsable(const TaskScheduler& scheduler, const WorkerRuns& worker,
              TimePoint now) {
  if (worker.claim != ClaimState::kClaimed || worker.unanswered_renewals > 0 ||
      worker.orphans > 0 || worker.replaced || worker.description.draining ||
      !worker.clock_known) {
    return false;
  }
  if (now < worker.slow_until || now < worker.blocked_until) return false;
  if (!worker.listed &&
      now - worker.unlisted_at > scheduler.times.unlisted_grace) {
    return false;
  }
  return !scheduler.partial ||
         scheduler.home_workers.contains(worker.description.id);
}

std::size_t RunsOfStep(const WorkerRuns& worker, const TaskName& task) {
  const TaskName first{task.job, task.step, 0};
  std::size_t count = 0;
  for (auto it = worker.runs.lower_bound(first);
       it != worker.runs.end() && it->first.job == task.job &&
       it->first.step == task.step;
       ++it) {
    ++count;
  }
  return count;
}

bool HasRoom(const WorkerRuns& worker, const JobStep& step,
             const TaskName& task) {
  if (!Fits(step.demand, FreeCapacity(worker))) return false;
  const std::uint32_t slots = worker.description.slots;
  if (slots > 0 && worker.runs.size() >= slots) return false;
  if (worker.runs.contains(task)) return false;
  return step.max_per_worker == 0 ||
         RunsOfStep(worker, task) < step.max_per_worker;
}

// Smaller is better: little room is left over, and the worker is fast.
double Score(const PlacementCandidate& candidate, const JobStep& step,
             const ScheduledTask& task) {
  const WorkerRuns& worker = *candidate.worker;
  double score = static_cast<double>(candidate.free_milli_cores -
                                     step.demand.milli_cores) -
                 candidate.speed_bonus;
  if (!step.preferred_rack.empty() && HasLabel(worker, step.preferred_rack)) {
    score -= kRackBonusMilliCores;
  }
  if (!task.last_worker.empty() && task.last_worker == worker.description.id) {
    score += kRepeatPenaltyMilliCores;
  }
  return score;
}

// Says whether the worker's earlier tasks allow a new one.
bool IsHealthy(const TaskScheduler& scheduler, PlacementCandidate* candidate,
               TimePoint now) {
  if (!candidate->healthy) {
    candidate->healthy =
        IsEligible(scheduler.health, candidate->worker->description.id,
                   /*idempotent=*/true, now);
  }
  return *candidate->healthy;
}

void UpdateLargestRoom(PlacementView* view) {
  view->largest_room = 0;
  for (const PlacementCandidate& candidate : view->candidates) {
    view->largest_room =
        std::max(view->largest_room, candidate.free_milli_cores);
  }
}

}  // namespace

bool CanEverRun(const TaskScheduler& scheduler, const StepJob& job) {
  bool any_worker = false;
  std::vector<bool> possible(job.steps.size(), false);
  std::size_t missing = job.steps.size();
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (worker->description.service != job.service) continue;
    any_worker = true;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
      const JobStep& step = job.steps[s];
      if (possible[s] || !IsAllowed(*worker, job, step) ||
          !Fits(step.demand, worker->description.capacity)) {
        continue;
      }
      possible[s] = true;
      --missing;
    }
    if (missing == 0) return true;
  }
  return !any_worker;
}

PlacementView FindRoom(const TaskScheduler& scheduler,
                       std::int64_t smallest_demand, TimePoint now) {
  PlacementView view;
  for (WorkerRuns* worker : scheduler.worker_list) {
    const std::int64_t room = FreeCapacity(*worker).milli_cores;
    if (room < smallest_demand || !IsUsable(scheduler, *worker, now)) continue;
    view.candidates.push_back(
        {worker, room,
         kMilliCoresPerDoubledSpeed * std::log2(std::max(worker->speed, 0.05)),
         std::nullopt});
  }
  UpdateLargestRoom(&view);
  return view;
}

WorkerRuns* ChooseWorker(const TaskScheduler& scheduler, PlacementView* view,
                         const ScheduledJob& job, const TaskName& task,
                         TimePoint now) {
  const JobStep& step = job.job.steps[task.step];
  const ScheduledTask& state = job.steps[task.step].tasks[task.index];
  PlacementCandidate* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (PlacementCandidate& candidate : view->candidates) {
    if (candidate.free_milli_cores < step.demand.milli_cores) continue;
    const double score = Score(candidate, step, state);
    if (score >= best_score || !HasRoom(*candidate.worker, step, task) ||
        !IsAllowed(*candidate.worker, job.job, step) ||
        !IsHealthy(scheduler, &candidate, now)) {
      continue;
    }
    best = &candidate;
    best_score = score;
  }
  if (best == nullptr) return nullptr;
  best->free_milli_cores -= step.demand.milli_cores;
  // A new task counts against a worker that is on probation.
  best->healthy.reset();
  UpdateLargestRoom(view);
  return best->worker;
}

}  // namespace internal

std::optional<std::chrono::milliseconds> ExpectedWait(
    const TaskScheduler& scheduler, const StepJob& job, TimePoint now) {
  double cores = 0;
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (worker->description.service != job.service ||
        !internal::IsUsable(scheduler, *worker, now)) {
      continue;
    }
    cores += static_cast<double>(worker->description.capacity.milli_cores);
  }
  if (cores <= 0) return std::nullopt;
  double ahead = 0;
  for (const auto& [key, other] : scheduler.queue) {
    if (key.lateness != Lateness::kInTime || key.priority > job.priority) break;
    for (std::size_t s = 0; s < other->steps.size(); ++s) {
      const JobStep& step = other->job.steps[s];
      ahead += static_cast<double>(other->steps[s].waiting) *
               static_cast<double>(step.demand.milli_cores) *
               static_cast<double>(step.estimate.count());
    }
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(ahead / cores));
}

}  // namespace sequoiapath
