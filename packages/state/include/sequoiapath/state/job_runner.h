// Defines JobRunner, which runs the tasks of jobs on workers and puts their
// results together into one answer.

#ifndef SEQUOIAPATH_STATE_JOB_RUNNER_H_
#define SEQUOIAPATH_STATE_JOB_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/admission.h"
#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/retry_budget.h"
#include "sequoiapath/coordination/run_time_estimate.h"
#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/coordination/task_queue.h"
#include "sequoiapath/coordination/worker_health.h"
#include "sequoiapath/protocol/job.h"
#include "sequoiapath/state/observation.h"
#include "sequoiapath/state/worker_pool.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A job that was admitted and is to run.
struct JobSpec {
  std::string request_id;
  std::string team;
  double weight = 1;
  ServiceSpec service;
  JobRequest request;
  TimePoint deadline;
  // Gets the run times and messages of the job's tasks, if not null.
  std::shared_ptr<JobObservation> observed{};
};

// Connects the runner's ledger with the other daemons of the data centre.
struct ShareHooks {
  std::string data_centre;  // Whose workers the ledger divides.
  // Says whether tasks may be started now; asked for each task.
  std::function<bool()> may_start;
  // Called around each dispatch.
  std::function<void()> before_dispatch;
  std::function<void()> after_dispatch;
};

// A task may run this much longer than its lease from the sender's view: a
// worker counts the lease from when it receives the task.
constexpr auto kTaskLeaseMargin = std::chrono::milliseconds(500);

using JobCallback = std::function<void(JobAnswer answer)>;

namespace internal {
struct RunningJob;
}  // namespace internal

// Runs jobs. No task is sent to a worker again once any byte of it may have
// been written. Thread safety: loop thread only.
class JobRunner {
 public:
  // Preconditions: `loop` outlives the runner and does not run after its end;
  // `task_id_prefix` is unique to this process.
  JobRunner(EventLoop* loop, std::string task_id_prefix);
  ~JobRunner();
  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  // Takes over a new configuration; running tasks are not affected.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Shares the workers with other daemons; without this call the runner owns
  // every worker of the catalog. Preconditions: SetCatalog was not called yet;
  // all functions are callable.
  void SetShareHooks(ShareHooks hooks) { this->hooks = std::move(hooks); }

  // Returns the account of units. Call WakeUp after units were added to it.
  ShareLedger* Ledger() { return &this->ledger; }

  // Divides the workers' connections; see WorkerPool::ShareConnections.
  void ShareConnections(std::size_t daemons) {
    this->workers.ShareConnections(daemons);
  }

  // Starts waiting tasks soon, and calls the hooks.
  void WakeUp() { this->ScheduleDispatch(); }

  // Returns what waits for units; see ListWaiting.
  std::vector<WaitingDemand> WaitingDemands() const;

  // Says whether a healthy worker with free units could take a task.
  bool HasFreeWorker(const Placement& placement);

  // Bounds the waiting tasks of jobs that are admitted later.
  void SetAdmissionLimits(const AdmissionLimits& limits) {
    this->admission_limits = limits;
  }

  // Sets where tasks and messages to workers are counted; null: nowhere.
  // Precondition: `metrics` outlives the runner.
  void SetMetrics(Metrics* metrics) { this->metrics = metrics; }

  // Returns why a job would not end by its deadline or exceeds a bound; nothing
  // if it may be started.
  std::optional<Failure> CheckAdmission(const JobSpec& spec);

  // Starts a job; `callback` is called exactly once, by the deadline at the
  // latest, and never before Start returns.
  JobId Start(JobSpec spec, JobCallback callback);

  // Cancels a job: waiting tasks are dropped and running ones are asked to
  // stop. Has no effect on a finished job.
  void Cancel(JobId id);

  // Ends every job at once with what is known of its tasks, because this
  // process ends. A job with a task in flight ends as kMayHaveRun.
  void AbandonJobs();

  // Returns the number of jobs without an answer.
  std::size_t RunningJobs() const;

  // Returns the number of tasks that wait for a worker.
  std::size_t WaitingTasks() const { return this->waiting_work.total; }

  // Returns what is known of the workers.
  const WorkerHealth& Health() const { return this->health; }

 private:
  struct SentTask {
    QueuedTask task;
    HeldUnits held;
    std::string task_id;
    TimePoint sent;
    Duration waited{};
    TimePoint lease_end;
    std::string service;
    bool trial = false;  // Of an ejected worker.
  };

  void Dispatch();
  void StartWaitingTasks();
  std::optional<Failure> RefuseForeignPlace(const JobSpec& spec) const;
  std::optional<HeldUnits> Acquire(const std::string& team,
                                   const Placement& placement, bool idempotent);
  void ScheduleWakeUp();
  void ForgetChangedWorkers(const Catalog& next);
  void RecordEvidence(const SentTask& sent, const TaskOutcome& outcome,
                      const internal::RunningJob* job);
  TaskEnd JudgeEnd(const SentTask& sent, const TaskOutcome& outcome,
                   const internal::RunningJob* job) const;
  void CountMessage(internal::RunningJob* job);
  void ObserveOutcome(const SentTask& sent, const TaskOutcome& outcome,
                      internal::RunningJob* job);
  void ReleaseUnitsOf(const SentTask& sent, const TaskOutcome& outcome);
  void Retry(internal::RunningJob* job, std::uint32_t index, Duration delay);
  void PumpRetries();
  void AddWaitingTasks(internal::RunningJob* job, std::size_t tasks);
  void RemoveWaitingTasks(internal::RunningJob* job, std::size_t tasks);
  void DropWaiting(internal::RunningJob* job);
  void ScheduleDispatch();
  void SendTask(const QueuedTask& task, HeldUnits held);
  void OnOutcome(const SentTask& sent, TaskOutcome outcome);
  void ReleaseAt(const HeldUnits& held, TimePoint when);
  void RecordResult(internal::RunningJob* job, std::uint32_t index,
                    TaskOutcome outcome);
  void FailJob(internal::RunningJob* job, Reason reason, std::string detail);
  void FinishIfDone(internal::RunningJob* job);
  void OnDeadline(JobId id);
  void Finish(internal::RunningJob* job);
  internal::RunningJob* FindJob(JobId id);

  EventLoop* loop;
  std::string task_id_prefix;
  Metrics* metrics = nullptr;
  std::shared_ptr<const Catalog> catalog;
  std::optional<ShareHooks> hooks;
  ShareLedger ledger;
  TaskQueue queue;
  WorkerHealth health;
  RunTimeEstimates estimates;
  AdmissionLimits admission_limits;
  WaitingWork waiting_work;
  RetryBudget retry_budget;
  // Tasks that wait for the retry budget. Their jobs may have ended.
  std::deque<QueuedTask> retries;
  TimerId retry_timer = 0;
  TimerId wake_up_timer = 0;
  std::unordered_map<JobId, std::unique_ptr<internal::RunningJob>> jobs;
  JobId next_job_id = 1;
  std::size_t tasks_in_flight = 0;
  // Whether the last dispatch left tasks without a worker.
  bool saturated = false;
  bool dispatch_scheduled = false;
  bool closing = false;
  // Destroyed first, because ending its requests calls back into this object.
  WorkerPool workers;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_JOB_RUNNER_H_
