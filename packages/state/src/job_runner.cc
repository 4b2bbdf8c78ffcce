#include "sequoiapath/state/job_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace sequoiapath {
namespace internal {

// A worker counts the lease from when it receives the task, so the units of a
// task without an answer are kept a little beyond the lease's end.
constexpr auto kLeaseMargin = std::chrono::milliseconds(500);
// Backs off when no worker takes a task that surely did not run.
constexpr auto kRetryDelay = std::chrono::milliseconds(20);

struct RunningJob {
  JobId id = 0;
  JobSpec spec;
  JobCallback callback;
  std::vector<std::string> results;
  std::uint32_t done = 0;
  // Started tasks by state. `started` includes the others.
  std::uint32_t started = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t unknown = 0;
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
    : loop(loop), task_id_prefix(std::move(task_id_prefix)), workers(loop) {}

JobRunner::~JobRunner() = default;

void JobRunner::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  SetWorkers(&this->ledger, catalog->document.workers);
  this->workers.SetCatalog(std::move(catalog));
  this->ScheduleDispatch();
}

JobId JobRunner::Start(JobSpec spec, JobCallback callback) {
  const JobId id = this->next_job_id++;
  auto owned = std::make_unique<RunningJob>();
  RunningJob* job = owned.get();
  job->id = id;
  job->callback = std::move(callback);
  job->results.resize(spec.request.payloads.size());
  job->spec = std::move(spec);
  const Duration remaining = job->spec.deadline - this->loop->Now();
  job->deadline_timer =
      this->loop->Schedule(remaining, [this, id] { this->OnDeadline(id); });
  EnqueueGroup(
      &this->queue,
      {.job = id,
       .team = job->spec.team,
       .weight = job->spec.weight,
       .priority =
           job->spec.request.priority.value_or(job->spec.service.priority),
       .placement = {job->spec.request.demand, job->spec.request.places},
       .task_count = static_cast<std::uint32_t>(job->results.size())});
  this->jobs.emplace(id, std::move(owned));
  this->ScheduleDispatch();
  return id;
}

void JobRunner::Cancel(JobId id) {
  RunningJob* job = this->FindJob(id);
  if (job == nullptr) return;
  for (const auto& [index, task] : job->running_tasks) {
    this->workers.StopTask(task.second, task.first);
  }
  this->FailJob(job, Reason::kCancelled, "cancelled by the caller");
}

std::size_t JobRunner::RunningJobs() const { return this->jobs.size(); }

RunningJob* JobRunner::FindJob(JobId id) {
  const auto it = this->jobs.find(id);
  return it == this->jobs.end() ? nullptr : it->second.get();
}

// Dispatching from a timer keeps callbacks out of Start and joins the work of
// all events of one turn.
void JobRunner::ScheduleDispatch() {
  if (this->dispatch_scheduled) return;
  this->dispatch_scheduled = true;
  this->loop->Schedule(Duration::zero(), [this] {
    this->dispatch_scheduled = false;
    this->Dispatch();
  });
}

void JobRunner::Dispatch() {
  while (this->queue.waiting > 0) {
    std::optional<HeldUnits> held;
    const auto task = TakeNext(
        &this->queue,
        [this, &held](const TaskGroup& group) {
          held = AcquireUnits(&this->ledger, group.team, group.placement,
                              this->loop->Now(),
                              [](const std::string&) { return true; });
          return held.has_value();
        },
        [this](const std::string& team) {
          return HasQuota(&this->ledger, team, this->loop->Now());
        });
    if (!task) return;
    this->SendTask(*task, *std::move(held));
  }
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
  SentTask sent{
      task, std::move(held),
      fmt::format("{}-{}-{}", this->task_id_prefix, task.job, task.index),
      now + lease};
  TaskStart start{sent.task_id, job->spec.service.name, lease,
                  job->spec.request.payloads[task.index]};
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
  const bool unknown = outcome.kind == TaskOutcome::Kind::kUnknown;
  if (unknown) {
    this->ReleaseAt(sent.held, sent.lease_end + internal::kLeaseMargin);
  } else {
    ReleaseUnits(&this->ledger, sent.held);
  }
  RunningJob* job = this->FindJob(sent.task.job);
  if (job != nullptr) {
    --job->in_flight;
    job->running_tasks.erase(sent.task.index);
    this->RecordResult(job, sent.task.index, std::move(outcome));
  }
  this->ScheduleDispatch();
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
      this->FailJob(job, Reason::kWorkerSilent, std::move(outcome.detail));
      return;
    case TaskOutcome::Kind::kNotStarted:
      --job->started;
      if (!job->failure) {
        const JobId id = job->id;
        this->loop->Schedule(internal::kRetryDelay, [this, id, index] {
          const RunningJob* waiting = this->FindJob(id);
          if (waiting == nullptr || waiting->failure) return;
          ReturnTask(&this->queue, {id, index});
          this->ScheduleDispatch();
        });
      }
      break;
  }
  this->FinishIfDone(job);
}

// The answer waits for the tasks in flight, so that its verdict is definite
// wherever the deadline allows.
void JobRunner::FailJob(RunningJob* job, Reason reason, std::string detail) {
  RemoveGroup(&this->queue, job->id);
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
  RemoveGroup(&this->queue, id);
  if (!job->failure) {
    job->failure = Failure{Verdict::kNotRun, Reason::kDeadlineExceeded,
                           RetryAdvice::kNever, std::nullopt,
                           fmt::format("{} of {} tasks were done in time",
                                       job->done, job->results.size())};
  }
  this->Finish(job);
}

void JobRunner::Finish(RunningJob* job) {
  auto node = this->jobs.extract(job->id);
  const std::unique_ptr<RunningJob> owned = std::move(node.mapped());
  this->loop->Cancel(owned->deadline_timer);
  RemoveGroup(&this->queue, owned->id);
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
