#include "sequoiapath/coordination/task_scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "daemon_confirmations.h"
#include "evacuated_workers.h"
#include "former_runs.h"
#include "job_expiry.h"
#include "job_progress.h"
#include "overload_pass.h"
#include "scheduler_log.h"
#include "sequoiapath/coordination/scheduler_election.h"
#include "task_placement.h"
#include "worker_crashes.h"

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

// Run numbers reserved for each submission of a job. Runs are numbered from the
// submission's generation times this value, so that a worker rejects late start
// orders of earlier submissions, whose run numbers are lower.
constexpr std::uint32_t kRunsPerGeneration = 1000;
constexpr Duration kSweepInterval = milliseconds(10);
// Shortest time between two renewals that ask a worker for a report at once
// because resubmitted jobs wait for it. The time is longer with many workers:
// while daemons keep resubmitting jobs, each report is soon too old again, and
// requests to all workers would take all of the scheduler's processor time.
constexpr Duration kShortestReportRequestInterval = milliseconds(50);
constexpr std::int64_t kReportRequestsPerSecond = 2000;  // To all workers.
constexpr Duration kCleanupInterval = milliseconds(100);
constexpr Duration kOverloadCheckInterval = milliseconds(20);
// How long schedulers may use a worker after it has left this daemon's list.
// JobGateway names such workers for the same time.
constexpr Duration kUseAfterListing = std::chrono::seconds(6);
constexpr milliseconds kLongestFenceStep{3'600'000};
// How long a worker gets no new task after it rejected a start order for lack
// of capacity or because the order's lease had expired.
constexpr Duration kStartRejectionPause = milliseconds(300);
// Number of cancelled submissions that are kept. Further ones are not kept:
// they matter only if they arrive after their cancel.
constexpr std::size_t kMaxCancelledSubmissions = 20'000;
constexpr Duration kLongestRenewalBackoff = milliseconds(500);
// Weight of the latest run in the moving average of a worker's speed.
constexpr double kSpeedSmoothing = 0.2;

ScheduledJob* FindJob(TaskScheduler* scheduler, const std::string& id) {
  const auto found = scheduler->jobs.find(id);
  return found == scheduler->jobs.end() ? nullptr : &found->second;
}

// Returns the task, or null if the job or the task is unknown.
ScheduledTask* FindTask(ScheduledJob* job, const TaskName& name) {
  if (job == nullptr || name.step >= job->steps.size()) return nullptr;
  ScheduledStep& step = job->steps[name.step];
  return name.index < step.tasks.size() ? &step.tasks[name.index] : nullptr;
}

bool HasWaitingTask(const ScheduledJob& job) {
  return std::any_of(
      job.steps.begin(), job.steps.end(),
      [](const ScheduledStep& step) { return step.waiting > 0; });
}

std::int64_t SmallestDemand(const StepJob& job) {
  std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
  for (const JobStep& step : job.steps) {
    smallest = std::min(smallest, step.demand.milli_cores);
  }
  return smallest;
}

// Queues the worker for processing in the next pass.
void MarkPending(TaskScheduler* scheduler, WorkerRuns* worker) {
  if (std::exchange(worker->in_pending_workers, true)) return;
  scheduler->pending_workers.push_back(worker);
}

void RebuildWorkerList(TaskScheduler* scheduler) {
  scheduler->worker_list.clear();
  scheduler->pending_workers.clear();
  for (auto& [id, worker] : scheduler->workers) {
    worker.in_pending_workers = false;
    scheduler->worker_list.push_back(&worker);
  }
  scheduler->next_sweep = {};
}

// Adds the job to the queue if it has waiting tasks, else removes it.
void UpdateQueue(TaskScheduler* scheduler, ScheduledJob* job) {
  if (HasWaitingTask(*job)) {
    scheduler->queue[job->key] = job;
    scheduler->smallest_demand =
        std::min(scheduler->smallest_demand, SmallestDemand(job->job));
  } else {
    scheduler->queue.erase(job->key);
  }
  scheduler->placement_needed = true;
}

// Marks all runs of the job's tasks to be stopped.
void StopRunsOf(TaskScheduler* scheduler, const ScheduledJob& job) {
  for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < job.steps[s].tasks.size(); ++i) {
      const ScheduledTask& task = job.steps[s].tasks[i];
      if (task.state != TaskState::kPlaced) continue;
      const auto worker = scheduler->workers.find(task.worker);
      if (worker == scheduler->workers.end()) continue;
      const auto run = worker->second.runs.find(TaskName{job.job.id, s, i});
      if (run == worker->second.runs.end()) continue;
      run->second.stop_wanted = true;
      MarkPending(scheduler, &worker->second);
    }
  }
}

// Answers the job, removes it and stops its runs.
void FinishJob(TaskScheduler* scheduler, ScheduledJob* job,
               StepJobAnswer answer, TimePoint now) {
  StopRunsOf(scheduler, *job);
  const std::string id = job->job.id;
  scheduler->queue.erase(job->key);
  scheduler->answers[id] = {answer, now};
  scheduler->jobs.erase(id);
  ChargeControl(&scheduler->link, scheduler->link.sizes.answer, now);
  scheduler->actions.push_back(AnswerJob{id, std::move(answer)});
}

void MarkDone(TaskScheduler* scheduler, ScheduledJob* job, const TaskName& name,
              TimePoint now) {
  ScheduledTask* task = FindTask(job, name);
  if (task == nullptr || task->state == TaskState::kDone) return;
  ScheduledStep& step = job->steps[name.step];
  if (task->state == TaskState::kWaiting) --step.waiting;
  task->state = TaskState::kDone;
  --step.unfinished;
  UpdateQueue(scheduler, job);
  const bool complete =
      std::all_of(job->steps.begin(), job->steps.end(),
                  [](const ScheduledStep& s) { return s.unfinished == 0; });
  if (!complete) return;
  FinishJob(scheduler, job, {StepJobOutcome::kCompleted, "", milliseconds(0)},
            now);
}

void MarkWaiting(TaskScheduler* scheduler, ScheduledJob* job,
                 const TaskName& name) {
  ScheduledTask* task = FindTask(job, name);
  if (task == nullptr || task->state != TaskState::kPlaced) return;
  task->state = TaskState::kWaiting;
  task->last_worker = std::exchange(task->worker, "");
  ++job->steps[name.step].waiting;
  UpdateQueue(scheduler, job);
}

void MarkPlaced(TaskScheduler* scheduler, ScheduledJob* job,
                const TaskName& name, const std::string& worker) {
  ScheduledTask* task = FindTask(job, name);
  task->state = TaskState::kPlaced;
  task->worker = worker;
  --job->steps[name.step].waiting;
  job->any_started = true;
  UpdateQueue(scheduler, job);
}

// Returns the answer to a job with a task that has to be given up, or nothing.
std::optional<StepJobAnswer> CheckCrashes(const TaskScheduler& scheduler,
                                          const std::string& job) {
  if (FindTaskToGiveUp(scheduler.crashes, job) == nullptr) return std::nullopt;
  return StepJobAnswer{StepJobOutcome::kFailed, kCrashesWorkers,
                       milliseconds(0)};
}

// Applies new crashes to the jobs whose tasks they are charged to.
void ApplyNewCrashes(TaskScheduler* scheduler, TimePoint now) {
  for (const std::string& id :
       std::exchange(scheduler->jobs_with_new_crashes, {})) {
    ScheduledJob* job = FindJob(scheduler, id);
    if (job == nullptr) continue;
    job->has_crashes = true;
    if (auto answer = CheckCrashes(*scheduler, id)) {
      FinishJob(scheduler, job, *std::move(answer), now);
    }
  }
}

