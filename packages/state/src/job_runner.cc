#include "sequoiapath/state/job_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {

// Limits on the result of WaitingDemands. A daemon that lends units rarely has
// more of them; further tasks are listed after the next dispatch.
constexpr std::size_t kMaxDemands = 64;
constexpr std::size_t kMaxDemandTasks = 512;
// Retry delay of a task that this daemon could not send, for example because
// all connections to the worker were in use. The worker stays eligible.
constexpr auto kLocalRetryDelay = std::chrono::milliseconds(20);
// Assumed run time of a failed task's service while no run time has been
// observed; the task's units stay in use for this time after the start.
constexpr auto kDefaultRunTime = std::chrono::milliseconds(200);
// A lease shorter than the mean run time plus this many deviations may also
// expire on a healthy worker, so its expiry does not count as a failure.
constexpr int kLeaseDeviations = 4;

struct RunningJob {
  JobId id = 0;
  JobSpec spec;
  JobCallback callback;
  TimePoint started_at;
  std::vector<std::string> results;
  std::uint32_t done = 0;
  // Counts of started tasks; `started` includes those in flight, those with an
  // unknown outcome and those that have completed or failed.
  std::uint32_t started = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t unknown = 0;
  std::size_t waiting = 0;  // Tasks in the queue or waiting for a retry.
  bool cancelled = false;
  std::optional<Failure> failure;
  // Task id and worker of each task in flight, by index in the submission.
  std::unordered_map<std::uint32_t, std::pair<std::string, std::string>>
      running_tasks;
  TimerId deadline_timer = 0;
};

namespace {

Verdict VerdictOf(const RunningJob& job) {
  if (job.unknown > 0 || job.in_flight > 0) return Verdict::kMayHaveRun;
  return job.started > 0 ? Verdict::kRan : Verdict::kNotRun;
}

Priority PriorityOf(const JobSpec& spec) {
  return spec.request.priority.value_or(spec.service.priority);
}

// Returns whether the job's deadline has been reached, with a tolerance for
// rounding: a lease up to the deadline is rounded down to milliseconds, so its
// task times out just before the job does.
bool IsAtDeadline(const RunningJob& job, TimePoint now) {
  constexpr auto kRounding = std::chrono::milliseconds(5);
  return now + kRounding >= job.spec.deadline;
}

RetryAdvice AdviceFor(const RunningJob& job, Verdict verdict) {
  if (verdict == Verdict::kNotRun || job.spec.service.idempotent) {
    return RetryAdvice::kNewSequence;
  }
  return RetryAdvice::kNever;
}

}  // namespace
}  // namespace internal

using internal::RunningJob;

JobRunner::JobRunner(EventLoop* loop, std::string task_id_prefix)
    : loop(loop),
      task_id_prefix(std::move(task_id_prefix)),
      workers(loop, [this] { this->ScheduleDispatch(); }) {}

JobRunner::~JobRunner() { this->closing = true; }

void JobRunner::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  if (this->hooks) {
    SetResources(&this->ledger, catalog->document, this->hooks->data_centre,
                 this->loop->Now());
  } else {
    SetWorkers(&this->ledger, catalog->document.workers);
  }
  this->ForgetChangedWorkers(*catalog);
  this->catalog = catalog;
  this->workers.SetCatalog(std::move(catalog));
  this->ScheduleDispatch();
}

// Discards the health of workers whose configuration changed, because the same
// name may now refer to another machine.
void JobRunner::ForgetChangedWorkers(const Catalog& next) {
  if (this->catalog == nullptr) return;
  for (const WorkerSpec& old : this->catalog->document.workers) {
    const WorkerSpec* worker = FindWorker(next, old.name);
    if (worker == nullptr || *worker != old) {
      ForgetWorker(&this->health, old.name);
    }
  }
  for (const WorkerSpec& worker : next.document.workers) {
    if (FindWorker(*this->catalog, worker.name) == nullptr) {
      ForgetWorker(&this->health, worker.name);
    }
  }
}

std::vector<WaitingDemand> JobRunner::WaitingDemands() const {
  return ListWaiting(this->queue, internal::kMaxDemands,
                     internal::kMaxDemandTasks);
}

