#include "worker_crashes.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "scheduler_log.h"

namespace sequoiapath::internal {
namespace {

// Number of refused connections in a row after which a crash is presumed.
constexpr std::uint32_t kRefusalsOfCrash = 2;
// If more than this share of the workers became unreachable within
// `kCutWindow` of each other, the network is the likely cause.
constexpr std::size_t kCutShare = 6;
constexpr Duration kCutWindow = std::chrono::milliseconds(250);
constexpr std::size_t kMinWorkersOfCut = 3;
// Number of suspects that run at the same time.
constexpr std::size_t kMaxSuspectRuns = 4;
// Suspects wait while this share of the workers, or more, is unavailable or
// runs suspects, because each of them may cost a further worker.
constexpr std::size_t kUnavailableShare = 4;

// Returns whether so many workers became unreachable at about the same time as
// this one that the network is the likely cause.
bool ManyUnreachableWith(const TaskScheduler& scheduler,
                         const WorkerRuns& worker) {
  const auto count = static_cast<std::size_t>(std::count_if(
      scheduler.worker_list.begin(), scheduler.worker_list.end(),
      [&](const WorkerRuns* other) {
        return other->unanswered_renewals > 0 &&
               std::chrono::abs(other->unreachable_since -
                                worker.unreachable_since) <= kCutWindow;
      }));
  return count >
         std::max(kMinWorkersOfCut, scheduler.worker_list.size() / kCutShare);
}

// Returns whether the worker has acknowledged the start or reported the run.
bool IsConfirmed(const WorkerRun& run) {
  return run.confirmed_running_at != TimePoint{};
}

void ChargeCrash(TaskScheduler* scheduler, const WorkerRuns& worker,
                 std::int64_t started_at_ms, TimePoint now) {
  std::map<TaskName, bool> tasks;  // Whether the worker has acknowledged each.
  for (const UnansweredTask& unanswered : worker.unanswered_tasks) {
    bool& confirmed = tasks[unanswered.task];
    confirmed = confirmed || unanswered.confirmed;
  }
  for (const auto& [task, run] : worker.runs) {
    bool& confirmed = tasks[task];
    confirmed = confirmed || IsConfirmed(run);
  }
  for (const auto& [task, confirmed] : tasks) {
    const bool added = AddCrash(&scheduler->crashes,
                                {.task = task,
                                 .worker = worker.description.id,
                                 .started_at_ms = started_at_ms,
                                 .alone = tasks.size() == 1,
                                 .confirmed = confirmed},
                                /*learned_from=*/"", now);
    if (!added) continue;
    scheduler->jobs_with_new_crashes.insert(task.job);
    LogEvent(
        scheduler, "crash_charged", worker.description.id, task.job,
        fmt::format("task={}.{} crashes={} tasks_on_worker={} confirmed={} "
                    "started={}",
                    task.step, task.index, CrashCount(scheduler->crashes, task),
                    tasks.size(), confirmed, started_at_ms));
  }
}

// Returns whether a suspect of the job has not ended.
bool HasUnfinishedSuspect(const TaskScheduler& scheduler,
                          const ScheduledJob& job) {
  const auto& by_task = scheduler.crashes.by_task;
  for (auto it = by_task.lower_bound(TaskName{job.job.id, 0, 0});
       it != by_task.end() && it->first.job == job.job.id; ++it) {
    const auto& [id, step, index] = it->first;
    if (step >= job.steps.size()) continue;
    const auto& tasks = job.steps[step].tasks;
    if (index < tasks.size() && tasks[index].state != TaskState::kDone) {
      return true;
    }
  }
  return false;
}

bool MaySuspectStart(const SuspectLimit& limit) {
  if (limit.runs == 0 && limit.unavailable == 0) return true;
  return limit.runs < kMaxSuspectRuns &&
         limit.runs + limit.unavailable <
             std::max<std::size_t>(limit.workers / kUnavailableShare, 2);
}

}  // namespace

void ChargeIfNotDraining(TaskScheduler* scheduler, const WorkerRuns& worker,
                         TimePoint now) {
  if (worker.description.draining) return;
  ChargeCrash(scheduler, worker, worker.started_at_ms, now);
}

void ObserveUnansweredRenewal(TaskScheduler* scheduler, WorkerRuns* worker,
                              bool refused, TimePoint now) {
  if (worker->unanswered_renewals == 1) worker->unreachable_since = now;
  worker->refused_renewals = refused ? worker->refused_renewals + 1 : 0;
  // The first renewal may have been in flight when the process ended.
  const bool always_refused =
      worker->unanswered_renewals <= worker->refused_renewals + 1;
  if (worker->crash_presumed || !always_refused ||
      worker->refused_renewals < kRefusalsOfCrash ||
      ManyUnreachableWith(*scheduler, *worker)) {
    return;
  }
  worker->crash_presumed = true;
  ChargeIfNotDraining(scheduler, *worker, now);
}

void SettleCrash(TaskScheduler* scheduler, WorkerRuns* worker,
                 std::int64_t started_at_ms, TimePoint now) {
  const std::int64_t known = worker->started_at_ms;
  if (known != 0 && started_at_ms != 0 && started_at_ms != known) {
    ChargeIfNotDraining(scheduler, *worker, now);
  } else if (worker->crash_presumed) {
    WithdrawCrash(&scheduler->crashes, worker->description.id, known);
  }
  worker->crash_presumed = false;
  worker->refused_renewals = 0;
  worker->unanswered_tasks.clear();
}

void KeepUnansweredRuns(WorkerRuns* worker,
                        const std::vector<EndedRun>& ended) {
  if (worker->unanswered_renewals == 0) return;
  for (const EndedRun& end : ended) {
    worker->unanswered_tasks.push_back({end.task, IsConfirmed(end.run)});
  }
}

bool IsSuspect(const TaskScheduler& scheduler, const TaskName& task) {
  return CrashCount(scheduler.crashes, task) > 0;
}

void CountWorker(const WorkerRuns& worker, SuspectLimit* limit) {
  if (worker.listed) ++limit->workers;
  if (worker.unanswered_renewals > 0 && !worker.replaced) {
    ++limit->unavailable;
  }
  if (RunsSuspect(worker)) ++limit->runs;
}

bool MayStartNow(const TaskScheduler& scheduler, const ScheduledJob& job,
                 const TaskName& task, const SuspectLimit& limit) {
  if (!job.has_crashes) return true;
  if (IsSuspect(scheduler, task)) return MaySuspectStart(limit);
  return !HasUnfinishedSuspect(scheduler, job);
}

bool RunsSuspect(const WorkerRuns& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& entry) { return entry.second.alone; });
}

}  // namespace sequoiapath::internal