void CountFailure(TaskScheduler* scheduler, ScheduledJob* job,
                  const TaskName& name, TimePoint now) {
  ScheduledTask* task = FindTask(job, name);
  if (task == nullptr || task->state == TaskState::kDone) return;
  ++task->failed_runs;
  ++scheduler->counts.runs_failed;
  LogEvent(scheduler, "task_failed", task->worker, name.job,
           fmt::format("task={}.{} failed_runs={} of={}", name.step, name.index,
                       task->failed_runs, job->job.max_attempts));
  if (task->failed_runs < job->job.max_attempts) {
    MarkWaiting(scheduler, job, name);
    return;
  }
  FinishJob(scheduler, job,
            {StepJobOutcome::kFailed, "attempts_used_up", milliseconds(0)},
            now);
}

void ObserveRunTime(WorkerRuns* worker, const WorkerRun& run, TimePoint now) {
  if (run.estimate.count() <= 0 || run.orphan) return;
  const double actual =
      std::chrono::duration<double, std::milli>(now - run.ordered_at).count();
  const double speed =
      static_cast<double>(run.estimate.count()) / std::max(actual, 1.0);
  worker->speed += kSpeedSmoothing * (speed - worker->speed);
}

// Applies the end of one run to its task, its job and the worker's health.
void ApplyEnd(TaskScheduler* scheduler, WorkerRuns* worker,
              const EndedRun& ended, TimePoint now) {
  scheduler->placement_needed = true;
  const std::string& id = worker->description.id;
  ScheduledJob* job = FindJob(scheduler, ended.task.job);
  const ScheduledTask* task = FindTask(job, ended.task);
  if (ended.outcome == RunOutcome::kDone) {
    if (ended.known) {
      RecordTaskEnd(&scheduler->health, id, TaskEnd::kSucceeded, false, now);
      ObserveRunTime(worker, ended.run, now);
    }
    if (task == nullptr) {
      scheduler->completed_before_submission[ended.task] = now;
    } else {
      MarkDone(scheduler, job, ended.task, now);
    }
    return;
  }
  if (!ended.known || ended.run.orphan || task == nullptr) return;
  if (task->state != TaskState::kPlaced || task->worker != id) return;
  if (ended.outcome == RunOutcome::kFailed) {
    RecordTaskEnd(&scheduler->health, id, TaskEnd::kFailed, false, now);
    CountFailure(scheduler, job, ended.task, now);
    return;
  }
  ++scheduler->counts.runs_lost;
  LogEvent(scheduler, "run_lost", id, ended.task.job,
           fmt::format("{} how={}", Describe(ended.task, ended.run.run),
                       ToString(ended.outcome)));
  MarkWaiting(scheduler, job, ended.task);
}

void ApplyEnds(TaskScheduler* scheduler, WorkerRuns* worker,
               const std::vector<EndedRun>& ended, TimePoint now) {
  for (const EndedRun& end : ended) ApplyEnd(scheduler, worker, end, now);
}

// Logs a run of a task that is already placed on another worker, so that both
// may execute it at the same time, or that has already succeeded.
void LogSecondRun(TaskScheduler* scheduler, const WorkerRuns& worker,
                  const TaskName& name, const WorkerRun& run,
                  const ScheduledTask& task) {
  if (task.state == TaskState::kPlaced) ++scheduler->counts.second_runs;
  LogEvent(
      scheduler, "second_run_found", worker.description.id, name.job,
      fmt::format("{} fence={} done={} placed_on={}", Describe(name, run.run),
                  worker.fence, task.state == TaskState::kDone, task.worker));
}

// Assigns a run on a worker to its task. This includes a run that is being
// stopped, because the task must not start elsewhere before that run has ended.
// If the task is already placed or done, the run is stopped.
void AdoptTaskRun(TaskScheduler* scheduler, WorkerRuns* worker,
                  ScheduledJob* job, const TaskName& name, WorkerRun* run) {
  const ScheduledTask* task = FindTask(job, name);
  if (task == nullptr) return;
  if (task->state != TaskState::kWaiting) {
    LogSecondRun(scheduler, *worker, name, *run, *task);
    run->stop_wanted = true;
    MarkPending(scheduler, worker);
    return;
  }
  AdoptRun(worker, name, job->job.steps[name.step]);
  run->origin = job->origin;
  run->alone = IsSuspect(*scheduler, name);
  if (!run->stop_in_flight && !run->stopped_at) run->stop_wanted = false;
  job->last_run = std::max(job->last_run, run->run);
  ++scheduler->counts.adopted;
  MarkPlaced(scheduler, job, name, worker->description.id);
}

// Assigns the worker's orphans to their jobs, where these are now known.
void AdoptOrphans(TaskScheduler* scheduler, WorkerRuns* worker) {
  if (worker->orphans == 0) return;
  for (auto& [name, run] : worker->runs) {
    ScheduledJob* job = run.orphan ? FindJob(scheduler, name.job) : nullptr;
    if (job != nullptr) AdoptTaskRun(scheduler, worker, job, name, &run);
  }
}

// Returns whether workers may hold runs of a job that is being submitted. That
// is so if the job was submitted to another scheduler before, if this scheduler
// answered it recently, or if a worker has orphans.
bool MayHaveRuns(const TaskScheduler& scheduler, const StepJob& job) {
  if (job.generation > 0 || scheduler.answers.contains(job.id)) return true;
  return std::any_of(
      scheduler.worker_list.begin(), scheduler.worker_list.end(),
      [](const WorkerRuns* worker) { return worker->orphans > 0; });
}

// Assigns all runs of the job's tasks that are on workers to the job.
void AdoptRunsOf(TaskScheduler* scheduler, ScheduledJob* job) {
  if (!MayHaveRuns(*scheduler, job->job)) return;
  const TaskName first{job->job.id, 0, 0};
  for (WorkerRuns* worker : scheduler->worker_list) {
    for (auto run = worker->runs.lower_bound(first);
         run != worker->runs.end() && run->first.job == job->job.id; ++run) {
      AdoptTaskRun(scheduler, worker, job, run->first, &run->second);
    }
  }
}

// Applies the runs and ends of the job's tasks that workers reported before the
// job was submitted to this scheduler.
void AdoptKnownTasks(TaskScheduler* scheduler, const std::string& id,
                     TimePoint now) {
  AdoptRunsOf(scheduler, FindJob(scheduler, id));
  const TaskName first{id, 0, 0};
  for (auto it = scheduler->completed_before_submission.lower_bound(first);
       it != scheduler->completed_before_submission.end() &&
       it->first.job == id;) {
    const TaskName name = it->first;
    it = scheduler->completed_before_submission.erase(it);
    ScheduledJob* job = FindJob(scheduler, id);
    if (job == nullptr) return;
    job->any_started = true;
    MarkDone(scheduler, job, name, now);
  }
}