bool JobRunner::HasFreeWorker(const Placement& placement) {
  // No team has an empty name, so no quota is checked.
  const auto held = this->Acquire("", placement, /*idempotent=*/true);
  if (held) ReleaseUnits(&this->ledger, *held);
  return held.has_value();
}

std::optional<Failure> JobRunner::CheckLocalPlacement(
    const JobSpec& spec) const {
  if (!this->hooks || this->catalog == nullptr) return std::nullopt;
  const Placement placement{spec.request.demand, spec.request.places};
  for (const WorkerSpec& worker : this->catalog->document.workers) {
    if (worker.data_centre == this->hooks->data_centre &&
        AllowsPlace(placement, worker) && UnitsFor(worker, placement.demand)) {
      return std::nullopt;
    }
  }
  return Failure{Verdict::kNotRun, Reason::kNeverFits, RetryAdvice::kNewSession,
                 std::nullopt,
                 fmt::format("this daemon starts tasks only in data centre {}, "
                             "where no worker fits the demand and places",
                             this->hooks->data_centre)};
}

std::optional<Failure> JobRunner::CheckAdmission(const JobSpec& spec) {
  if (auto failure = this->CheckLocalPlacement(spec)) return failure;
  // A job for which a worker is free is admitted even while tasks wait for
  // another kind of worker.
  const auto free =
      this->Acquire(spec.team, {spec.request.demand, spec.request.places},
                    spec.service.idempotent);
  if (free) ReleaseUnits(&this->ledger, *free);
  return DecideAdmission(this->admission_limits, this->waiting_work,
                         this->estimates,
                         {.service = spec.service.name,
                          .team = spec.team,
                          .priority = internal::PriorityOf(spec),
                          .tasks = spec.request.payloads.size(),
                          .deadline = spec.deadline - this->loop->Now(),
                          .slots_in_use = this->tasks_in_flight,
                          .saturated = this->saturated && !free.has_value()});
}

JobId JobRunner::Start(JobSpec spec, JobCallback callback) {
  const JobId id = this->next_job_id++;
  auto owned = std::make_unique<RunningJob>();
  RunningJob* job = owned.get();
  job->id = id;
  job->callback = std::move(callback);
  job->results.resize(spec.request.payloads.size());
  job->spec = std::move(spec);
  job->started_at = this->loop->Now();
  const Duration remaining = job->spec.deadline - job->started_at;
  job->deadline_timer =
      this->loop->Schedule(remaining, [this, id] { this->OnDeadline(id); });
  EnqueueGroup(
      &this->queue,
      {.job = id,
       .team = job->spec.team,
       .weight = job->spec.weight,
       .priority = internal::PriorityOf(job->spec),
       .placement = {job->spec.request.demand, job->spec.request.places},
       .task_count = static_cast<std::uint32_t>(job->results.size())});
  this->AddWaitingTasks(job, job->results.size());
  this->jobs.emplace(id, std::move(owned));
  this->ScheduleDispatch();
  return id;
}

void JobRunner::Cancel(JobId id) {
  RunningJob* job = this->FindJob(id);
  if (job == nullptr) return;
  job->cancelled = true;
  for (const auto& [index, task] : job->running_tasks) {
    this->CountMessage(job);
    this->workers.StopTask(task.second, task.first);
  }
  this->FailJob(job, Reason::kCancelled, "cancelled by the caller");
}

void JobRunner::AbandonJobs() {
  while (!this->jobs.empty()) {
    RunningJob* job = this->jobs.begin()->second.get();
    if (!job->failure) {
      job->failure =
          Failure{Verdict::kNotRun, Reason::kStopping, RetryAdvice::kNever,
                  std::nullopt, "the daemon stopped before the job finished"};
    }
    this->Finish(job);
  }
}

std::size_t JobRunner::RunningJobCount() const { return this->jobs.size(); }

RunningJob* JobRunner::FindJob(JobId id) {
  const auto it = this->jobs.find(id);
  return it == this->jobs.end() ? nullptr : it->second.get();
}

// Dispatches from a timer, so that callbacks run only after Start has returned
// and one dispatch serves all events of an iteration of the loop.
void JobRunner::ScheduleDispatch() {
  if (this->dispatch_scheduled) return;
  this->dispatch_scheduled = true;
  this->loop->Schedule(Duration::zero(), [this] {
    this->dispatch_scheduled = false;
    this->Dispatch();
  });
}

