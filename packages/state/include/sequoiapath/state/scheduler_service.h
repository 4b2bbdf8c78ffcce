// Defines SchedulerService, which executes the actions of a TaskScheduler: it
// sends orders to workers and returns the answers of jobs.

#ifndef SEQUOIAPATH_STATE_SCHEDULER_SERVICE_H_
#define SEQUOIAPATH_STATE_SCHEDULER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/state/relay_access.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct OrderClients;
struct SchedulerServiceState;
}  // namespace internal

// The state of the VM's link as far as it limits the scheduler.
struct LinkStatus {
  // The link is so small for the number of workers that orders are paced.
  bool scarce = false;
  bool congested = false;                // The share is below 1000.
  std::uint32_t admission_share = 1000;  // Of new jobs, in thousandths.
  Duration work_delay{0};  // Time until a new start order could be sent.
  // Totals since the service was created.
  std::uint64_t delayed_passes = 0;  // Tasks waited for the link after a pass.
  std::uint64_t share_decreases = 0;
  std::uint64_t refused_jobs = 0;
};

using StepJobCallback = std::function<void(const StepJobAnswer& answer)>;

// Thread safety: loop thread only.
class SchedulerService {
 public:
  ~SchedulerService();
  SchedulerService(const SchedulerService&) = delete;
  SchedulerService& operator=(const SchedulerService&) = delete;

  // Starts to schedule with the fencing token `fence`. Precondition: `fence` is
  // not zero.
  void Begin(FencingToken fence);

  // Stops scheduling. Answers each job with kMoved.
  void End();

  // Sets whether the scheduler is partial, which means that it uses only its
  // home workers, and sets the home workers.
  void SetExtent(bool partial, std::set<std::string> home_workers);

  // After `delay`, claims the workers that another scheduler has claimed, with
  // a fencing token of at least `fence`. Precondition: this daemon created
  // `fence`.
  void RetryForeignWorkers(FencingToken fence, Duration delay);

  // Sets whether the overload policy delays jobs when the workers cannot run
  // all of them in time.
  void EnableOverloadPolicy(bool enabled);

  // Adds a worker or applies a changed description of it.
  void UpdateWorker(const WorkerDescription& worker);

  // Puts a set of evacuated data centres in force and logs what began and
  // ended. A set of a lower revision has no effect.
  void SetEvacuations(const EvacuationSet& set);

  // Records that another daemon has a set of evacuations of this revision (see
  // sequoiapath::HearEvacuationRevision).
  void HearEvacuationRevision(std::uint64_t revision);

  // Records that the store no longer lists a worker.
  void UnlistWorker(const std::string& worker);

  // Records that all workers that the store listed at `read_at` have been
  // added.
  void SetWorkersListedAt(TimePoint read_at);

  // Submits a job for the daemon `origin`. `callback` is called once, possibly
  // before Submit returns. If the scheduler already has the job, the job
  // continues and the new callback replaces the earlier one. Answers with
  // kNotAccepted while this daemon does not schedule, and if the submission is
  // not current or is superseded (see IsCurrentSubmission and
  // IsSupersededSubmission). Refuses new jobs while the event loop lags (see
  // LoadShedder) or start orders wait for the link (see AdmissionShare).
  void Submit(StepJob job, const std::string& origin, StepJobCallback callback);

  // Records that the daemon `origin` was alive at `at`, because it has answered
  // a message that was sent to it then.
  void ConfirmDaemon(const std::string& origin, TimePoint at);

  // Stops the jobs of the daemons that have not been confirmed for
  // SchedulerTimes::daemon_timeout, and answers them with kMoved.
  void ReturnJobsOfUnconfirmedDaemons();

  // Applies a caller's cancel (see sequoiapath::ApplyCallerCancel). Returns
  // false if it is already recorded or too old.
  bool ApplyCallerCancel(const JobCancel& cancel,
                         std::string_view learned_from);

  // Cancels the submissions of a job that the daemon `origin` has made up to
  // the number `submission`; all that have arrived if it is zero. After a
  // broken connection, the caller may already have sent the job through another
  // daemon, so a job that another daemon was the last to submit continues.
  void CancelSubmission(const std::string& job, const std::string& origin,
                        std::uint64_t submission);

  // Cancels all jobs of the daemon `origin`, which has ended or is unreachable.
  // The daemon submits them to another scheduler, and this one must not run
  // their tasks at the same time.
  void CancelJobsOf(std::string_view origin);

  // Stops all jobs of the daemon `origin`, which follows another scheduler, and
  // answers them with kMoved. A daemon that has returned to this scheduler
  // since it reported the other one submits them again on this answer.
  void ReturnJobsOf(std::string_view origin);

  // Sets the function that is called when the history of crashes has new
  // records.
  void OnNewCrashes(std::function<void()> callback);

  // Merges crashes that another daemon has reported into the history.
  void MergeCrashes(const TaskCrashes& crashes);

  // Sets the functions through which orders go to relays. Before this call all
  // orders are sent directly. The mode is chosen by the rate of the link (see
  // NeedsRelays).
  void SetRelays(RelayAccess access);

  // Returns whether renewals and stops go through relays, so that submissions
  // should omit the job's text.
  bool RelaysOrders() const;

  // Applies the replies of a relay. Those to orders that have ended before have
  // no effect. Precondition: this process sent the orders.
  void ApplyOrderReplies(const OrderReplies& replies);

  // Returns totals of the orders through relays.
  const RelayCounts& Relayed() const;

  // Returns the connections to workers, for orders that this daemon relays.
  internal::OrderClients* Clients();

  // Returns the number of jobs that were refused because the event loop lagged.
  std::uint64_t RefusedJobs() const;

  // Records a heartbeat that this daemon sent and its round trip; its timeout
  // if there was no reply. Late replies lower the share of admitted jobs.
  void RecordHeartbeat(Duration round_trip);

  LinkStatus Link() const;

  // Returns the scheduler's state, for metrics and status.
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

  // Sets the durations that the scheduler uses.
  SchedulerServiceBuilder& Times(SchedulerTimes times);

  // Sets whether the deployment uses evacuations of data centres. If so, a new
  // scheduler waits for the set of evacuations before it starts a task.
  SchedulerServiceBuilder& FollowEvacuations(bool follow);
  // Sets the rate of the VM's link in each direction; zero (the default) if it
  // is not known.
  SchedulerServiceBuilder& LinkRate(std::uint64_t bytes_per_second);

  std::unique_ptr<SchedulerService> Build();

 private:
  EventLoop* loop;
  WorkerCodec codec;
  SchedulerTimes times;
  bool follow_evacuations = false;
  std::uint64_t link_bytes_per_second = 0;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SCHEDULER_SERVICE_H_