// Records that the worker has accepted a higher fencing token from another
// scheduler, and sets the token and the time of the next claim.
void MarkWorkerForeign(TaskScheduler* scheduler, WorkerRuns* worker,
                       TimePoint now) {
  const bool was_claimed = worker->claim == ClaimState::kClaimed;
  if (was_claimed) {
    LogEvent(
        scheduler, "worker_lost_to_other_scheduler", worker->description.id, "",
        fmt::format("fence={} runs={}", worker->fence, worker->runs.size()));
  }
  worker->claim = ClaimState::kForeign;
  worker->fence = std::max(worker->fence, scheduler->fence);
  worker->fence = RaiseFencingToken(worker->fence, worker->fence_step);
  worker->fence_step = std::min(worker->fence_step * 2, kLongestFenceStep);
  // A fencing token contains the time of day at which a daemon made it. The
  // worker's token may come from a daemon whose time of day is ahead of this
  // daemon's, so each rejection raises this scheduler's token for the worker.
  // After the first rejection by a worker that has not accepted a claim, the
  // next claim waits for `short_foreign_retry_delay`, because another scheduler
  // may still run the same tasks. After further rejections it is sent at once.
  const bool first_rejection = !worker->has_accepted_claim &&
                               !std::exchange(worker->has_rejected_claim, true);
  if (now < scheduler->reclaim_at_once_until) {
    worker->next_renewal = now;
  } else if (first_rejection ||
             (worker->has_accepted_claim && scheduler->partial)) {
    worker->next_renewal = now + scheduler->times.short_foreign_retry_delay;
  } else if (!worker->has_accepted_claim) {
    worker->next_renewal = now;
  } else {
    worker->next_renewal = now + scheduler->times.long_foreign_retry_delay;
  }
  if (!worker->latest_run_expiry && !worker->runs.empty()) {
    worker->latest_run_expiry =
        now + scheduler->times.lease.foreign_run_lifetime;
  }
}

// Records that the worker's process has ended and its address now belongs to
// another worker, and ends all runs of the old process.
void DropReplacedWorker(TaskScheduler* scheduler, WorkerRuns* worker,
                        TimePoint now) {
  LogEvent(scheduler, "worker_replaced", worker->description.id, "",
           fmt::format("address={} runs={}", worker->description.address,
                       worker->runs.size()));
  ChargeIfNotDraining(scheduler, *worker, now);
  worker->unanswered_tasks.clear();
  worker->replaced = true;
  worker->claim = ClaimState::kUnclaimed;
  worker->latest_run_expiry = now;
  ApplyEnds(scheduler, worker, EndExpiredRuns(worker, now), now);
}

bool NeedsRenewal(const TaskScheduler& scheduler, const WorkerRuns& worker) {
  if (worker.replaced) return false;
  if (!worker.runs.empty()) return true;
  if (!worker.listed) return false;
  return !scheduler.partial ||
         scheduler.home_workers.contains(worker.description.id);
}

// Returns whether resubmitted jobs wait for a report of the worker that is
// newer than its latest one.
bool ReportIsAwaited(const TaskScheduler& scheduler, const WorkerRuns& worker,
                     TimePoint now) {
  return worker.report_sent_at < scheduler.last_resubmission &&
         now < scheduler.last_resubmission + scheduler.times.resubmission_wait;
}

Duration ReportRequestInterval(const TaskScheduler& scheduler) {
  const Duration one_second = std::chrono::seconds(1);
  const auto workers = static_cast<std::int64_t>(scheduler.workers.size());
  return std::max(kShortestReportRequestInterval,
                  one_second * workers / kReportRequestsPerSecond);
}

// Returns whether the next renewal should be answered at once, because
// resubmitted jobs wait for the worker's report.
bool ShouldRequestReport(const TaskScheduler& scheduler,
                         const WorkerRuns& worker, TimePoint now) {
  return ReportIsAwaited(scheduler, worker, now) &&
         now - worker.report_requested_at >= ReportRequestInterval(scheduler);
}

// Returns whether the renewal in flight, whose reply may be delayed until a run
// ends, should be replaced by one that is answered at once.
bool ShouldReplaceRenewal(const TaskScheduler& scheduler,
                          const WorkerRuns& worker, TimePoint now) {
  return worker.claim == ClaimState::kClaimed &&
         worker.unanswered_renewals == 0 &&
         worker.renewal_sent_at < scheduler.last_resubmission &&
         now - worker.renewal_sent_at >= kShortestReportRequestInterval &&
         ShouldRequestReport(scheduler, worker, now);
}

void SendRenewalOrder(TaskScheduler* scheduler, WorkerRuns* worker,
                      TimePoint now) {
  RenewOrder order;
  // A renewal that repeats an unanswered one does not extend the leases, so
  // that the time by which all runs of an unreachable worker have ended is
  // known. Neither does a renewal for a worker with orphans: the scheduler that
  // started them may be unable to reach the worker, and starts their tasks
  // again once the leases that it granted have ended.
  const bool extends = worker->unanswered_renewals == 0 &&
                       worker->orphans == 0 &&
                       worker->claim == ClaimState::kClaimed;
  order.lease_end = extends
                        ? ConfirmedLeaseEnd(*scheduler, *worker, nullptr, now)
                        : worker->last_lease_end;
  worker->last_lease_end = std::max(worker->last_lease_end, order.lease_end);
  order.fence = worker->fence;
  order.last_seen_end = worker->last_seen_end;
  const bool claimed_and_reachable =
      worker->claim == ClaimState::kClaimed && worker->unanswered_renewals == 0;
  if (claimed_and_reachable) order.wait = scheduler->times.renewal_wait;
  if (worker->orphans > 0) order.wait = scheduler->times.orphan_renewal_wait;
  if (ShouldRequestReport(*scheduler, *worker, now)) {
    order.wait = milliseconds(0);
    worker->report_requested_at = now;
  }
  order.worker = worker->description.id;
  order.id = ++scheduler->next_renewal_id;
  worker->renewal_id = order.id;
  worker->renewal_in_flight = true;
  worker->renewal_sent_at = now;
  ++scheduler->counts.renewals;
  ChargeControl(&scheduler->link, scheduler->link.sizes.renewal, now);
  scheduler->actions.push_back(SendRenewal{worker->description.id, order});
}

void SendStopOrders(TaskScheduler* scheduler, WorkerRuns* worker,
                    TimePoint now) {
  if (worker->claim == ClaimState::kForeign) return;
  for (const TaskName& task : TakeRunsToStop(worker)) {
    const std::uint32_t run = worker->runs.at(task).run;
    ++scheduler->counts.stops;
    ChargeControl(&scheduler->link, scheduler->link.sizes.stop, now);
    scheduler->actions.push_back(
        SendStop{worker->description.id,
                 {task, run, worker->fence, worker->description.id}});
  }
}

// Stops orphans whose jobs were not submitted again within `orphan_grace`.
void StopOrphans(TaskScheduler* scheduler, WorkerRuns* worker, TimePoint now) {
  if (worker->orphans == 0) return;
  for (auto& [name, run] : worker->runs) {
    if (!run.orphan || run.stop_wanted) continue;
    if (now - run.ordered_at < scheduler->times.orphan_grace) continue;
    run.stop_wanted = true;
    ++scheduler->counts.orphans_stopped;
    LogEvent(scheduler, "orphan_stopped", worker->description.id, name.job,
             Describe(name, run.run));
  }
}

