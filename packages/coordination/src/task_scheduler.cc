#include "sequoiapath/coordination/task_scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "sequoiapath/coordination/scheduler_election.h"
#include "task_placement.h"

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

// Runs of a job at another scheduler are numbered from the next multiple.
constexpr std::uint32_t kRunsPerGeneration = 1000;
constexpr Duration kSweepInterval = milliseconds(10);
constexpr Duration kListCheckInterval = milliseconds(20);
constexpr Duration kCleanupInterval = milliseconds(100);
constexpr milliseconds kLongestFenceStep{3'600'000};
// A worker that rejected a start for want of room is not asked again for so
// long.
constexpr Duration kNoRoomPause = milliseconds(300);
constexpr Duration kLongestHoldBackoff = milliseconds(500);
constexpr double kSpeedSmoothing = 0.2;

void Note(TaskScheduler* scheduler, const char* event, std::string worker,
          std::string job, std::string detail) {
  scheduler->actions.push_back(SchedulerNote{
      event, std::move(worker), std::move(job), std::move(detail)});
}

std::string Describe(const TaskName& task, std::uint32_t run) {
  return fmt::format("task={}.{} run={}", task.step, task.index, run);
}

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

// Has the worker looked at in the next pass.
void Touch(TaskScheduler* scheduler, WorkerRuns* worker) {
  if (std::exchange(worker->touched, true)) return;
  scheduler->touched.push_back(worker);
}

void ListWorkers(TaskScheduler* scheduler) {
  scheduler->worker_list.clear();
  scheduler->touched.clear();
  for (auto& [id, worker] : scheduler->workers) {
    worker.touched = false;
    scheduler->worker_list.push_back(&worker);
  }
  scheduler->next_sweep = {};
}

// Keeps the queue in step with the job's waiting tasks.
void UpdateQueue(TaskScheduler* scheduler, ScheduledJob* job) {
  if (HasWaitingTask(*job)) {
    scheduler->queue[job->key] = job;
    scheduler->smallest_demand =
        std::min(scheduler->smallest_demand, SmallestDemand(job->job));
  } else {
    scheduler->queue.erase(job->key);
  }
  scheduler->room_changed = true;
}

// Stops what still runs of a job.
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
      Touch(scheduler, &worker->second);
    }
  }
}

