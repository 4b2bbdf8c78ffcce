// Defines JobRunner, which runs the tasks of jobs on workers and combines their
// results into one answer per job.

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

// An admitted job.
struct JobSpec {
  std::string request_id;
  std::string team;
  double weight = 1;
  ServiceSpec service;
  JobRequest request;
  TimePoint deadline;
  // Collects the run times and message counts of the job's tasks; may be null.
  std::shared_ptr<JobObservation> observed{};
};

// Callbacks through which the runner shares the workers of its ledger with the
// other daemons of the data centre.
struct ShareHooks {
  std::string data_centre;  // The ledger holds this data centre's workers.
  // Returns whether tasks may be started now; called for each task.
  std::function<bool()> may_start;
  // Called before and after each dispatch.
  std::function<void()> before_dispatch;
  std::function<void()> after_dispatch;
};

// Maximum time that a task may run beyond the lease end that its sender
// computes. A worker counts the lease from when it receives the task, which is
// later than when the task was sent.
constexpr auto kTaskLeaseMargin = std::chrono::milliseconds(500);

using JobCallback = std::function<void(JobAnswer answer)>;

namespace internal {
struct RunningJob;
}  // namespace internal

// Runs jobs. A task is sent again only if no byte of the earlier attempt was
// written or the worker reported that it did not start the task. Thread safety:
// loop thread only.
class JobRunner {
 public:
  // Preconditions: `loop` outlives the runner and does not run after the
  // runner is destroyed; `task_id_prefix` is unique to this process.
  JobRunner(EventLoop* loop, std::string task_id_prefix);
  ~JobRunner();
  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  // Applies a new configuration; running tasks are not affected.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Shares the workers with other daemons; without this call the runner owns
  // every worker of the catalog. Preconditions: SetCatalog was not called yet;
  // all functions in `hooks` are set.
  void SetShareHooks(ShareHooks hooks) { this->hooks = std::move(hooks); }

  // Returns the ledger of the workers' units. Call RequestDispatch after adding
  // units to it.
  ShareLedger* Ledger() { return &this->ledger; }

  // Divides the workers' connections among `daemons` daemons; see
  // WorkerPool::ShareConnections.
  void ShareConnections(std::size_t daemons) {
    this->workers.ShareConnections(daemons);
  }

  // Schedules a dispatch, which starts waiting tasks and calls the hooks.
  void RequestDispatch() { this->ScheduleDispatch(); }

  // Returns the demands of the tasks that wait for units; see ListWaiting.
  std::vector<WaitingDemand> WaitingDemands() const;

  // Returns whether an eligible worker has free units for a task.
  bool HasFreeWorker(const Placement& placement);

  // Limits the waiting tasks for jobs that are admitted after this call.
  void SetAdmissionLimits(const AdmissionLimits& limits) {
    this->admission_limits = limits;
  }

  // Sets the metrics that count tasks and messages to workers; may be null.
  // Precondition: `metrics` outlives the runner.
  void SetMetrics(Metrics* metrics) { this->metrics = metrics; }

  // Returns a failure if the job would miss its deadline, exceed a limit of the
  // queue or fit no worker of this data centre; empty if it may be started.
  std::optional<Failure> CheckAdmission(const JobSpec& spec);

  // Starts a job; `callback` is called exactly once, at the latest at the
  // deadline, and only after Start has returned.
  JobId Start(JobSpec spec, JobCallback callback);

  // Cancels a job: removes its waiting tasks and asks workers to stop its
  // running ones. Has no effect on a finished job.
  void Cancel(JobId id);

  // Fails every job immediately because this process is stopping. The verdict
  // of a job with a task in flight is kMayHaveRun.
  void AbandonJobs();

  // Returns the number of jobs that have not been answered.
  std::size_t RunningJobCount() const;

  // Returns the number of tasks that wait for a worker.
  std::size_t WaitingTaskCount() const { return this->waiting_work.total; }

  // Returns the observed health of the workers.
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
    bool trial = false;  // The task tests whether an ejected worker recovered.
  };

  void Dispatch();
  void StartWaitingTasks();
  std::optional<Failure> CheckLocalPlacement(const JobSpec& spec) const;
  std::optional<HeldUnits> Acquire(const std::string& team,
                                   const Placement& placement, bool idempotent);
  void ScheduleNextEligibility();
  void ForgetChangedWorkers(const Catalog& next);
  void RecordTaskOutcome(const SentTask& sent, const TaskOutcome& outcome,
                         const internal::RunningJob* job);
  TaskEnd ClassifyTaskEnd(const SentTask& sent, const TaskOutcome& outcome,
                          const internal::RunningJob* job) const;
  void CountMessage(internal::RunningJob* job);
  void ObserveOutcome(const SentTask& sent, const TaskOutcome& outcome,
                      internal::RunningJob* job);
  void ReleaseUnitsOf(const SentTask& sent, const TaskOutcome& outcome);
  void Retry(internal::RunningJob* job, std::uint32_t index, Duration delay);
  void RequeueRetries();
  void AddWaitingTasks(internal::RunningJob* job, std::size_t tasks);
  void RemoveWaitingTasks(internal::RunningJob* job, std::size_t tasks);
  void DropWaitingTasks(internal::RunningJob* job);
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
  // Tasks that wait for the retry budget. Their jobs may have ended already.
  std::deque<QueuedTask> retries;
  TimerId retry_timer = 0;
  TimerId eligibility_timer = 0;
  std::unordered_map<JobId, std::unique_ptr<internal::RunningJob>> jobs;
  JobId next_job_id = 1;
  std::size_t tasks_in_flight = 0;
  // Whether tasks were still waiting after the last dispatch.
  bool saturated = false;
  bool dispatch_scheduled = false;
  bool closing = false;
  // Declared last and so destroyed first: destroying its clients ends their
  // requests, whose callbacks use this object.
  WorkerPool workers;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_JOB_RUNNER_H_
