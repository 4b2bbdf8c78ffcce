// Defines ModelDaemon, which makes the decisions of an entry daemon in virtual
// time: those of JobGateway, SchedulerService and EntryDaemon, which run on an
// event loop. The election and the task scheduler are the real ones.

#ifndef SEQUOIAPATH_TESTS_FUZZ_MODEL_DAEMON_H_
#define SEQUOIAPATH_TESTS_FUZZ_MODEL_DAEMON_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model_network.h"
#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath {

class ModelDaemon;

// What a daemon needs from the simulation.
struct ModelSurroundings {
  ModelNetwork* network = nullptr;
  // Returns the daemon that runs on a VM.
  std::function<ModelDaemon*(const std::string& vm)> daemon;
  // Sends an order to a worker.
  std::function<void(ModelDaemon* daemon, const SchedulerAction& order)> order;
  // Records an event of a job; of all jobs if `job` is empty.
  std::function<void(const std::string& job, std::string event)> trace;
};

using ModelAnswerCallback = std::function<void(const StepJobAnswer& answer)>;

// A job of a daemon's gateway.
struct ModelGatewayJob {
  StepJob job;
  int attempt = 0;  // Of the caller.
  ModelAnswerCallback respond;
  TimePoint arrived;
  TimePoint expires;
  std::string submitted_to;
  std::string last_scheduler;
  std::uint64_t submission = 0;
  bool was_submitted = false;
  // The values before the latest submission, which apply again if the scheduler
  // has not accepted it.
  std::string former_scheduler;
  bool was_submitted_before = false;
  DaemonTime heartbeat;  // On which the latest submission was based.
  // The scheduler that has not accepted the latest submission; empty otherwise.
  std::string rejected_by;
  // Is submitted after another check that the caller waits.
  bool held = false;
};

// A caller's request.
struct ModelRequest {
  StepJob job;
  int attempt = 0;
  std::chrono::milliseconds timeout{0};
  TimePoint sent_after;   // The caller has not sent it before.
  TimePoint received_at;  // When the daemon's kernel received it.
  ModelAnswerCallback respond;
};

struct ModelPeerState {
  bool heartbeat_in_flight = false;
  bool reachable = false;
  bool suspect = false;
  bool closed = false;
  std::uint64_t incarnation = 0;
  TimePoint last_reply;
};

// A cancel of a daemon's submissions of a job up to `submission`.
struct ModelCancel {
  std::string vm;  // The scheduler.
  std::string job;
  std::uint64_t submission = 0;
  bool expired = false;
  TimePoint last_attempt;
  Duration retry_delay = std::chrono::milliseconds(50);  // As in EntryDaemon.
};

// Not thread-safe. It exists until the end of the simulation, because messages
// to its process refer to it.
class ModelDaemon {
 public:
  ModelDaemon(ModelSurroundings* surroundings, int host, const std::string& vm,
              const std::vector<ListedDaemon>& listed,
              const std::vector<WorkerDescription>& workers);

  // Begins to send heartbeats and to run the election and the scheduler.
  void Start();

  // Handles a caller's request.
  void Accept(const ModelRequest& request);

  // The connection of a caller's attempt has been closed.
  void RecordClosed(const std::string& job, int attempt);

  // Returns the time on the daemon's steady clock.
  TimePoint Now() const { return this->surroundings->network->ClockOf(host); }

  // Plans a pass of the scheduler after an event.
  void ScheduleRun();

  TaskScheduler scheduler;
  SchedulerElection election;
  const int host;

 private:
  struct Waiter {
    std::string origin;
    ModelAnswerCallback callback;
  };

  void Schedule(Duration delay, std::function<void()> run);
  void Trace(const std::string& job, const std::string& event);
  std::string OwnOrigin() const;
  void Call(const std::string& vm, Duration timeout, ModelCall call);

  // Gateway.
  bool HasGone(const ModelRequest& request);
  void AcceptJob(const ModelRequest& request, bool held);
  void ReleaseHeld(const ModelRequest& request);
  bool MayBeLate(const ModelRequest& request);
  void NoteDisruptions();
  void Abort(const std::string& job, int attempt);
  void AbortCheckTick();
  void SubmitTo(ModelGatewayJob* job, const std::string& leader);
  void OnSubmissionResult(const std::string& id, std::uint64_t submission,
                          const StepJobAnswer* answer, bool sent);
  void AnswerCaller(const std::string& id, const StepJobAnswer& answer);
  void CancelSubmission(ModelGatewayJob* job);
  void ExpireJob(const std::string& id);
  DaemonTime HeartbeatOf(const std::string& leader) const;
  bool WouldBeRejected(const ModelGatewayJob& job,
                       const std::string& leader) const;
  void SubmitWaiting();
  void ScheduleRetry();
  void ResubmitAll();
  std::vector<std::string> FormerWorkers() const;

  // Submissions and cancels.
  void SetSubmissionBasis(const std::string& leader, StepJob* job) const;
  void HandleSubmit(const StepJob& job, const std::string& origin,
                    const ModelAnswerCallback& callback);
  void SubmitToLeader(const std::string& leader, StepJob job,
                      std::uint64_t submission);
  void SubmitToPeer(const std::string& leader, const StepJob& job,
                    std::uint64_t submission);
  void CancelAtLeader(const std::string& leader, const std::string& job,
                      std::uint64_t submission, bool expired);
  void SendCancel(const ModelCancel& cancel);

  // Scheduler service.
  void Submit(const StepJob& job, const std::string& origin,
              const ModelAnswerCallback& callback);
  void CancelSubmissionOf(const std::string& job, const std::string& origin,
                          std::uint64_t submission);
  std::vector<Waiter> StopJobsOf(const std::string& origin);
  void CancelJobsOf(const std::string& origin);
  void ReturnJobsOf(const std::string& origin, const char* reason);
  void ReturnJobsOfUnconfirmedDaemons();
  void RunPass();
  void ExecuteActions();
  void ServiceTick();

  // Heartbeats and election.
  DaemonReport OwnReport(const std::string& vm) const;
  void HandleReport(const DaemonReport& report);
  void SendHeartbeat(const std::string& vm);
  bool AwaitsAnswersInSilence();
  void SendHeartbeatsToAll();
  void CheckScheduler(const DaemonReport& report);
  void OnReport(const DaemonReport& report);
  void OnHeartbeatReply(const std::string& vm, TimePoint sent_at,
                        const DaemonReport& report);
  void OnHeartbeatError(const std::string& vm, std::uint64_t incarnation,
                        CallError error);
  void ElectionTick();
  void RunElectionNow();
  bool UpdateReachability();
  void UpdateExtent();
  void ApplyRole();
  std::set<std::string> HomeWorkers() const;

  ModelSurroundings* surroundings;
  std::map<std::string, ModelGatewayJob> jobs;
  // Attempts whose connections are closed, which AbortCheckTick will notice.
  std::set<std::pair<std::string, int>> closed_attempts;
  std::map<std::string, Waiter> waiters;  // By job.
  std::map<std::string, ModelPeerState> peer_states;
  std::uint64_t next_submission = 1;
  TimePoint home_workers_found_at;
  TimePoint checked_at;  // Latest AbortCheckTick.
  TimePoint disruption_began_at;
  TimePoint late_requests_until;  // As in EntryDaemon.
  bool retry_scheduled = false;
  bool run_scheduled = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TESTS_FUZZ_MODEL_DAEMON_H_