// Stops overdue runs, so that their tasks can start on other workers.
void StopOverdueRuns(TaskScheduler* scheduler, WorkerRuns* worker,
                     TimePoint now) {
  for (auto& [name, run] : worker->runs) {
    if (run.orphan || run.stop_wanted || run.state != RunState::kRunning ||
        run.estimate.count() <= 0) {
      continue;
    }
    const SchedulerTimes& times = scheduler->times;
    const milliseconds limit(std::max<std::int64_t>(
        (run.estimate + times.overdue_slack).count(),
        static_cast<std::int64_t>(static_cast<double>(run.estimate.count()) *
                                  times.overdue_factor)));
    if (now - run.ordered_at < limit) continue;
    run.stop_wanted = true;
    worker->slow_until = now + times.slow_worker_pause;
    RecordTaskEnd(&scheduler->health, worker->description.id, TaskEnd::kFailed,
                  false, now);
    LogEvent(
        scheduler, "run_overdue", worker->description.id, name.job,
        fmt::format("{} estimate_ms={} limit_ms={}", Describe(name, run.run),
                    run.estimate.count(), limit.count()));
  }
}

void ProcessWorker(TaskScheduler* scheduler, WorkerRuns* worker,
                   TimePoint now) {
  const std::vector<EndedRun> expired = EndExpiredRuns(worker, now);
  KeepUnansweredRuns(worker, expired);
  ApplyEnds(scheduler, worker, expired, now);
  StopOrphans(scheduler, worker, now);
  StopOverdueRuns(scheduler, worker, now);
  SendStopOrders(scheduler, worker, now);
  if (worker->renewal_in_flight &&
      !ShouldReplaceRenewal(*scheduler, *worker, now)) {
    return;
  }
  if (now < worker->next_renewal) return;
  if (NeedsRenewal(*scheduler, *worker)) {
    SendRenewalOrder(scheduler, worker, now);
  }
}

void RemoveUnlistedWorkers(TaskScheduler* scheduler, TimePoint now) {
  const std::size_t erased =
      std::erase_if(scheduler->workers, [&](const auto& entry) {
        const WorkerRuns& worker = entry.second;
        const bool removable =
            !worker.listed && worker.runs.empty() &&
            !worker.renewal_in_flight &&
            now - worker.unlisted_at > scheduler->times.unlisted_grace;
        if (!removable) return false;
        LogEvent(scheduler, "worker_forgotten", entry.first, "",
                 fmt::format("claim={}", ToString(worker.claim)));
        ForgetWorker(&scheduler->health, entry.first);
        return true;
      });
  if (erased > 0) RebuildWorkerList(scheduler);
}

// Removes the workers that left the store so long ago that no scheduler still
// uses them. RemoveUnlistedWorkers does not run on a daemon that does not
// schedule.
void RemoveDepartedWorkers(TaskScheduler* scheduler, TimePoint now) {
  const std::size_t erased =
      std::erase_if(scheduler->workers, [&](const auto& entry) {
        const WorkerRuns& worker = entry.second;
        const bool removable = !worker.listed && worker.runs.empty() &&
                               now - worker.unlisted_at > kUseAfterListing;
        if (removable) ForgetWorker(&scheduler->health, entry.first);
        return removable;
      });
  if (erased > 0) RebuildWorkerList(scheduler);
}

// Returns whether a cleanup is due. If so, sets the time of the next one.
bool BeginCleanupIfDue(TaskScheduler* scheduler, TimePoint now) {
  if (now < scheduler->next_cleanup) return false;
  scheduler->next_cleanup = now + kCleanupInterval;
  return true;
}

void RemoveOldAnswers(TaskScheduler* scheduler, TimePoint now) {
  const Duration retention_time = scheduler->times.retention_time;
  std::erase_if(scheduler->answers, [&](const auto& entry) {
    return now - entry.second.at > retention_time;
  });
  std::erase_if(scheduler->completed_before_submission, [&](const auto& entry) {
    return now - entry.second > retention_time;
  });
  std::erase_if(scheduler->cancelled_submissions, [&](const auto& entry) {
    return now - entry.second.at > retention_time;
  });
}

// Answers jobs that cannot end in time or can start nowhere.
void ExpireJobs(TaskScheduler* scheduler, TimePoint now) {
  std::vector<ScheduledJob*> expired;
  for (auto& [id, job] : scheduler->jobs) {
    if (MustEnd(*scheduler, job, now)) expired.push_back(&job);
  }
  for (ScheduledJob* job : expired) {
    FinishJob(scheduler, job, ExpiryAnswer(*scheduler, *job), now);
  }
}

void InitializeSteps(ScheduledJob* scheduled) {
  for (const JobStep& step : scheduled->job.steps) {
    ScheduledStep state;
    state.tasks.resize(step.count);
    state.waiting = step.count;
    state.unfinished = step.count;
    scheduled->steps.push_back(std::move(state));
  }
}

// Marks the runs that other schedulers may have started as unknown.
void AwaitFormerRuns(TaskScheduler* scheduler, ScheduledJob* job,
                     TimePoint now) {
  job->any_started = true;
  job->submitted = now;
  job->former_runs_known = false;
  job->unknown_worker.clear();
  job->former_leases_end = now + scheduler->times.resubmission_wait;
  scheduler->last_resubmission = now;
}

ScheduledJob* InsertJob(TaskScheduler* scheduler, StepJob job, TimePoint now) {
  ScheduledJob scheduled;
  scheduled.arrived = now - job.age;
  scheduled.expires = now + job.remaining;
  const milliseconds stretched(static_cast<std::int64_t>(
      static_cast<double>(CriticalPathTime(job).count()) * job.stretch));
  scheduled.objective = scheduled.arrived + stretched + job.slack;
  scheduled.key = {Lateness::kInTime, job.priority, scheduled.objective,
                   scheduler->next_sequence++};
  if (scheduler->overload.enabled) {
    scheduled.size =
        RecordArrival(&scheduler->overload, KindOf(job), TotalWork(job));
  }
  scheduled.last_run = job.generation * kRunsPerGeneration;
  scheduled.submitted = now;
  scheduled.has_crashes = HasCrashes(scheduler->crashes, job.id);
  if (job.generation > 0) AwaitFormerRuns(scheduler, &scheduled, now);
  scheduled.job = std::move(job);
  InitializeSteps(&scheduled);
  const std::string id = scheduled.job.id;
  ScheduledJob* inserted =
      &scheduler->jobs.emplace(id, std::move(scheduled)).first->second;
  UpdateQueue(scheduler, inserted);
  return inserted;
}

// Returns whether no other scheduler has had the job since this scheduler
// received its present submission. A daemon raises the generation with each
// submission, so its next one is the following generation. A caller that left
// the daemon and sent the job to it again did so at least 1.3 s after its first
// request, and the submission has been on its way for `max_heartbeat_age` at
// most.
bool HeldWithoutInterruption(const TaskScheduler& scheduler,
                             const ScheduledJob& job, const StepJob& again,
                             const std::string& origin, TimePoint now) {
  const bool same_request =
      now - again.age - job.arrived <= scheduler.times.max_heartbeat_age;
  return same_request && !origin.empty() && job.origin == origin &&
         again.generation == job.job.generation + 1;
}

// Applies a further submission of a job that this scheduler already has. If its
// generation is higher, another scheduler may have had the job in between.
void ResumeJob(TaskScheduler* scheduler, ScheduledJob* job,
               const StepJob& again, const std::string& origin, TimePoint now) {
  const bool held =
      HeldWithoutInterruption(*scheduler, *job, again, origin, now);
  job->origin = origin;
  job->job.submission = again.submission;
  if (job->job.spec_omitted && !again.spec_omitted) {
    job->job.spec = again.spec;
    job->job.spec_omitted = false;
  }
  if (again.generation <= job->job.generation) return;
  job->job.generation = again.generation;
  job->job.former_fence = again.former_fence;
  job->job.former_workers = again.former_workers;
  job->last_run =
      std::max(job->last_run, again.generation * kRunsPerGeneration);
  if (!held) AwaitFormerRuns(scheduler, job, now);
}

