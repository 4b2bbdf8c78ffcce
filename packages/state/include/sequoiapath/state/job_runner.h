// Defines JobRunner, which runs the tasks of jobs on workers and puts their
// results together into one answer.

#ifndef SEQUOIAPATH_STATE_JOB_RUNNER_H_
#define SEQUOIAPATH_STATE_JOB_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/coordination/task_queue.h"
#include "sequoiapath/protocol/job.h"
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
};

using JobCallback = std::function<void(JobAnswer answer)>;

namespace internal {
struct RunningJob;
}  // namespace internal

// Runs jobs. No task is sent to a worker again once any byte of it may have
// been written. Thread safety: loop thread only.
class JobRunner {
 public:
  // Preconditions: `loop` outlives the runner; `task_id_prefix` is unique to
  // this process.
  JobRunner(EventLoop* loop, std::string task_id_prefix);
  ~JobRunner();

  // Takes over a new configuration; running tasks are not affected.
  void SetCatalog(std::shared_ptr<const Catalog> catalog);

  // Starts a job; `callback` is called exactly once, by the deadline at the
  // latest, and never before Start returns.
  JobId Start(JobSpec spec, JobCallback callback);

  // Cancels a job: waiting tasks are dropped and running ones are asked to
  // stop. Has no effect on a finished job.
  void Cancel(JobId id);

  // Returns the number of jobs without an answer.
  std::size_t RunningJobs() const;

  // Returns the number of tasks that wait for a worker.
  std::size_t WaitingTasks() const { return this->queue.waiting; }

 private:
  struct SentTask {
    QueuedTask task;
    HeldUnits held;
    std::string task_id;
    TimePoint lease_end;
  };

  void Dispatch();
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
  WorkerPool workers;
  ShareLedger ledger;
  TaskQueue queue;
  std::unordered_map<JobId, std::unique_ptr<internal::RunningJob>> jobs;
  JobId next_job_id = 1;
  bool dispatch_scheduled = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_JOB_RUNNER_H_
