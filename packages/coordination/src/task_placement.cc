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
  if (worker.claim != ClaimState::kClaimed || worker.unanswered > 0 ||
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
  if (!Fits(step.demand, FreeRoom(worker))) return false;
  const std::uint32_t slots = worker.description.slots;
  if (slots > 0 && worker.runs.size() >= slots) return false;
  if (worker.runs.contains(task)) return false;
  return step.max_per_worker == 0 ||
         RunsOfStep(worker, task) < step.max_per_worker;
}

// Smaller is better: little room is left over, and the worker is fast.
double Score(const WorkerRuns& worker, const JobStep& step,
             const ScheduledTask& task) {
  const Resources room = FreeRoom(worker);
  auto score = static_cast<double>(room.milli_cores - step.demand.milli_cores);
  score -= kMilliCoresPerDoubledSpeed * std::log2(std::max(worker.speed, 0.05));
  if (!step.preferred_rack.empty() && HasLabel(worker, step.preferred_rack)) {
    score -= kRackBonusMilliCores;
  }
  if (task.last_worker == worker.description.id) {
    score += kRepeatPenaltyMilliCores;
  }
  return score;
}

}  // namespace

bool CanEverRun(const TaskScheduler& scheduler, const StepJob& job) {
  bool any_worker = false;
  std::vector<bool> possible(job.steps.size(), false);
  for (const auto& [id, worker] : scheduler.workers) {
    if (worker.description.service != job.service) continue;
    any_worker = true;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
      const JobStep& step = job.steps[s];
      if (IsAllowed(worker, job, step) &&
          Fits(step.demand, worker.description.capacity)) {
        possible[s] = true;
      }
    }
  }
  if (!any_worker) return true;
  return std::all_of(possible.begin(), possible.end(),
                     [](bool step) { return step; });
}

WorkerRuns* ChooseWorker(TaskScheduler* scheduler, const ScheduledJob& job,
                         const TaskName& task, TimePoint now) {
  const JobStep& step = job.job.steps[task.step];
  WorkerRuns* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (auto& [id, worker] : scheduler->workers) {
    if (!HasRoom(worker, step, task) || !IsUsable(*scheduler, worker, now) ||
        !IsAllowed(worker, job.job, step) ||
        !IsEligible(scheduler->health, id, /*idempotent=*/true, now)) {
      continue;
    }
    const double score =
        Score(worker, step, job.steps[task.step].tasks[task.index]);
    if (score >= best_score) continue;
    best = &worker;
    best_score = score;
  }
  return best;
}

std::int64_t LargestRoom(const TaskScheduler& scheduler, TimePoint now) {
  std::int64_t largest = 0;
  for (const auto& [id, worker] : scheduler.workers) {
    if (!IsUsable(scheduler, worker, now)) continue;
    largest = std::max(largest, FreeRoom(worker).milli_cores);
  }
  return largest;
}

}  // namespace internal

std::optional<std::chrono::milliseconds> ExpectedWait(
    const TaskScheduler& scheduler, const StepJob& job, TimePoint now) {
  double cores = 0;
  for (const auto& [id, worker] : scheduler.workers) {
    if (worker.description.service != job.service ||
        !internal::IsUsable(scheduler, worker, now)) {
      continue;
    }
    cores += static_cast<double>(worker.description.capacity.milli_cores);
  }
  if (cores <= 0) return std::nullopt;
  double ahead = 0;
  for (const auto& [key, other] : scheduler.queue) {
    if (std::get<int>(key) > job.priority) break;
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