void KeepCancelledSubmission(TaskScheduler* scheduler,
                             const std::pair<std::string, std::string>& key,
                             std::uint64_t submission, TimePoint now) {
  auto& kept = scheduler->cancelled_submissions;
  if (kept.size() >= kMaxCancelledSubmissions && !kept.contains(key)) return;
  TaskScheduler::CancelledSubmission& cancelled = kept[key];
  cancelled.submission = std::max(cancelled.submission, submission);
  cancelled.at = now;
}

// Answers the submission of a job that its caller has cancelled. Returns false
// if there is no such cancel.
bool RejectCancelledJob(TaskScheduler* scheduler, const StepJob& job,
                        const std::string& origin, TimePoint now) {
  const TimePoint* cancelled = FindCancel(scheduler->cancels, job.id);
  if (cancelled == nullptr) return false;
  LogEvent(scheduler, "submission_of_cancelled_job", "", job.id,
           fmt::format("from={} generation={} cancel_age_ms={}", origin,
                       job.generation, (now - *cancelled) / milliseconds(1)));
  scheduler->actions.push_back(AnswerJob{
      job.id, {StepJobOutcome::kCancelled, "cancelled", milliseconds(0)}});
  return true;
}

// Returns the refusal of a new job, or nothing if the job is admitted.
std::optional<StepJobAnswer> CheckAdmission(const TaskScheduler& scheduler,
                                            const StepJob& job, TimePoint now) {
  if (!CanEverRun(scheduler, job)) {
    return StepJobAnswer{StepJobOutcome::kRefused, "never_fits",
                         kNeverFitsRetryDelay};
  }
  if (auto refusal = CheckEvacuation(scheduler, job)) return refusal;
  const auto wait = ExpectedWait(scheduler, job, now);
  if (!wait || *wait + ShortestRunTime(job) <= job.remaining) {
    return std::nullopt;
  }
  return StepJobAnswer{StepJobOutcome::kRefused, "overloaded", *wait};
}

// Queues the start order of a task and reserves the worker's capacity for it.
void StartTask(TaskScheduler* scheduler, ScheduledJob* job,
               const TaskName& name, WorkerRuns* worker, TimePoint now) {
  const JobStep& step = job->job.steps[name.step];
  WorkerRun run;
  run.run = ++job->last_run;
  run.demand = step.demand;
  run.estimate = EstimateOn(*worker, step.estimate, now);
  run.origin = job->origin;
  run.lease_end = ConfirmedLeaseEnd(*scheduler, *worker, job, now);
  run.alone = IsSuspect(*scheduler, name);
  run.ordered_at = now;
  worker->last_lease_end = std::max(worker->last_lease_end, run.lease_end);
  scheduler->actions.push_back(
      SendStart{worker->description.id,
                {name, run.run, job->job.spec, run.lease_end, worker->fence,
                 worker->description.id}});
  AddRun(worker, name, run);
  RecordTaskSent(&scheduler->health, worker->description.id);
  ++scheduler->counts.starts;
  MarkPlaced(scheduler, job, name, worker->description.id);
}

// Places the waiting tasks of a step in order, until one fits on no worker or
// the link's budget is used up.
void PlaceStep(TaskScheduler* scheduler, PlacementView* view, ScheduledJob* job,
               std::uint32_t step_index, TimePoint now) {
  ScheduledStep& step = job->steps[step_index];
  for (std::uint32_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
    if (step.tasks[i].state != TaskState::kWaiting) continue;
    const TaskName name{job->job.id, step_index, i};
    if (!MayStartNow(*scheduler, *job, name, view->suspects)) continue;
    WorkerRuns* worker = ChooseWorker(*scheduler, view, *job, name, now);
    if (worker == nullptr) return;
    view->link_is_busy =
        !TakeWork(&scheduler->link, StartOrderBytes(*scheduler, *job), now);
    if (view->link_is_busy) return;
    StartTask(scheduler, job, name, worker, now);
  }
}

// Places waiting tasks of the job's ready steps, as far as they fit.
void PlaceJob(TaskScheduler* scheduler, PlacementView* view, ScheduledJob* job,
              TimePoint now) {
  for (std::uint32_t s = 0; s < job->steps.size(); ++s) {
    if (job->steps[s].waiting == 0 || !IsReady(*job, s)) continue;
    if (job->job.steps[s].demand.milli_cores > view->largest_free_milli_cores) {
      continue;
    }
    PlaceStep(scheduler, view, job, s, now);
    if (view->link_is_busy) return;
  }
}

void PlaceTasks(TaskScheduler* scheduler, TimePoint now) {
  SetWaitingWork(&scheduler->link, 0);
  if (scheduler->queue.empty()) return;
  PlacementView view =
      FindCandidates(*scheduler, scheduler->smallest_demand, now);
  // A copy, because placing tasks changes the queue.
  std::vector<ScheduledJob*> jobs;
  if (!view.candidates.empty()) {
    jobs.reserve(scheduler->queue.size());
    for (const auto& [key, job] : scheduler->queue) jobs.push_back(job);
  }
  // Suspects come first, because they need workers without runs.
  std::stable_partition(jobs.begin(), jobs.end(), [](const ScheduledJob* job) {
    return job->has_crashes;
  });
  std::optional<ReportSummary> reports;
  std::size_t waiting_bytes = 0;
  for (ScheduledJob* job : jobs) {
    if (view.largest_free_milli_cores < scheduler->smallest_demand) break;
    if (!IsDaemonConfirmed(*scheduler, *job, now)) continue;
    if (!MayStartTasks(scheduler, &reports, job, now)) continue;
    if (!view.link_is_busy) PlaceJob(scheduler, &view, job, now);
    if (view.link_is_busy) waiting_bytes += WaitingOrderBytes(*scheduler, *job);
  }
  SetWaitingWork(&scheduler->link, waiting_bytes);
}

// Moves the job behind all jobs that can meet their objectives.
void QueueAsLate(TaskScheduler* scheduler, ScheduledJob* job) {
  scheduler->queue.erase(job->key);
  job->key.lateness =
      job->any_started ? Lateness::kLateStarted : Lateness::kLate;
  job->key.priority = job->job.priority;
  job->key.due = job->expires;
  scheduler->queue[job->key] = job;
}

// Moves jobs that can no longer meet their objective behind all jobs that can.
void MarkLateJobs(TaskScheduler* scheduler, TimePoint now) {
  std::vector<ScheduledJob*> late;
  for (const auto& [key, job] : scheduler->queue) {
    if (key.lateness != Lateness::kInTime) break;
    if (now + RemainingCriticalPath(*job) > job->objective) late.push_back(job);
  }
  for (ScheduledJob* job : late) {
    LogEvent(
        scheduler, "job_late", "", job->job.id,
        fmt::format("rest_ms={} objective_in_ms={} started={} queued_jobs={}",
                    RemainingCriticalPath(*job).count(),
                    (job->objective - now) / milliseconds(1), job->any_started,
                    scheduler->queue.size()));
    QueueAsLate(scheduler, job);
  }
}

