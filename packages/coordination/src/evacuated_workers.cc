#include "evacuated_workers.h"

#include <algorithm>

#include "sequoiapath/coordination/worker_capacity.h"
#include "task_placement.h"

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

// Returns whether evacuated data centres have the only workers that could run
// the step.
bool NeedsEvacuatedWorker(const TaskScheduler& scheduler, const StepJob& job,
                          const JobStep& step) {
  bool any = false;
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (!IsAllowed(*worker, job, step) ||
        !Fits(step.demand, CurrentCapacity(*worker))) {
      continue;
    }
    if (!IsInEvacuatedDataCentre(scheduler, *worker)) return false;
    any = true;
  }
  return any;
}

}  // namespace

bool IsInEvacuatedDataCentre(const TaskScheduler& scheduler,
                             const WorkerRuns& worker) {
  return IsEvacuated(scheduler.evacuations, worker.description.data_centre);
}

StepJobAnswer EvacuatedAnswer() {
  return {StepJobOutcome::kRefused, "evacuated", kEvacuatedRetryDelay};
}

std::optional<StepJobAnswer> CheckEvacuation(const TaskScheduler& scheduler,
                                             const StepJob& job) {
  if (scheduler.evacuations.data_centres.empty()) return std::nullopt;
  bool any = false;
  for (const WorkerRuns* worker : scheduler.worker_list) {
    if (worker->description.service != job.service) continue;
    if (!IsInEvacuatedDataCentre(scheduler, *worker)) return std::nullopt;
    any = true;
  }
  if (!any) return std::nullopt;
  return EvacuatedAnswer();
}

bool NeedsEvacuatedWorker(const TaskScheduler& scheduler,
                          const ScheduledJob& job) {
  if (scheduler.evacuations.data_centres.empty()) return false;
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    if (job.steps[s].waiting > 0 &&
        NeedsEvacuatedWorker(scheduler, job.job, job.job.steps[s])) {
      return true;
    }
  }
  return false;
}

void CountWithheldStarts(TaskScheduler* scheduler) {
  if (scheduler->evacuations.data_centres.empty()) return;
  std::int64_t largest_free = 0;
  for (const WorkerRuns* worker : scheduler->worker_list) {
    if (!IsInEvacuatedDataCentre(*scheduler, *worker)) continue;
    largest_free = std::max(largest_free, FreeCapacity(*worker).milli_cores);
  }
  for (const auto& [key, job] : scheduler->queue) {
    if (job->start_withheld) continue;
    for (std::size_t s = 0; s < job->steps.size(); ++s) {
      const std::size_t waiting = job->steps[s].waiting;
      if (waiting == 0 || job->job.steps[s].demand.milli_cores > largest_free) {
        continue;
      }
      job->start_withheld = true;
      scheduler->counts.starts_withheld += waiting;
    }
  }
}

void ObserveColdRecord(WorkerRuns* worker, const WorkerDescription& record,
                       bool is_new, TimePoint now) {
  const WorkerDescription& former = worker->description;
  const TimePoint cold_until = now + record.cold_left;
  // Records repeat the time or count it down. Only a new process or a higher
  // value makes a worker cold again, so that a repeated value does not keep it
  // cold.
  const bool became_cold = is_new ||
                           record.started_at_ms != former.started_at_ms ||
                           record.cold_left > former.cold_left;
  worker->cold_until =
      became_cold ? cold_until : std::min(worker->cold_until, cold_until);
}

milliseconds EstimateOn(const WorkerRuns& worker, milliseconds estimate,
                        TimePoint now) {
  return now < worker.cold_until ? estimate * kColdRunTimeFactor : estimate;
}

}  // namespace internal

EvacuationChange SetEvacuations(TaskScheduler* scheduler,
                                const EvacuationSet& set) {
  scheduler->placement_needed = true;
  return SetEvacuations(&scheduler->evacuations, set);
}

std::size_t CountWorkersIn(const TaskScheduler& scheduler,
                           const std::string& data_centre) {
  return static_cast<std::size_t>(
      std::count_if(scheduler.worker_list.begin(), scheduler.worker_list.end(),
                    [&data_centre](const WorkerRuns* worker) {
                      return worker->description.data_centre == data_centre;
                    }));
}

bool AllWorkersAreEvacuated(const TaskScheduler& scheduler) {
  if (scheduler.evacuations.data_centres.empty()) return false;
  return !scheduler.worker_list.empty() &&
         std::all_of(scheduler.worker_list.begin(), scheduler.worker_list.end(),
                     [&scheduler](const WorkerRuns* worker) {
                       return internal::IsInEvacuatedDataCentre(scheduler,
                                                                *worker);
                     });
}

}  // namespace sequoiapath