void JobRunner::Dispatch() {
  if (this->hooks) this->hooks->before_dispatch();
  this->StartWaitingTasks();
  if (this->hooks) this->hooks->after_dispatch();
}

void JobRunner::StartWaitingTasks() {
  while (this->queue.waiting > 0) {
    std::optional<HeldUnits> held;
    const auto task = DequeueTask(
        &this->queue,
        [this, &held](const TaskGroup& group) {
          const RunningJob* job = this->FindJob(group.job);
          SEQUOIAPATH_ASSERT(job != nullptr,
                             "job {} is queued but is not running", group.job);
          held = this->Acquire(group.team, group.placement,
                               job->spec.service.idempotent);
          return held.has_value();
        },
        [this](const std::string& team) {
          return HasQuota(&this->ledger, team, this->loop->Now());
        });
    if (!task) {
      this->saturated = true;
      this->ScheduleNextEligibility();
      return;
    }
    this->SendTask(*task, *std::move(held));
  }
  this->saturated = false;
}

std::optional<HeldUnits> JobRunner::Acquire(const std::string& team,
                                            const Placement& placement,
                                            bool idempotent) {
  if (this->hooks && !this->hooks->may_start()) return std::nullopt;
  const TimePoint now = this->loop->Now();
  return AcquireUnits(
      &this->ledger, team, placement, now, [&](const std::string& worker) {
        return IsEligible(this->health, worker, idempotent, now) &&
               this->workers.AllowsTask(worker, idempotent);
      });
}

// Schedules a dispatch for when the next worker becomes eligible again, because
// eligibility returns with time and not with an event.
void JobRunner::ScheduleNextEligibility() {
  const TimePoint now = this->loop->Now();
  const auto next = NextEligibility(this->health, now);
  if (!next) return;
  this->loop->Cancel(this->eligibility_timer);
  this->eligibility_timer =
      this->loop->Schedule(*next - now, [this] { this->ScheduleDispatch(); });
}

void JobRunner::SendTask(const QueuedTask& task, HeldUnits held) {
  RunningJob* job = this->FindJob(task.job);
  const TimePoint now = this->loop->Now();
  const auto remaining =
      std::chrono::floor<std::chrono::milliseconds>(job->spec.deadline - now);
  if (remaining <= std::chrono::milliseconds::zero()) {
    ReleaseUnits(&this->ledger, held);
    this->OnDeadline(task.job);
    return;
  }
  const auto lease = std::min(remaining, job->spec.service.longest_run);
  const bool trial = RecordTaskSent(&this->health, held.worker);
  SentTask sent{
      task,
      std::move(held),
      fmt::format("{}-{}-{}", this->task_id_prefix, task.job, task.index),
      now,
      now - job->started_at,
      now + lease,
      job->spec.service.name,
      trial};
  TaskStart start{sent.task_id, job->spec.service.name, lease,
                  job->spec.request.payloads[task.index]};
  this->RemoveWaitingTasks(job, 1);
  this->CountMessage(job);
  ++this->tasks_in_flight;
  ++job->started;
  ++job->in_flight;
  job->running_tasks[task.index] = {sent.task_id, sent.held.worker};
  const std::string worker = sent.held.worker;
  this->workers.StartTask(worker, std::move(start), lease,
                          [this, sent = std::move(sent)](TaskOutcome outcome) {
                            this->OnOutcome(sent, std::move(outcome));
                          });
}

void JobRunner::OnOutcome(const SentTask& sent, TaskOutcome outcome) {
  if (this->closing) return;
  --this->tasks_in_flight;
  RunningJob* job = this->FindJob(sent.task.job);
  this->RecordTaskOutcome(sent, outcome, job);
  this->ObserveOutcome(sent, outcome, job);
  this->ReleaseUnitsOf(sent, outcome);
  if (job != nullptr) {
    --job->in_flight;
    job->running_tasks.erase(sent.task.index);
    this->RecordResult(job, sent.task.index, std::move(outcome));
  }
  this->ScheduleDispatch();
}

void JobRunner::CountMessage(RunningJob* job) {
  if (this->metrics != nullptr) ++this->metrics->worker_messages;
  if (job->spec.observed != nullptr) ++job->spec.observed->messages;
}