// Puts the jobs that the overload policy chooses behind the others, and refuses
// those that cannot end before their callers stop waiting.
void ApplyOverloadPolicy(TaskScheduler* scheduler, TimePoint now) {
  if (!scheduler->overload.enabled || now < scheduler->next_overload_check) {
    return;
  }
  scheduler->next_overload_check = now + kOverloadCheckInterval;
  const OverloadDecisions decisions = DecideOverload(scheduler, now);
  for (ScheduledJob* job : decisions.delayed) {
    LogEvent(scheduler, "job_delayed", "", job->job.id,
             fmt::format("priority={} size={:.2f} objective_in_ms={} "
                         "queued_jobs={}",
                         job->job.priority, job->size,
                         (job->objective - now) / milliseconds(1),
                         scheduler->queue.size()));
    ++scheduler->counts.delayed_jobs;
    RecordDelay(&scheduler->overload, KindOf(job->job), job->size);
    QueueAsLate(scheduler, job);
  }
  for (ScheduledJob* job : decisions.hopeless) {
    LogEvent(
        scheduler, "job_hopeless", "", job->job.id,
        fmt::format("priority={} expires_in_ms={} retry_after_ms={} "
                    "queued_jobs={}",
                    job->job.priority, (job->expires - now) / milliseconds(1),
                    decisions.retry_after.count(), scheduler->queue.size()));
    ++scheduler->counts.hopeless_jobs;
    FinishJob(scheduler, job,
              {StepJobOutcome::kRefused, "overloaded", decisions.retry_after},
              now);
  }
}

// Answers expired jobs, requeues late ones, processes every worker and
// recomputes the smallest demand.
void Sweep(TaskScheduler* scheduler, TimePoint now) {
  ExpireJobs(scheduler, now);
  MarkLateJobs(scheduler, now);
  ApplyOverloadPolicy(scheduler, now);
  for (WorkerRuns* worker : scheduler->worker_list) {
    ProcessWorker(scheduler, worker, now);
  }
  scheduler->smallest_demand = std::numeric_limits<std::int64_t>::max();
  for (const auto& [key, job] : scheduler->queue) {
    scheduler->smallest_demand =
        std::min(scheduler->smallest_demand, SmallestDemand(job->job));
  }
}

// Processes the workers that had an event since the last pass.
void ProcessPendingWorkers(TaskScheduler* scheduler, TimePoint now) {
  // Processing a worker may queue other workers: when a job fails, its runs on
  // them must be stopped.
  while (!scheduler->pending_workers.empty()) {
    for (WorkerRuns* worker : std::exchange(scheduler->pending_workers, {})) {
      worker->in_pending_workers = false;
      ProcessWorker(scheduler, worker, now);
    }
  }
}

// Returns the run that an order refers to, or null if there is no record of the
// run, for example because it has ended.
WorkerRun* FindRun(WorkerRuns* worker, const TaskName& task,
                   std::uint32_t run) {
  const auto found = worker->runs.find(task);
  if (found == worker->runs.end() || found->second.run != run) return nullptr;
  return &found->second;
}

// Applies the worker's rejection of a start order. The worker has not started
// the run, so the run is removed. The task waits again, or its job fails.
void ApplyStartRejection(TaskScheduler* scheduler, WorkerRuns* worker,
                         const StartOrder& order, OrderRejection rejection,
                         TimePoint now) {
  ++scheduler->counts.starts_rejected;
  const std::string& id = worker->description.id;
  RemoveRun(worker, order.task);
  ScheduledJob* job = FindJob(scheduler, order.task.job);
  LogEvent(scheduler, "start_rejected", id, order.task.job,
           fmt::format("{} reason={} fence={}", Describe(order.task, order.run),
                       ToString(rejection), order.fence));
  switch (rejection) {
    case OrderRejection::kStaleFence:
      if (order.fence == worker->fence) {
        MarkWorkerForeign(scheduler, worker, now);
      }
      break;
    case OrderRejection::kOtherWorker:
      DropReplacedWorker(scheduler, worker, now);
      break;
    case OrderRejection::kOldRun:
      if (job != nullptr) job->last_run += kRunsPerGeneration;
      break;
    case OrderRejection::kNoCapacity:
    case OrderRejection::kLeaseExpired:
      worker->blocked_until = now + kStartRejectionPause;
      break;
    case OrderRejection::kUnhealthy:
      RecordTaskEnd(&scheduler->health, id, TaskEnd::kNotStarted, false, now);
      break;
    case OrderRejection::kInvalid:
      if (job != nullptr) CountFailure(scheduler, job, order.task, now);
      return;
  }
  if (job != nullptr) MarkWaiting(scheduler, job, order.task);
}

void ApplyUnansweredStart(TaskScheduler* scheduler, WorkerRuns* worker,
                          const StartOrder& order, WorkerRun* run,
                          const OrderUnanswered& unanswered, TimePoint now) {
  ++scheduler->counts.starts_unanswered;
  LogEvent(scheduler, "start_unanswered", worker->description.id,
           order.task.job,
           fmt::format("{} sent={}", Describe(order.task, order.run),
                       unanswered.may_have_been_sent));
  if (!unanswered.by_relay) {
    RecordTaskEnd(&scheduler->health, worker->description.id,
                  TaskEnd::kNotStarted, false, now);
  }
  if (!unanswered.may_have_been_sent) {
    RemoveRun(worker, order.task);
    MarkWaiting(scheduler, FindJob(scheduler, order.task.job), order.task);
    return;
  }
  run->state = RunState::kUnknown;
}

void ApplyUnansweredRenewal(TaskScheduler* scheduler, WorkerRuns* worker,
                            const OrderUnanswered& unanswered, TimePoint now) {
  ++scheduler->counts.renewals_unanswered;
  if (worker->unanswered_renewals++ == 0) {
    LogEvent(
        scheduler, "worker_unreachable", worker->description.id, "",
        fmt::format("runs={} cause={}", worker->runs.size(), unanswered.cause));
  }
  ObserveUnansweredRenewal(scheduler, worker, unanswered.refused, now);
  worker->next_renewal =
      now + std::min<Duration>(scheduler->times.renewal_retry_delay *
                                   worker->unanswered_renewals,
                               kLongestRenewalBackoff);
  if (!worker->latest_run_expiry && !worker->runs.empty()) {
    worker->latest_run_expiry =
        LatestRunExpiry(*worker, scheduler->times.lease, now);
  }
}

// Logs when a worker's record and its reports begin or cease to be of different
// processes. No task starts on the worker in between.
void ObserveRecord(TaskScheduler* scheduler, WorkerRuns* worker) {
  const bool awaits_record = !RecordIsOfReportedProcess(*worker);
  if (std::exchange(worker->awaits_record, awaits_record) == awaits_record) {
    return;
  }
  LogEvent(
      scheduler,
      awaits_record ? "worker_record_outdated" : "worker_record_current",
      worker->description.id, "",
      fmt::format("record_started={} process_started={}",
                  worker->description.started_at_ms, worker->started_at_ms));
}

// Forgets what was learned of the worker's former process. The worker is in use
// again once the new process has accepted a renewal with the raised fencing
// token: until then it accepts late start orders that were sent to the former
// process, and only its next report shows them.
void BeginNewProcess(TaskScheduler* scheduler, WorkerRuns* worker,
                     TimePoint now) {
  ForgetWorker(&scheduler->health, worker->description.id);
  worker->claim = ClaimState::kUnclaimed;
  worker->next_renewal = now;
}