// Answers a job and forgets it; what runs of it is stopped.
void FinishJob(TaskScheduler* scheduler, ScheduledJob* job,
               StepJobAnswer answer, TimePoint now) {
  StopRunsOf(scheduler, *job);
  const std::string id = job->job.id;
  scheduler->queue.erase(job->key);
  scheduler->answers[id] = {answer, now};
  scheduler->jobs.erase(id);
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

void CountFailure(TaskScheduler* scheduler, ScheduledJob* job,
                  const TaskName& name, TimePoint now) {
  ScheduledTask* task = FindTask(job, name);
  if (task == nullptr || task->state == TaskState::kDone) return;
  ++task->failed_runs;
  ++scheduler->counts.runs_failed;
  Note(scheduler, "task_failed", task->worker, name.job,
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

// Takes over the end of one run.
void ApplyEnd(TaskScheduler* scheduler, WorkerRuns* worker,
              const RunEnded& ended, TimePoint now) {
  scheduler->room_changed = true;
  const std::string& id = worker->description.id;
  ScheduledJob* job = FindJob(scheduler, ended.task.job);
  const ScheduledTask* task = FindTask(job, ended.task);
  if (ended.how == RunOutcome::kDone) {
    if (ended.known) {
      RecordTaskEnd(&scheduler->health, id, TaskEnd::kSucceeded, false, now);
      ObserveRunTime(worker, ended.run, now);
    }
    if (task == nullptr) {
      scheduler->unclaimed_ends[ended.task] = now;
    } else {
      MarkDone(scheduler, job, ended.task, now);
    }
    return;
  }
  if (!ended.known || ended.run.orphan || task == nullptr) return;
  if (task->state != TaskState::kPlaced || task->worker != id) return;
  if (ended.how == RunOutcome::kFailed) {
    RecordTaskEnd(&scheduler->health, id, TaskEnd::kFailed, false, now);
    CountFailure(scheduler, job, ended.task, now);
    return;
  }
  ++scheduler->counts.runs_lost;
  Note(scheduler, "run_lost", id, ended.task.job,
       fmt::format("{} how={}", Describe(ended.task, ended.run.run),
                   ToString(ended.how)));
  MarkWaiting(scheduler, job, ended.task);
}

void ApplyEnds(TaskScheduler* scheduler, WorkerRuns* worker,
               const std::vector<RunEnded>& ended, TimePoint now) {
  for (const RunEnded& end : ended) ApplyEnd(scheduler, worker, end, now);
}

// Gives a run on a worker to its job. A run that is being stopped is given back
// too: its task must not start elsewhere before it has ended.
void AdoptTaskRun(TaskScheduler* scheduler, WorkerRuns* worker,
                  ScheduledJob* job, const TaskName& name, WorkerRun* run) {
  const ScheduledTask* task = FindTask(job, name);
  if (task == nullptr) return;
  if (task->state != TaskState::kWaiting) {
    run->stop_wanted = true;
    Touch(scheduler, worker);
    return;
  }
  AdoptRun(worker, name, job->job.steps[name.step]);
  if (!run->stop_in_flight && !run->stopped_at) run->stop_wanted = false;
  job->last_run = std::max(job->last_run, run->run);
  ++scheduler->counts.adopted;
  MarkPlaced(scheduler, job, name, worker->description.id);
}

// Gives orphans on a worker to the jobs that are known.
void AdoptOrphans(TaskScheduler* scheduler, WorkerRuns* worker) {
  if (worker->orphans == 0) return;
  for (auto& [name, run] : worker->runs) {
    ScheduledJob* job = run.orphan ? FindJob(scheduler, name.job) : nullptr;
    if (job != nullptr) AdoptTaskRun(scheduler, worker, job, name, &run);
  }
}

// Says whether tasks of the job may be on workers although it is only now
// submitted: it had another scheduler, or it was ended here a moment ago.
bool MayHaveRuns(const TaskScheduler& scheduler, const StepJob& job) {
  if (job.generation > 0 || scheduler.answers.contains(job.id)) return true;
  return std::any_of(
      scheduler.worker_list.begin(), scheduler.worker_list.end(),
      [](const WorkerRuns* worker) { return worker->orphans > 0; });
}

// Gives a job all runs of its tasks that are on workers.
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

// Takes what is known of a job's tasks from before its submission.
void AdoptKnownTasks(TaskScheduler* scheduler, const std::string& id,
                     TimePoint now) {
  AdoptRunsOf(scheduler, FindJob(scheduler, id));
  const TaskName first{id, 0, 0};
  for (auto it = scheduler->unclaimed_ends.lower_bound(first);
       it != scheduler->unclaimed_ends.end() && it->first.job == id;) {
    const TaskName name = it->first;
    it = scheduler->unclaimed_ends.erase(it);
    ScheduledJob* job = FindJob(scheduler, id);
    if (job == nullptr) return;
    job->any_started = true;
    MarkDone(scheduler, job, name, now);
  }
}

// Records that another scheduler has taken the worker.
void LoseWorker(TaskScheduler* scheduler, WorkerRuns* worker, TimePoint now) {
  const bool was_claimed = worker->claim == ClaimState::kClaimed;
  if (was_claimed) {
    Note(scheduler, "worker_lost_to_other_scheduler", worker->description.id,
         "",
         fmt::format("fence={} runs={}", worker->fence, worker->runs.size()));
  }
  worker->claim = ClaimState::kForeign;
  worker->fence = std::max(worker->fence, scheduler->claim);
  worker->fence = RaiseFence(worker->fence, worker->fence_step);
  worker->fence_step = std::min(worker->fence_step * 2, kLongestFenceStep);
  // While the worker was never claimed, the token that was rejected may be
  // older than one that a clock ahead of this one made; then more raises
  // follow.
  const bool first_rejection =
      !worker->claimed_before && !std::exchange(worker->rejected_before, true);
  if (now < scheduler->take_back_until) {
    worker->next_hold = now;
  } else if (first_rejection ||
             (worker->claimed_before && scheduler->partial)) {
    worker->next_hold = now + scheduler->times.foreign_retry_partial;
  } else if (!worker->claimed_before) {
    worker->next_hold = now;
  } else {
    worker->next_hold = now + scheduler->times.foreign_retry_full;
  }
  if (!worker->lapse_at && !worker->runs.empty()) {
    worker->lapse_at = now + scheduler->times.lease.foreign_slack;
  }
}

// Records that the worker's process is gone and its address reused.
void DropReplacedWorker(TaskScheduler* scheduler, WorkerRuns* worker,
                        TimePoint now) {
  Note(scheduler, "worker_replaced", worker->description.id, "",
       fmt::format("address={} runs={}", worker->description.address,
                   worker->runs.size()));
  worker->replaced = true;
  worker->claim = ClaimState::kUnclaimed;
  worker->lapse_at = now;
  ApplyEnds(scheduler, worker, EndLapsedRuns(worker, now), now);
}

bool IsWanted(const TaskScheduler& scheduler, const WorkerRuns& worker) {
  if (worker.replaced) return false;
  if (!worker.runs.empty()) return true;
  if (!worker.listed) return false;
  return !scheduler.partial ||
         scheduler.home_workers.contains(worker.description.id);
}

void SendHoldOrder(TaskScheduler* scheduler, WorkerRuns* worker,
                   TimePoint now) {
  RenewOrder order;
  // Repeated holds do not extend the lease, so that the runs of a worker that
  // cannot be reached are known to end. Nor does a hold while orphans run:
  // their scheduler may be cut off and start them again when it knows their
  // leases to have ended.
  const bool extends = worker->unanswered == 0 && worker->orphans == 0 &&
                       worker->claim == ClaimState::kClaimed;
  order.lease_end = extends ? NextLeaseEnd(*worker, scheduler->times.lease, now)
                            : worker->last_lease_end;
  worker->last_lease_end = std::max(worker->last_lease_end, order.lease_end);
  order.fence = worker->fence;
  order.last_seen_end = worker->last_seen_end;
  const bool settled =
      worker->claim == ClaimState::kClaimed && worker->unanswered == 0;
  if (settled) order.wait = scheduler->times.hold_wait;
  if (worker->orphans > 0) order.wait = scheduler->times.orphan_hold_wait;
  order.worker = worker->description.id;
  order.id = ++scheduler->next_hold_id;
  worker->hold_id = order.id;
  worker->hold_in_flight = true;
  worker->hold_sent_at = now;
  ++scheduler->counts.holds;
  scheduler->actions.push_back(SendHold{worker->description.id, order});
}

void SendStopOrders(TaskScheduler* scheduler, WorkerRuns* worker) {
  if (worker->claim == ClaimState::kForeign) return;
  for (const TaskName& task : TakeStops(worker)) {
    const std::uint32_t run = worker->runs.at(task).run;
    ++scheduler->counts.stops;
    scheduler->actions.push_back(
        SendStop{worker->description.id,
                 {task, run, worker->fence, worker->description.id}});
  }
}

// Stops runs that no job asked for, once their jobs had time to come back.
void StopOrphans(TaskScheduler* scheduler, WorkerRuns* worker, TimePoint now) {
  if (worker->orphans == 0) return;
  for (auto& [name, run] : worker->runs) {
    if (!run.orphan || run.stop_wanted) continue;
    if (now - run.ordered_at < scheduler->times.orphan_grace) continue;
    run.stop_wanted = true;
    ++scheduler->counts.orphans_stopped;
    Note(scheduler, "orphan_stopped", worker->description.id, name.job,
         Describe(name, run.run));
  }
}

// Stops runs that take far too long, so that they can start elsewhere.
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
    worker->slow_until = now + times.slow_pause;
    RecordTaskEnd(&scheduler->health, worker->description.id, TaskEnd::kFailed,
                  false, now);
    Note(scheduler, "run_overdue", worker->description.id, name.job,
         fmt::format("{} estimate_ms={} limit_ms={}", Describe(name, run.run),
                     run.estimate.count(), limit.count()));
  }
}

void RunWorker(TaskScheduler* scheduler, WorkerRuns* worker, TimePoint now) {
  ApplyEnds(scheduler, worker, EndLapsedRuns(worker, now), now);
  StopOrphans(scheduler, worker, now);
  StopOverdueRuns(scheduler, worker, now);
  SendStopOrders(scheduler, worker);
  if (worker->hold_in_flight || now < worker->next_hold) return;
  if (IsWanted(*scheduler, *worker)) SendHoldOrder(scheduler, worker, now);
}

void ForgetGoneWorkers(TaskScheduler* scheduler, TimePoint now) {
  const std::size_t erased =
      std::erase_if(scheduler->workers, [&](const auto& entry) {
        const WorkerRuns& worker = entry.second;
        const bool gone =
            !worker.listed && worker.runs.empty() && !worker.hold_in_flight &&
            now - worker.unlisted_at > scheduler->times.unlisted_grace;
        if (gone) ForgetWorker(&scheduler->health, entry.first);
        return gone;
      });
  if (erased > 0) ListWorkers(scheduler);
}

void ForgetOldAnswers(TaskScheduler* scheduler, TimePoint now) {
  const Duration memory = scheduler->times.memory;
  std::erase_if(scheduler->answers, [&](const auto& entry) {
    return now - entry.second.at > memory;
  });
  std::erase_if(scheduler->unclaimed_ends,
                [&](const auto& entry) { return now - entry.second > memory; });
}

// Says whether the job surely cannot end before its caller stops waiting. One
// that has started may be almost done.
bool IsOver(const ScheduledJob& job, TimePoint now) {
  if (job.any_started) return now >= job.expires;
  return now + ShortestRunTime(job.job) >= job.expires;
}

// Ends jobs whose callers no longer wait, or will not when the job can end.
void ExpireJobs(TaskScheduler* scheduler, TimePoint now) {
  std::vector<ScheduledJob*> expired;
  for (auto& [id, job] : scheduler->jobs) {
    if (IsOver(job, now)) expired.push_back(&job);
  }
  for (ScheduledJob* job : expired) {
    const bool started = job->any_started;
    FinishJob(scheduler, job,
              {started ? StepJobOutcome::kExpired : StepJobOutcome::kRefused,
               started ? "deadline_exceeded" : "overloaded", milliseconds(0)},
              now);
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

ScheduledJob* InsertJob(TaskScheduler* scheduler, StepJob job, TimePoint now) {
  ScheduledJob scheduled;
  scheduled.arrived = now - job.age;
  scheduled.expires = now + job.remaining;
  const milliseconds stretched(static_cast<std::int64_t>(
      static_cast<double>(CriticalPathTime(job).count()) * job.stretch));
  scheduled.objective = scheduled.arrived + stretched + job.slack;
  scheduled.key = {Lateness::kInTime, job.priority, scheduled.objective,
                   scheduler->next_sequence++};
  scheduled.last_run = job.generation * kRunsPerGeneration;
  scheduled.any_started = job.generation > 0;
  scheduled.submitted = now;
  if (job.generation > 0) {
    scheduled.uncertain_until = now + scheduler->times.unknown_runs;
  }
  scheduled.job = std::move(job);
  InitializeSteps(&scheduled);
  const std::string id = scheduled.job.id;
  ScheduledJob* inserted =
      &scheduler->jobs.emplace(id, std::move(scheduled)).first->second;
  UpdateQueue(scheduler, inserted);
  return inserted;
}

// Returns why a new job is refused, if it is.
std::optional<StepJobAnswer> CheckAdmission(const TaskScheduler& scheduler,
                                            const StepJob& job, TimePoint now) {
  if (!CanEverRun(scheduler, job)) {
    return StepJobAnswer{StepJobOutcome::kRefused, "never_fits",
                         kNeverFitsRetry};
  }
  const auto wait = ExpectedWait(scheduler, job, now);
  if (!wait || *wait + ShortestRunTime(job) <= job.remaining) {
    return std::nullopt;
  }
  return StepJobAnswer{StepJobOutcome::kRefused, "overloaded", *wait};
}

// Starts a task on a worker.
void StartTask(TaskScheduler* scheduler, ScheduledJob* job,
               const TaskName& name, WorkerRuns* worker, TimePoint now) {
  const JobStep& step = job->job.steps[name.step];
  WorkerRun run;
  run.run = ++job->last_run;
  run.demand = step.demand;
  run.estimate = step.estimate;
  run.lease_end = NextLeaseEnd(*worker, scheduler->times.lease, now);
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

// Places the waiting tasks of a step that is ready, as far as there is room.
void PlaceStep(TaskScheduler* scheduler, PlacementView* view, ScheduledJob* job,
               std::uint32_t step_index, TimePoint now) {
  ScheduledStep& step = job->steps[step_index];
  for (std::uint32_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
    if (step.tasks[i].state != TaskState::kWaiting) continue;
    const TaskName name{job->job.id, step_index, i};
    WorkerRuns* worker = ChooseWorker(*scheduler, view, *job, name, now);
    if (worker == nullptr) return;
    StartTask(scheduler, job, name, worker, now);
  }
}

bool IsReady(const ScheduledJob& job, std::size_t step) {
  const auto& after = job.job.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    return job.steps[earlier].unfinished == 0;
  });
}

// Says whether the worker's list shows every run of the job that a former
// scheduler started there, and no more of them can start.
bool ShowsRunsOf(const WorkerRuns& worker, const ScheduledJob& job) {
  if (worker.claim != ClaimState::kClaimed || worker.unanswered > 0) {
    return false;
  }
  return worker.fence > job.job.former_fence ||
         worker.report_sent_at >= job.submitted;
}

// Says whether tasks of the job may start that no worker is known to run.
bool AllRunsAreShown(const TaskScheduler& scheduler, const ScheduledJob& job) {
  // The store's entry of a worker that was cut off lapses, and the worker is
  // forgotten here while it still runs what the other side started.
  const auto is_unknown = [&scheduler](const std::string& id) {
    return !scheduler.workers.contains(id);
  };
  if (std::any_of(job.job.former_workers.begin(), job.job.former_workers.end(),
                  is_unknown)) {
    return false;
  }
  return std::all_of(
      scheduler.workers.begin(), scheduler.workers.end(),
      [&](const auto& entry) { return ShowsRunsOf(entry.second, job); });
}

// Places what fits of a job.
void PlaceJob(TaskScheduler* scheduler, PlacementView* view, ScheduledJob* job,
              TimePoint now) {
  for (std::uint32_t s = 0; s < job->steps.size(); ++s) {
    if (job->steps[s].waiting == 0 || !IsReady(*job, s)) continue;
    if (job->job.steps[s].demand.milli_cores > view->largest_room) continue;
    PlaceStep(scheduler, view, job, s, now);
  }
}

// As above, but looks at all lists only now and then: after a takeover many
// jobs wait, and each pass over them would cost more time than there is.
bool MayStartTasks(const TaskScheduler& scheduler, ScheduledJob* job,
                   TimePoint now) {
  if (now >= job->uncertain_until) return true;
  if (now < job->next_list_check) return false;
  job->next_list_check = now + kListCheckInterval;
  if (!AllRunsAreShown(scheduler, *job)) return false;
  job->uncertain_until = now;
  return true;
}

void PlaceTasks(TaskScheduler* scheduler, TimePoint now) {
  if (scheduler->queue.empty()) return;
  PlacementView view = FindRoom(*scheduler, scheduler->smallest_demand, now);
  // Placing changes the queue.
  std::vector<ScheduledJob*> jobs;
  if (!view.candidates.empty()) {
    jobs.reserve(scheduler->queue.size());
    for (const auto& [key, job] : scheduler->queue) jobs.push_back(job);
  }
  for (ScheduledJob* job : jobs) {
    if (view.largest_room < scheduler->smallest_demand) return;
    if (!MayStartTasks(*scheduler, job, now)) continue;
    PlaceJob(scheduler, &view, job, now);
  }
}

// Returns the time that the rest of the job needs by its estimates.
milliseconds RemainingChain(const ScheduledJob& job) {
  std::vector<milliseconds> chain(job.steps.size());
  milliseconds longest(0);
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    milliseconds before(0);
    for (const std::uint32_t earlier : job.job.steps[s].after) {
      before = std::max(before, chain[earlier]);
    }
    chain[s] = before;
    if (job.steps[s].waiting > 0) chain[s] += job.job.steps[s].estimate;
    longest = std::max(longest, chain[s]);
  }
  return longest;
}

// Moves jobs that can no longer be in time behind those that can.
void MarkLateJobs(TaskScheduler* scheduler, TimePoint now) {
  std::vector<ScheduledJob*> late;
  for (const auto& [key, job] : scheduler->queue) {
    if (key.lateness != Lateness::kInTime) break;
    if (now + RemainingChain(*job) > job->objective) late.push_back(job);
  }
  for (ScheduledJob* job : late) {
    Note(scheduler, "job_late", "", job->job.id,
         fmt::format("rest_ms={} objective_in_ms={} started={} queued_jobs={}",
                     RemainingChain(*job).count(),
                     (job->objective - now) / milliseconds(1), job->any_started,
                     scheduler->queue.size()));
    scheduler->queue.erase(job->key);
    job->key.lateness =
        job->any_started ? Lateness::kLateStarted : Lateness::kLate;
    job->key.due = job->expires;
    scheduler->queue[job->key] = job;
  }
}

// Looks at every worker and ends jobs whose callers no longer wait.
void Sweep(TaskScheduler* scheduler, TimePoint now) {
  ExpireJobs(scheduler, now);
  MarkLateJobs(scheduler, now);
  for (WorkerRuns* worker : scheduler->worker_list) {
    RunWorker(scheduler, worker, now);
  }
  scheduler->smallest_demand = std::numeric_limits<std::int64_t>::max();
  for (const auto& [key, job] : scheduler->queue) {
    scheduler->smallest_demand =
        std::min(scheduler->smallest_demand, SmallestDemand(job->job));
  }
}

// Looks at the workers that had an event.
void RunTouchedWorkers(TaskScheduler* scheduler, TimePoint now) {
  // A job that fails stops its runs on further workers.
  while (!scheduler->touched.empty()) {
    for (WorkerRuns* worker : std::exchange(scheduler->touched, {})) {
      worker->touched = false;
      RunWorker(scheduler, worker, now);
    }
  }
}

// Returns the run that an order was about, or null if it is over.
WorkerRun* FindRun(WorkerRuns* worker, const TaskName& task,
                   std::uint32_t run) {
  const auto found = worker->runs.find(task);
  if (found == worker->runs.end() || found->second.run != run) return nullptr;
  return &found->second;
}

// A start that the worker rejected did not run.
void ApplyStartRejection(TaskScheduler* scheduler, WorkerRuns* worker,
                         const StartOrder& order, OrderRejection rejection,
                         TimePoint now) {
  ++scheduler->counts.starts_rejected;
  const std::string& id = worker->description.id;
  RemoveRun(worker, order.task);
  ScheduledJob* job = FindJob(scheduler, order.task.job);
  Note(scheduler, "start_rejected", id, order.task.job,
       fmt::format("{} reason={} fence={}", Describe(order.task, order.run),
                   ToString(rejection), order.fence));
  switch (rejection) {
    case OrderRejection::kStaleFence:
      if (order.fence == worker->fence) LoseWorker(scheduler, worker, now);
      break;
    case OrderRejection::kOtherWorker:
      DropReplacedWorker(scheduler, worker, now);
      break;
    case OrderRejection::kOldRun:
      if (job != nullptr) job->last_run += kRunsPerGeneration;
      break;
    case OrderRejection::kNoCapacity:
    case OrderRejection::kLeaseExpired:
      worker->blocked_until = now + kNoRoomPause;
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
  Note(scheduler, "start_unanswered", worker->description.id, order.task.job,
       fmt::format("{} sent={}", Describe(order.task, order.run),
                   unanswered.may_have_been_sent));
  RecordTaskEnd(&scheduler->health, worker->description.id,
                TaskEnd::kNotStarted, false, now);
  if (!unanswered.may_have_been_sent) {
    RemoveRun(worker, order.task);
    MarkWaiting(scheduler, FindJob(scheduler, order.task.job), order.task);
    return;
  }
  run->state = RunState::kUnknown;
}

void ApplyUnansweredHold(TaskScheduler* scheduler, WorkerRuns* worker,
                         TimePoint now) {
  ++scheduler->counts.holds_unanswered;
  if (worker->unanswered++ == 0) {
    Note(scheduler, "worker_unreachable", worker->description.id, "",
         fmt::format("runs={}", worker->runs.size()));
  }
  worker->next_hold =
      now + std::min<Duration>(scheduler->times.hold_retry * worker->unanswered,
                               kLongestHoldBackoff);
  if (!worker->lapse_at && !worker->runs.empty()) {
    worker->lapse_at = LapseTime(*worker, scheduler->times.lease, now);
  }
}

void ApplyAcceptedHold(TaskScheduler* scheduler, WorkerRuns* worker,
                       const WorkerReport& report, TimePoint now) {
  if (worker->unanswered > 0) {
    Note(scheduler, "worker_reachable", worker->description.id, "",
         fmt::format("unanswered={} running={}", worker->unanswered,
                     report.running.size()));
  }
  worker->unanswered = 0;
  if (worker->claim != ClaimState::kClaimed) {
    worker->claim = ClaimState::kClaimed;
    worker->claimed_before = true;
    Note(scheduler, "worker_claimed", worker->description.id, "",
         fmt::format("fence={} running={}", worker->fence,
                     report.running.size()));
  }
  worker->next_hold = now;
  worker->report_sent_at = worker->hold_sent_at;
  scheduler->room_changed = true;
  ApplyEnds(scheduler, worker,
            ApplyReport(worker, report, worker->hold_sent_at, now), now);
  AdoptOrphans(scheduler, worker);
}

}  // namespace
}  // namespace internal

