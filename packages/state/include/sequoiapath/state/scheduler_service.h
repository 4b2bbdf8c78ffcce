// Defines SchedulerService, which carries out the decisions of a TaskScheduler:
// it sends the orders to the workers and returns the answers of jobs.

#ifndef SEQUOIAPATH_STATE_SCHEDULER_SERVICE_H_
#define SEQUOIAPATH_STATE_SCHEDULER_SERVICE_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct SchedulerServiceState;
}  // namespace internal

using StepJobCallback = std::function<void(const StepJobAnswer& answer)>;

// Thread safety: loop thread only.
class SchedulerService {
 public:
  ~SchedulerService();
  SchedulerService(const SchedulerService&) = delete;
  SchedulerService& operator=(const SchedulerService&) = delete;

  // Begins to schedule with a fencing token above zero.
  void Begin(FencingToken claim);

  // Stops scheduling; each job is answered with kMoved.
  void End();

  // Sets whether only the home workers may be used, and which these are.
  void SetExtent(bool partial, std::set<std::string> home_workers);

  // Tries workers that another scheduler took again after `delay`, with at
  // least the given fencing token. Precondition: the token is of this daemon.
  void RetryForeignWorkers(FencingToken fence, Duration delay);

  // Takes over a worker's record, or its removal.
  void UpdateWorker(const WorkerDescription& worker);
  void UnlistWorker(const std::string& worker);

  // Submits a job for the daemon `origin`. `callback` is called once, possibly
  // before Submit returns. A job that is known is joined; its earlier callback
  // is dropped.
  void Submit(StepJob job, std::string origin, StepJobCallback callback);

  // Ends a job early. Returns false if it is unknown.
  bool Cancel(const std::string& job);

  // Ends all jobs of a daemon that is gone or out of reach: it submits them to
  // another scheduler, and they must not run twice.
  void CancelJobsOf(std::string_view origin);

  // The decisions' state, for metrics and status.
  const TaskScheduler& scheduler() const;

 private:
  friend class SchedulerServiceBuilder;
  explicit SchedulerService(
      std::unique_ptr<internal::SchedulerServiceState> state);

  std::unique_ptr<internal::SchedulerServiceState> state;
};

// Builds a SchedulerService.
class SchedulerServiceBuilder {
 public:
  // Preconditions: `loop` outlives the service; the codec is complete.
  SchedulerServiceBuilder(EventLoop* loop, WorkerCodec codec);

  // Sets the times of the decisions.
  SchedulerServiceBuilder& Times(SchedulerTimes times);

  std::unique_ptr<SchedulerService> Build();

 private:
  EventLoop* loop;
  WorkerCodec codec;
  SchedulerTimes times;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SCHEDULER_SERVICE_H_