void JobRunner::ObserveOutcome(const SentTask& sent, const TaskOutcome& outcome,
                               RunningJob* job) {
  if (outcome.kind == TaskOutcome::Kind::kNotStarted) return;
  const TimePoint now = this->loop->Now();
  const Duration run_time = now - sent.sent;
  if (this->metrics != nullptr) {
    CountTask(this->metrics, sent.waited, run_time, now);
  }
  if (job != nullptr && job->spec.observed != nullptr &&
      outcome.kind == TaskOutcome::Kind::kDone) {
    ObserveTask(job->spec.observed.get(), run_time);
  }
}

void JobRunner::ReleaseUnitsOf(const SentTask& sent,
                               const TaskOutcome& outcome) {
  if (outcome.kind == TaskOutcome::Kind::kUnknown) {
    this->ReleaseAt(sent.held, sent.lease_end + kTaskLeaseMargin);
    return;
  }
  if (outcome.kind == TaskOutcome::Kind::kFailed &&
      FailsMoreThanPeers(this->health, sent.held.worker)) {
    const auto estimate = FindEstimate(this->estimates, sent.service);
    const Duration usual =
        estimate ? estimate->mean : Duration(internal::kDefaultRunTime);
    if (sent.sent + usual > this->loop->Now()) {
      this->ReleaseAt(sent.held, sent.sent + usual);
      return;
    }
  }
  ReleaseUnits(&this->ledger, sent.held);
}

TaskEnd JobRunner::ClassifyTaskEnd(const SentTask& sent,
                                   const TaskOutcome& outcome,
                                   const RunningJob* job) const {
  switch (outcome.kind) {
    case TaskOutcome::Kind::kDone:
      return TaskEnd::kSucceeded;
    case TaskOutcome::Kind::kNotStarted:
      return outcome.local_reason ? TaskEnd::kInconclusive
                                  : TaskEnd::kNotStarted;
    case TaskOutcome::Kind::kFailed:
      // Workers report a stopped task as failed, so such a failure is no sign
      // of a faulty worker.
      return job == nullptr || job->cancelled ? TaskEnd::kInconclusive
                                              : TaskEnd::kFailed;
    case TaskOutcome::Kind::kUnknown:
      break;
  }
  if (outcome.local_reason || (job != nullptr && job->cancelled)) {
    return TaskEnd::kInconclusive;
  }
  const auto estimate = FindEstimate(this->estimates, sent.service);
  const bool short_lease =
      estimate &&
      sent.lease_end - sent.sent <
          estimate->mean + internal::kLeaseDeviations * estimate->deviation;
  return short_lease ? TaskEnd::kInconclusive : TaskEnd::kFailed;
}

void JobRunner::RecordTaskOutcome(const SentTask& sent,
                                  const TaskOutcome& outcome,
                                  const RunningJob* job) {
  const TimePoint now = this->loop->Now();
  if (outcome.kind != TaskOutcome::Kind::kNotStarted) {
    RecordStart(&this->retry_budget);
  }
  if (outcome.kind == TaskOutcome::Kind::kDone) {
    RecordRunTime(&this->estimates, sent.service, now - sent.sent);
  }
  RecordTaskEnd(&this->health, sent.held.worker,
                this->ClassifyTaskEnd(sent, outcome, job), sent.trial, now);
  if (outcome.worker_leaving) {
    RecordLeaving(&this->health, sent.held.worker, now);
  }
}

void JobRunner::ReleaseAt(const HeldUnits& held, TimePoint when) {
  this->loop->Schedule(when - this->loop->Now(), [this, held] {
    ReleaseUnits(&this->ledger, held);
    this->ScheduleDispatch();
  });
}

void JobRunner::RecordResult(RunningJob* job, std::uint32_t index,
                             TaskOutcome outcome) {
  switch (outcome.kind) {
    case TaskOutcome::Kind::kDone:
      job->results[index] = std::move(outcome.result);
      ++job->done;
      break;
    case TaskOutcome::Kind::kFailed:
      this->FailJob(job, Reason::kWorkerFailed, std::move(outcome.detail));
      return;
    case TaskOutcome::Kind::kUnknown:
      ++job->unknown;
      this->FailJob(job,
                    internal::IsAtDeadline(*job, this->loop->Now())
                        ? Reason::kDeadlineExceeded
                        : Reason::kWorkerSilent,
                    std::move(outcome.detail));
      return;
    case TaskOutcome::Kind::kNotStarted:
      --job->started;
      if (!job->failure) {
        this->Retry(job, index,
                    outcome.local_reason ? Duration(internal::kLocalRetryDelay)
                                         : Duration::zero());
      }
      break;
  }
  this->FinishIfDone(job);
}