void BeginScheduling(TaskScheduler* scheduler, FencingToken claim,
                     TimePoint now) {
  scheduler->claim = claim;
  scheduler->next_sweep = {};
  for (auto& [id, worker] : scheduler->workers) {
    const WorkerDescription description = worker.description;
    const bool listed = worker.listed;
    worker = WorkerRuns{};
    worker.description = description;
    worker.listed = listed;
    worker.unlisted_at = now;
    worker.fence = claim;
  }
  internal::ListWorkers(scheduler);
}

void EndScheduling(TaskScheduler* scheduler) {
  for (const auto& [id, job] : scheduler->jobs) {
    scheduler->actions.push_back(
        AnswerJob{id,
                  {StepJobOutcome::kMoved, "scheduler_changed",
                   internal::milliseconds(0)}});
  }
  scheduler->claim = 0;
  scheduler->jobs.clear();
  scheduler->queue.clear();
  scheduler->answers.clear();
  scheduler->unclaimed_ends.clear();
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
  scheduler->room_changed = true;
  scheduler->next_sweep = {};
}

void RetryForeignWorkers(TaskScheduler* scheduler, FencingToken fence,
                         Duration delay, TimePoint now) {
  scheduler->take_back_until = now + delay + scheduler->times.late_rival_orders;
  for (auto& [id, worker] : scheduler->workers) {
    if (worker.claim != ClaimState::kForeign) continue;
    worker.fence = std::max(worker.fence, fence);
    worker.claimed_before = false;
    worker.next_hold = now + delay;
  }
  scheduler->next_sweep = {};
}

