#include "task_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "evacuated_workers.h"
#include "sequoiapath/coordination/worker_capacity.h"
#include "worker_crashes.h"

namespace sequoiapath {
namespace internal {
namespace {

// Milli-cores that a placement may leave unused in exchange for a worker of
// twice the speed.
constexpr double kMilliCoresPerDoubledSpeed = 4000;
// Placement cost of the worker of the task's previous run. It exceeds all other
// costs, so that the task is repeated there only if no other worker can take
// it.
constexpr double kRepeatPenaltyMilliCores = 1e6;
// Reduction of the placement cost of workers in the task's preferred rack,
// which holds its data.
constexpr double kRackBonusMilliCores = 1e5;
// Placement cost of a cold worker. It exceeds the rack bonus, so that a cold
// worker is used only if no other worker has room.
constexpr double kColdPenaltyMilliCores = 5e5;

bool HasLabel(const WorkerRuns& worker, const std::string& label) {
  const auto& labels = worker.description.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Returns whether new tasks may start on the worker.
bool IsUsable(const TaskScheduler& scheduler, const WorkerRuns& worker,
              TimePoint now) {
  if (worker.claim != ClaimState::kClaimed || worker.unanswered_renewals > 0 ||
      worker.orphans > 0 || worker.replaced || worker.description.draining ||
      !worker.clock_known || !RecordIsOfReportedProcess(worker) ||
      IsInEvacuatedDataCentre(scheduler, worker)) {
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

// Returns whether the task may start on the worker now. A suspect needs a
// worker without runs.
bool CanAccept(const WorkerRuns& worker, const JobStep& step,
               const TaskName& task, bool suspect) {
  if (suspect ? !worker.runs.empty() : RunsSuspect(worker)) return false;
  if (!Fits(step.demand, FreeCapacity(worker))) return false;
  const std::uint32_t slots = worker.description.slots;
  if (slots > 0 && worker.runs.size() >= slots) return false;
  if (worker.runs.contains(task)) return false;
  return step.max_per_worker == 0 ||
         RunsOfStep(worker, task) < step.max_per_worker;
}

// Returns the cost of placing the task on the candidate, in milli-cores; the
// lowest cost is best. The cost is lower the fewer milli-cores the task leaves
// free on the worker (best fit), and lower for a faster worker.
double PlacementCost(const PlacementCandidate& candidate, const JobStep& step,
                     const ScheduledTask& task, TimePoint now) {
  const WorkerRuns& worker = *candidate.worker;
  double cost = static_cast<double>(candidate.free_milli_cores -
                                    step.demand.milli_cores) -
                candidate.speed_bonus_milli_cores;
  if (!step.preferred_rack.empty() && HasLabel(worker, step.preferred_rack)) {
    cost -= kRackBonusMilliCores;
  }
  if (now < worker.cold_until) cost += kColdPenaltyMilliCores;
  if (!task.last_worker.empty() && task.last_worker == worker.description.id) {
    cost += kRepeatPenaltyMilliCores;
  }
  return cost;
}

// Returns whether the worker's recent failures allow a new task on it. The
// result is kept in `candidate` until a task is placed on the worker. An
// unhealthy candidate gets no further task in this pass, so that the other
// waiting tasks do not examine it again.
bool IsHealthy(const TaskScheduler& scheduler, PlacementCandidate* candidate,
               TimePoint now) {
  if (!candidate->healthy) {
    candidate->healthy =
        IsEligible(scheduler.health, candidate->worker->description.id,
                   /*idempotent=*/true, now);
    if (!*candidate->healthy) candidate->free_milli_cores = 0;
  }
  return *candidate->healthy;
}

void UpdateLargestFreeMilliCores(PlacementView* view) {
  view->largest_free_milli_cores = 0;
  for (const PlacementCandidate& candidate : view->candidates) {
    view->largest_free_milli_cores =
        std::max(view->largest_free_milli_cores, candidate.free_milli_cores);
  }
}

// Keeps the candidate with the fewest runs that could run a suspect free of
// further tasks in this pass, so that it soon has no runs.
void ReserveWorker(PlacementView* view, const StepJob& job,
                   const JobStep& step) {
  PlacementCandidate* fewest = nullptr;
  for (PlacementCandidate& candidate : view->candidates) {
    const WorkerRuns& worker = *candidate.worker;
    if (candidate.free_milli_cores == 0 || !IsAllowed(worker, job, step) ||
        !Fits(step.demand, CurrentCapacity(worker))) {
      continue;
    }
    if (fewest == nullptr || worker.runs.size() < fewest->worker->runs.size()) {
      fewest = &candidate;
    }
  }
  if (fewest == nullptr) return;
  fewest->free_milli_cores = 0;
  UpdateLargestFreeMilliCores(view);
}

}  // namespace

bool IsAllowed(const WorkerRuns& worker, const StepJob& job,
               const JobStep& step) {
  if (worker.description.service != job.service) return false;
  return step.required_label.empty() || HasLabel(worker, step.required_label);
}

bool CanEverRun(const TaskScheduler& scheduler, const StepJob& job) {
  bool any_worker = false;
  std::vector<bool> possible(job.steps.size(), false);
  std::size_t steps_left = job.steps.size();
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (worker->description.service != job.service) continue;
    any_worker = true;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
      const JobStep& step = job.steps[s];
      if (possible[s] || !IsAllowed(*worker, job, step) ||
          !Fits(step.demand, CurrentCapacity(*worker))) {
        continue;
      }
      possible[s] = true;
      --steps_left;
    }
    if (steps_left == 0) return true;
  }
  return !any_worker;
}

PlacementView FindCandidates(const TaskScheduler& scheduler,
                             std::int64_t smallest_demand, TimePoint now) {
  PlacementView view;
  if (WithholdsAllStarts(scheduler.evacuations, now)) return view;
  for (WorkerRuns* worker : scheduler.worker_list) {
    CountWorker(*worker, &view.suspects);
    if (RunsSuspect(*worker)) continue;
    const std::int64_t free_milli_cores = FreeCapacity(*worker).milli_cores;
    if (free_milli_cores < smallest_demand ||
        !IsUsable(scheduler, *worker, now)) {
      continue;
    }
    view.candidates.push_back(
        {worker, free_milli_cores,
         kMilliCoresPerDoubledSpeed * std::log2(std::max(worker->speed, 0.05)),
         std::nullopt});
  }
  UpdateLargestFreeMilliCores(&view);
  return view;
}

WorkerRuns* ChooseWorker(const TaskScheduler& scheduler, PlacementView* view,
                         const ScheduledJob& job, const TaskName& task,
                         TimePoint now) {
  const JobStep& step = job.job.steps[task.step];
  const ScheduledTask& state = job.steps[task.step].tasks[task.index];
  const bool suspect = job.has_crashes && IsSuspect(scheduler, task);
  PlacementCandidate* best = nullptr;
  double lowest_cost = std::numeric_limits<double>::max();
  for (PlacementCandidate& candidate : view->candidates) {
    if (candidate.free_milli_cores < step.demand.milli_cores) continue;
    const double cost = PlacementCost(candidate, step, state, now);
    if (cost >= lowest_cost ||
        !CanAccept(*candidate.worker, step, task, suspect) ||
        !IsAllowed(*candidate.worker, job.job, step) ||
        !IsHealthy(scheduler, &candidate, now)) {
      continue;
    }
    best = &candidate;
    lowest_cost = cost;
  }
  if (best == nullptr) {
    UpdateLargestFreeMilliCores(view);
    if (suspect) ReserveWorker(view, job.job, step);
    return nullptr;
  }
  if (suspect) ++view->suspects.runs;
  best->free_milli_cores -= step.demand.milli_cores;
  // The worker may be ejected and the placed task its trial, which makes it
  // ineligible for another task. Its health is therefore checked again for the
  // next task.
  best->healthy.reset();
  UpdateLargestFreeMilliCores(view);
  return best->worker;
}

double WholeTaskMilliCores(const TaskScheduler& scheduler,
                           const std::string& service,
                           std::int64_t task_milli_cores, TimePoint now) {
  if (task_milli_cores <= 0) return 0;
  std::int64_t tasks = 0;
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (worker->description.service != service ||
        !IsUsable(scheduler, *worker, now)) {
      continue;
    }
    tasks += CurrentCapacity(*worker).milli_cores / task_milli_cores;
  }
  return static_cast<double>(tasks * task_milli_cores);
}

}  // namespace internal

std::optional<std::chrono::milliseconds> ExpectedWait(
    const TaskScheduler& scheduler, const StepJob& job, TimePoint now) {
  double milli_cores = 0;
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (worker->description.service != job.service ||
        !internal::IsUsable(scheduler, *worker, now)) {
      continue;
    }
    const auto capacity =
        static_cast<double>(CurrentCapacity(*worker).milli_cores);
    milli_cores += now < worker->cold_until
                       ? capacity / internal::kColdRunTimeFactor
                       : capacity;
  }
  if (milli_cores <= 0) return std::nullopt;
  double queued_work = 0;
  for (const auto& [key, other] : scheduler.queue) {
    if (key.lateness != Lateness::kInTime || key.priority > job.priority) break;
    for (std::size_t s = 0; s < other->steps.size(); ++s) {
      const JobStep& step = other->job.steps[s];
      queued_work += static_cast<double>(other->steps[s].waiting) *
                     static_cast<double>(step.demand.milli_cores) *
                     static_cast<double>(step.estimate.count());
    }
  }
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(queued_work / milli_cores));
}

}  // namespace sequoiapath