void JobRunner::Retry(RunningJob* job, std::uint32_t index, Duration delay) {
  this->AddWaitingTasks(job, 1);
  const QueuedTask task{job->id, index};
  this->loop->Schedule(delay, [this, task] {
    this->retries.push_back(task);
    this->RequeueRetries();
  });
}

// Puts tasks back into the queue while the retry budget allows; schedules the
// rest for when the budget allows the next retry.
void JobRunner::RequeueRetries() {
  const TimePoint now = this->loop->Now();
  while (!this->retries.empty()) {
    const QueuedTask task = this->retries.front();
    const RunningJob* job = this->FindJob(task.job);
    const bool needed = job != nullptr && !job->failure;
    if (needed && !TakeRetry(&this->retry_budget, now)) break;
    this->retries.pop_front();
    if (!needed) continue;
    RequeueTask(&this->queue, task);
    this->ScheduleDispatch();
  }
  this->loop->Cancel(this->retry_timer);
  this->retry_timer = 0;
  if (this->retries.empty()) return;
  this->retry_timer =
      this->loop->Schedule(TimeToNextRetry(&this->retry_budget, now),
                           [this] { this->RequeueRetries(); });
}

void JobRunner::AddWaitingTasks(RunningJob* job, std::size_t tasks) {
  job->waiting += tasks;
  AddWaiting(&this->waiting_work, internal::PriorityOf(job->spec),
             job->spec.service.name, job->spec.team, tasks);
}

void JobRunner::RemoveWaitingTasks(RunningJob* job, std::size_t tasks) {
  SEQUOIAPATH_ASSERT(job->waiting >= tasks,
                     "{} waiting tasks of job {} are removed, but {} are left",
                     tasks, job->id, job->waiting);
  job->waiting -= tasks;
  RemoveWaiting(&this->waiting_work, internal::PriorityOf(job->spec),
                job->spec.service.name, job->spec.team, tasks);
}

void JobRunner::DropWaitingTasks(RunningJob* job) {
  RemoveGroup(&this->queue, job->id);
  this->RemoveWaitingTasks(job, job->waiting);
}

// Delays the answer until no task is in flight or the deadline is reached, so
// that the verdict is definite whenever the outcomes arrive in time.
void JobRunner::FailJob(RunningJob* job, Reason reason, std::string detail) {
  this->DropWaitingTasks(job);
  if (!job->failure) {
    job->failure = Failure{Verdict::kNotRun, reason, RetryAdvice::kNever,
                           std::nullopt, std::move(detail)};
  }
  this->FinishIfDone(job);
}

void JobRunner::FinishIfDone(RunningJob* job) {
  const bool failed = job->failure.has_value() && job->in_flight == 0;
  if (failed || job->done == job->results.size()) this->Finish(job);
}

void JobRunner::OnDeadline(JobId id) {
  RunningJob* job = this->FindJob(id);
  if (job == nullptr) return;
  this->DropWaitingTasks(job);
  if (!job->failure) {
    job->failure =
        Failure{Verdict::kNotRun, Reason::kDeadlineExceeded,
                RetryAdvice::kNever, std::nullopt,
                fmt::format("{} of {} tasks completed by the deadline",
                            job->done, job->results.size())};
  }
  this->Finish(job);
}

void JobRunner::Finish(RunningJob* job) {
  auto node = this->jobs.extract(job->id);
  const std::unique_ptr<RunningJob> owned = std::move(node.mapped());
  this->loop->Cancel(owned->deadline_timer);
  this->DropWaitingTasks(owned.get());
  JobAnswer answer{owned->spec.request_id, JobResults{}};
  if (owned->failure) {
    Failure failure = *std::move(owned->failure);
    failure.verdict = internal::VerdictOf(*owned);
    failure.retry = internal::AdviceFor(*owned, failure.verdict);
    answer.outcome = std::move(failure);
  } else {
    answer.outcome = JobResults{std::move(owned->results)};
  }
  owned->callback(std::move(answer));
}

}  // namespace sequoiapath