void UpdateWorker(TaskScheduler* scheduler, const WorkerDescription& worker,
                  TimePoint now) {
  const auto [found, added] =
      scheduler->workers.try_emplace(worker.id, WorkerRuns{});
  WorkerRuns& runs = found->second;
  const bool moved = !added && runs.description.address != worker.address;
  if (moved) internal::DropReplacedWorker(scheduler, &runs, now);
  if (added) internal::ListWorkers(scheduler);
  if (added || moved) {
    runs.fence = scheduler->claim;
    runs.replaced = false;
    runs.claim = ClaimState::kUnclaimed;
    runs.next_hold = now;
  }
  if (worker.draining && !runs.description.draining) {
    internal::Note(scheduler, "worker_draining", worker.id, "", "");
  }
  runs.description = worker;
  runs.listed = true;
  internal::Touch(scheduler, &runs);
  scheduler->room_changed = true;
}

void UnlistWorker(TaskScheduler* scheduler, const std::string& worker,
                  TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end() || !found->second.listed) return;
  found->second.listed = false;
  found->second.unlisted_at = now;
}

void SubmitJob(TaskScheduler* scheduler, StepJob job, TimePoint now) {
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
  if (scheduler->jobs.contains(id)) return;
  ++scheduler->counts.jobs;
  if (job.generation == 0) {
    auto refusal = internal::CheckAdmission(*scheduler, job, now);
    if (refusal) {
      scheduler->actions.push_back(AnswerJob{id, *std::move(refusal)});
      return;
    }
  }
  internal::InsertJob(scheduler, std::move(job), now);
  internal::AdoptKnownTasks(scheduler, id, now);
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

void RecordStartReply(TaskScheduler* scheduler, const std::string& worker,
                      const StartOrder& order, const OrderReply& reply,
                      TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end()) return;
  WorkerRun* run = internal::FindRun(&found->second, order.task, order.run);
  if (run == nullptr) return;
  internal::Touch(scheduler, &found->second);
  if (std::holds_alternative<OrderAccepted>(reply)) {
    run->state = RunState::kRunning;
    run->confirmed_at = now;
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
  internal::Touch(scheduler, &found->second);
  run->stop_in_flight = false;
  if (std::holds_alternative<OrderAccepted>(reply)) {
    run->stopped_at = now;
  } else if (const auto* rejection = std::get_if<OrderRejection>(&reply)) {
    if (*rejection == OrderRejection::kStaleFence &&
        order.fence == found->second.fence) {
      internal::LoseWorker(scheduler, &found->second, now);
    }
  }
}

void RecordHoldReply(TaskScheduler* scheduler, const std::string& worker,
                     const RenewOrder& order, const RenewReply& reply,
                     TimePoint now) {
  const auto found = scheduler->workers.find(worker);
  if (found == scheduler->workers.end()) return;
  WorkerRuns* runs = &found->second;
  if (order.id != runs->hold_id) return;
  runs->hold_in_flight = false;
  internal::Touch(scheduler, runs);
  // A start may have shown meanwhile that another scheduler took the worker.
  if (order.fence != runs->fence) return;
  if (const auto* report = std::get_if<WorkerReport>(&reply)) {
    internal::ApplyAcceptedHold(scheduler, runs, *report, now);
    return;
  }
  const auto* rejection = std::get_if<OrderRejection>(&reply);
  if (rejection != nullptr && *rejection == OrderRejection::kStaleFence) {
    internal::LoseWorker(scheduler, runs, now);
  } else if (rejection != nullptr &&
             *rejection == OrderRejection::kOtherWorker) {
    internal::DropReplacedWorker(scheduler, runs, now);
  } else {
    internal::ApplyUnansweredHold(scheduler, runs, now);
  }
}

void RunScheduler(TaskScheduler* scheduler, TimePoint now) {
  if (scheduler->claim == 0) return;
  if (now >= scheduler->next_sweep) {
    scheduler->next_sweep = now + internal::kSweepInterval;
    internal::Sweep(scheduler, now);
  }
  internal::RunTouchedWorkers(scheduler, now);
  if (now >= scheduler->next_cleanup) {
    scheduler->next_cleanup = now + internal::kCleanupInterval;
    internal::ForgetGoneWorkers(scheduler, now);
    internal::ForgetOldAnswers(scheduler, now);
    scheduler->room_changed = true;
  }
  if (!std::exchange(scheduler->room_changed, false)) return;
  internal::PlaceTasks(scheduler, now);
  scheduler->room_changed = false;
}

std::vector<SchedulerAction> TakeActions(TaskScheduler* scheduler) {
  return std::exchange(scheduler->actions, {});
}

}  // namespace sequoiapath