void ApplyAcceptedRenewal(TaskScheduler* scheduler, WorkerRuns* worker,
                          const WorkerReport& report, TimePoint now) {
  const bool restarted = ShowsRestart(*worker, report);
  if (worker->unanswered_renewals > 0) {
    LogEvent(scheduler, "worker_reachable", worker->description.id, "",
             fmt::format("unanswered={} running={}",
                         worker->unanswered_renewals, report.running.size()));
  }
  SettleCrash(scheduler, worker, report.started_at_ms, now);
  worker->unanswered_renewals = 0;
  if (worker->claim != ClaimState::kClaimed) {
    worker->claim = ClaimState::kClaimed;
    worker->has_accepted_claim = true;
    worker->former_leases_end = now + LongestLeaseTime(scheduler->times.lease);
    LogEvent(scheduler, "worker_claimed", worker->description.id, "",
             fmt::format("fence={} running={}", worker->fence,
                         report.running.size()));
  }
  worker->next_renewal = now;
  worker->report_sent_at = worker->renewal_sent_at;
  scheduler->placement_needed = true;
  ApplyEnds(scheduler, worker,
            ApplyReport(worker, report, worker->renewal_sent_at, now), now);
  if (restarted) BeginNewProcess(scheduler, worker, now);
  ObserveRecord(scheduler, worker);
  AdoptOrphans(scheduler, worker);
}

}  // namespace
}  // namespace internal

void BeginScheduling(TaskScheduler* scheduler, FencingToken fence,
                     TimePoint now) {
  scheduler->fence = fence;
  scheduler->next_sweep = {};
  BeginEvacuationWait(&scheduler->evacuations, now);
  internal::RemoveDepartedWorkers(scheduler, now);
  for (auto& [id, worker] : scheduler->workers) {
    const WorkerDescription description = worker.description;
    const bool listed = worker.listed;
    const TimePoint cold_until = worker.cold_until;
    worker = WorkerRuns{};
    worker.cold_until = cold_until;
    worker.description = description;
    worker.listed = listed;
    worker.unlisted_at = now;
    worker.fence = fence;
  }
  internal::RebuildWorkerList(scheduler);
}

void EndScheduling(TaskScheduler* scheduler) {
  for (const auto& [id, job] : scheduler->jobs) {
    scheduler->actions.push_back(
        AnswerJob{id,
                  {StepJobOutcome::kMoved, "scheduler_changed",
                   internal::milliseconds(0)}});
  }
  scheduler->fence = 0;
  scheduler->jobs.clear();
  scheduler->queue.clear();
  scheduler->answers.clear();
  scheduler->cancelled_submissions.clear();
  scheduler->completed_before_submission.clear();
  for (auto& [id, worker] : scheduler->workers) {
    worker.runs.clear();
    worker.used = {};
    worker.orphans = 0;
    worker.claim = ClaimState::kUnclaimed;
  }
}

void SetExtent(TaskScheduler* scheduler, bool partial,
               std::set<std::string> home_workers) {
  scheduler->partial = partial;
  scheduler->home_workers = std::move(home_workers);
  scheduler->placement_needed = true;
  scheduler->next_sweep = {};
}

void RetryForeignWorkers(TaskScheduler* scheduler, FencingToken fence,
                         Duration delay, TimePoint now) {
  scheduler->reclaim_at_once_until =
      now + delay + scheduler->times.max_order_delay;
  for (auto& [id, worker] : scheduler->workers) {
    if (worker.claim != ClaimState::kForeign) continue;
    worker.fence = std::max(worker.fence, fence);
    worker.has_accepted_claim = false;
    worker.next_renewal = now + delay;
  }
  scheduler->next_sweep = {};
}

void UpdateWorker(TaskScheduler* scheduler, const WorkerDescription& worker,
                  TimePoint now) {
  const auto [found, added] =
      scheduler->workers.try_emplace(worker.id, WorkerRuns{});
  WorkerRuns& runs = found->second;
  const bool address_changed =
      !added && runs.description.address != worker.address;
  if (address_changed) internal::DropReplacedWorker(scheduler, &runs, now);
  if (added) internal::RebuildWorkerList(scheduler);
  if (added || address_changed) {
    runs.fence = scheduler->fence;
    runs.replaced = false;
    runs.claim = ClaimState::kUnclaimed;
    runs.next_renewal = now;
  }
  if (worker.draining && !runs.description.draining) {
    internal::LogEvent(scheduler, "worker_draining", worker.id, "", "");
  }
  if (scheduler->fence != 0 && (added || !runs.listed)) {
    internal::LogEvent(scheduler, "worker_listed", worker.id, "",
                       fmt::format("address={} new={}", worker.address, added));
  }
  internal::ObserveColdRecord(&runs, worker, added, now);
  runs.description = worker;
  runs.listed = true;
  internal::ObserveRecord(scheduler, &runs);
  internal::MarkPending(scheduler, &runs);
  scheduler->placement_needed = true;
}

void UnlistWorker(TaskScheduler* scheduler, const std::string& worker,
                  TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end() || !found->second.listed) return;
  found->second.listed = false;
  found->second.unlisted_at = now;
  if (scheduler->fence == 0) return;
  internal::LogEvent(scheduler, "worker_unlisted", worker, "",
                     fmt::format("runs={}", found->second.runs.size()));
}

void SetWorkersListedAt(TaskScheduler* scheduler, TimePoint read_at) {
  if (scheduler->workers_listed_at < scheduler->last_resubmission) {
    scheduler->placement_needed = true;
  }
  scheduler->workers_listed_at =
      std::max(scheduler->workers_listed_at, read_at);
}

bool AwaitsWorkerList(const TaskScheduler& scheduler, TimePoint now) {
  return scheduler.workers_listed_at < scheduler.last_resubmission &&
         now < scheduler.last_resubmission + scheduler.times.resubmission_wait;
}

bool IsCurrentSubmission(const TaskScheduler& scheduler, const StepJob& job,
                         TimePoint now) {
  if (job.scheduler_fence == 0) return true;
  return job.scheduler_fence == scheduler.fence &&
         now - job.heartbeat_sent_at <= scheduler.times.max_heartbeat_age;
}

void ConfirmDaemon(TaskScheduler* scheduler, const std::string& origin,
                   TimePoint at) {
  TimePoint& latest = scheduler->confirmations[origin];
  latest = std::max(latest, at);
}

std::vector<std::string> TakeUnconfirmedDaemons(TaskScheduler* scheduler,
                                                TimePoint now) {
  std::vector<std::string> unconfirmed;
  std::erase_if(scheduler->confirmations, [&](const auto& entry) {
    if (now - entry.second <= scheduler->times.daemon_timeout) return false;
    unconfirmed.push_back(entry.first);
    return true;
  });
  return unconfirmed;
}

void SubmitJob(TaskScheduler* scheduler, StepJob job, TimePoint now,
               const std::string& origin) {
  const std::string id = job.id;
  const auto answered = scheduler->answers.find(id);
  if (answered != scheduler->answers.end()) {
    const bool final =
        answered->second.answer.outcome == StepJobOutcome::kCompleted ||
        answered->second.answer.outcome == StepJobOutcome::kFailed;
    if (final) {
      scheduler->actions.push_back(AnswerJob{id, answered->second.answer});
      return;
    }
  }
  if (internal::RejectCancelledJob(scheduler, job, origin, now)) return;
  ScheduledJob* known = internal::FindJob(scheduler, id);
  if (known != nullptr) {
    internal::ResumeJob(scheduler, known, job, origin, now);
    return;
  }
  ++scheduler->counts.jobs;
  if (auto answer = internal::CheckCrashes(*scheduler, id)) {
    scheduler->actions.push_back(AnswerJob{id, *std::move(answer)});
    return;
  }
  if (job.generation == 0) {
    auto refusal = internal::CheckAdmission(*scheduler, job, now);
    if (refusal) {
      scheduler->actions.push_back(AnswerJob{id, *std::move(refusal)});
      return;
    }
  }
  internal::InsertJob(scheduler, std::move(job), now)->origin = origin;
  internal::AdoptKnownTasks(scheduler, id, now);
}

bool IsUnknownJob(const TaskScheduler& scheduler, const StepJob& job) {
  return !scheduler.jobs.contains(job.id) &&
         !internal::MayHaveRuns(scheduler, job) &&
         FindCancel(scheduler.cancels, job.id) == nullptr &&
         !internal::CheckCrashes(scheduler, job.id);
}

bool IsSupersededSubmission(const TaskScheduler& scheduler, const StepJob& job,
                            const std::string& origin) {
  if (job.submission == 0) return false;
  const auto cancelled = scheduler.cancelled_submissions.find({job.id, origin});
  if (cancelled != scheduler.cancelled_submissions.end() &&
      job.submission <= cancelled->second.submission) {
    return true;
  }
  const auto known = scheduler.jobs.find(job.id);
  return known != scheduler.jobs.end() && known->second.origin == origin &&
         job.submission < known->second.job.submission;
}

bool CancelJob(TaskScheduler* scheduler, const std::string& job,
               TimePoint now) {
  ScheduledJob* found = internal::FindJob(scheduler, job);
  if (found == nullptr) return false;
  internal::FinishJob(
      scheduler, found,
      {StepJobOutcome::kCancelled, "cancelled", internal::milliseconds(0)},
      now);
  return true;
}

bool CancelSubmission(TaskScheduler* scheduler, const std::string& job,
                      const std::string& origin, std::uint64_t submission,
                      TimePoint now) {
  if (submission != 0 && scheduler->fence != 0) {
    internal::KeepCancelledSubmission(scheduler, {job, origin}, submission,
                                      now);
  }
  const ScheduledJob* known = internal::FindJob(scheduler, job);
  if (known == nullptr || known->origin != origin) return false;
  if (submission != 0 && known->job.submission > submission) return false;
  return CancelJob(scheduler, job, now);
}

bool ApplyCallerCancel(TaskScheduler* scheduler, const JobCancel& cancel,
                       std::string_view learned_from, TimePoint now) {
  RemoveOldCancels(&scheduler->cancels, now);
  if (!AddCancel(&scheduler->cancels, cancel, learned_from, now)) return false;
  CancelJob(scheduler, cancel.job, now);
  return true;
}

void RecordStartReply(TaskScheduler* scheduler, const std::string& worker,
                      const StartOrder& order, const OrderReply& reply,
                      TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end()) return;
  WorkerRun* run = internal::FindRun(&found->second, order.task, order.run);
  if (run == nullptr) return;
  internal::MarkPending(scheduler, &found->second);
  if (std::holds_alternative<OrderAccepted>(reply)) {
    run->state = RunState::kRunning;
    run->confirmed_running_at = now;
  } else if (const auto* rejection = std::get_if<OrderRejection>(&reply)) {
    internal::ApplyStartRejection(scheduler, &found->second, order, *rejection,
                                  now);
  } else {
    internal::ApplyUnansweredStart(scheduler, &found->second, order, run,
                                   std::get<OrderUnanswered>(reply), now);
  }
}

void RecordStopReply(TaskScheduler* scheduler, const std::string& worker,
                     const StopOrder& order, const OrderReply& reply,
                     TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end()) return;
  WorkerRun* run = internal::FindRun(&found->second, order.task, order.run);
  if (run == nullptr) return;
  internal::MarkPending(scheduler, &found->second);
  run->stop_in_flight = false;
  if (std::holds_alternative<OrderAccepted>(reply)) {
    run->stopped_at = now;
  } else if (const auto* rejection = std::get_if<OrderRejection>(&reply)) {
    if (*rejection == OrderRejection::kStaleFence &&
        order.fence == found->second.fence) {
      internal::MarkWorkerForeign(scheduler, &found->second, now);
    }
  }
}

void RecordRenewalReply(TaskScheduler* scheduler, const std::string& worker,
                        const RenewOrder& order, const RenewReply& reply,
                        TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end()) return;
  WorkerRuns* runs = &found->second;
  if (order.id != runs->renewal_id) return;
  runs->renewal_in_flight = false;
  internal::MarkPending(scheduler, runs);
  // While the renewal was in flight, the rejection of another order may have
  // shown that the worker is foreign, which raised the token.
  if (order.fence != runs->fence) return;
  if (const auto* report = std::get_if<WorkerReport>(&reply)) {
    internal::ApplyAcceptedRenewal(scheduler, runs, *report, now);
    return;
  }
  const auto* rejection = std::get_if<OrderRejection>(&reply);
  if (rejection != nullptr && *rejection == OrderRejection::kStaleFence) {
    internal::MarkWorkerForeign(scheduler, runs, now);
  } else if (rejection != nullptr &&
             *rejection == OrderRejection::kOtherWorker) {
    internal::DropReplacedWorker(scheduler, runs, now);
  } else {
    const auto* unanswered = std::get_if<OrderUnanswered>(&reply);
    internal::ApplyUnansweredRenewal(
        scheduler, runs,
        unanswered == nullptr ? OrderUnanswered{} : *unanswered, now);
  }
}

void MergeCrashes(TaskScheduler* scheduler,
                  const std::vector<TaskCrash>& crashes,
                  std::string_view sender, TimePoint now) {
  for (const TaskCrash& crash : crashes) {
    if (!AddCrash(&scheduler->crashes, crash, sender, now)) continue;
    scheduler->jobs_with_new_crashes.insert(crash.task.job);
  }
  RemoveOldCrashes(&scheduler->crashes, now);
}

void RunScheduler(TaskScheduler* scheduler, TimePoint now) {
  if (scheduler->fence == 0) {
    if (internal::BeginCleanupIfDue(scheduler, now)) {
      internal::RemoveDepartedWorkers(scheduler, now);
    }
    return;
  }
  internal::ApplyNewCrashes(scheduler, now);
  if (now >= scheduler->next_sweep) {
    scheduler->next_sweep = now + internal::kSweepInterval;
    internal::Sweep(scheduler, now);
  }
  internal::ProcessPendingWorkers(scheduler, now);
  if (internal::BeginCleanupIfDue(scheduler, now)) {
    internal::RemoveUnlistedWorkers(scheduler, now);
    internal::RemoveOldAnswers(scheduler, now);
    RemoveOldCrashes(&scheduler->crashes, now);
    scheduler->placement_needed = true;
  }
  if (!std::exchange(scheduler->placement_needed, false)) return;
  internal::PlaceTasks(scheduler, now);
  internal::CountWithheldStarts(scheduler);
  // Tasks that wait for the link are tried again in the next call.
  scheduler->placement_needed = scheduler->link.waiting > 0;
}

std::vector<SchedulerAction> TakeActions(TaskScheduler* scheduler) {
  return std::exchange(scheduler->actions, {});
}

}  // namespace sequoiapath
