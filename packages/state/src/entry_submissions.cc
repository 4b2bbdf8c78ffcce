#include "entry_submissions.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "entry_election.h"
#include "entry_heartbeats.h"
#include "entry_relays.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// Added to a job's remaining time as the timeout of its submission, so that the
// reply can arrive.
constexpr milliseconds kSubmissionTimeoutMargin{300};
// A scheduler that receives nothing from this daemon for a shorter time cancels
// all of the daemon's jobs.
constexpr Duration kCancelRetryTime = milliseconds(2000);
// Doubles with each attempt, because a scheduler that is overloaded closes many
// connections, and cancels at a fixed interval would add to its load.
constexpr RetryDelays kCancelRetryDelays{milliseconds(50), kCancelRetryTime};
// The draw that leaves a retry's delay as it is.
constexpr double kNoJitter = 0.5;
// A fencing token that no scheduler claims.
constexpr FencingToken kNoClaim = 1;

const Endpoint* EndpointOf(const EntryDaemonState& daemon,
                           const std::string& vm) {
  const auto found = daemon.election.peers.find(vm);
  return found == daemon.election.peers.end() ? nullptr
                                              : &found->second.report.endpoint;
}

SubmissionResult ReadSubmissionResult(const HttpResult& result) {
  SubmissionResult submission;
  if (const auto* error = std::get_if<HttpError>(&result)) {
    submission.may_have_been_sent = error->may_have_been_sent;
    return submission;
  }
  auto answer =
      DecodePeerMessage<StepJobAnswer>(std::get<HttpResponse>(result).body);
  if (auto* decoded = std::get_if<StepJobAnswer>(&answer)) {
    submission.has_answer = true;
    submission.answer = std::move(*decoded);
  }
  return submission;
}

}  // namespace

void SubmitToService(EntryDaemonState* daemon, StepJob job,
                     const std::string& origin, StepJobCallback callback) {
  if (!daemon->cancels.may_schedule) {
    callback(
        {StepJobOutcome::kNotAccepted, "cancels_not_read", milliseconds(0)});
    return;
  }
  daemon->service->Submit(std::move(job), origin, std::move(callback));
  if (AwaitsWorkerList(daemon->service->scheduler(), daemon->loop->Now())) {
    daemon->store->EndWatchPause(daemon->codecs.store.worker_prefix);
  }
}

namespace {

// Returns when the latest heartbeat of the scheduler was sent, on its clock;
// zero if there is none. A heartbeat of this daemon itself is always current.
DaemonTime HeartbeatOf(const EntryDaemonState& daemon,
                       const std::string& leader) {
  if (leader == daemon.election.self.vm) return ReportTime(daemon);
  const auto peer = daemon.election.peers.find(leader);
  if (peer == daemon.election.peers.end()) return DaemonTime{};
  return peer->second.report.sent_at;
}

// Names the claim and the heartbeat of the scheduler on which the submission is
// based, so that the scheduler can reject it if it arrives late.
void SetSubmissionBasis(const EntryDaemonState& daemon,
                        const std::string& leader, StepJob* job) {
  if (leader == daemon.election.self.vm) {
    job->scheduler_fence = daemon.election.self.claim;
    job->heartbeat_sent_at = ReportTime(daemon);
    return;
  }
  const auto peer = daemon.election.peers.find(leader);
  if (peer == daemon.election.peers.end()) return;
  const DaemonReport& report = peer->second.report;
  if (report.sent_at == DaemonTime{}) return;
  // Zero would mark a submission of an earlier version, which counts as
  // current.
  job->scheduler_fence = std::max(report.claim, kNoClaim);
  job->heartbeat_sent_at = report.sent_at;
}

void SubmitToLeader(EntryDaemonState* daemon, const std::string& leader,
                    StepJob job, const SubmissionCallback& callback) {
  SetSubmissionBasis(*daemon, leader, &job);
  if (leader == daemon->election.self.vm) {
    SubmitToService(daemon, std::move(job), OwnOrigin(*daemon),
                    [callback](const StepJobAnswer& answer) {
                      callback({true, answer, true});
                    });
    return;
  }
  const Endpoint* endpoint = EndpointOf(*daemon, leader);
  if (endpoint == nullptr) {
    callback({false, {}, false});
    return;
  }
  const Duration timeout = job.remaining + kSubmissionTimeoutMargin;
  if (OmitsSpec(*daemon, leader)) OmitSpec(daemon, leader, &job);
  PeerCall call{.path = kSubmitPath,
                .headers = {{kOriginHeader, OwnOrigin(*daemon)}},
                .body = EncodePeerMessage(job)};
  const std::uint64_t incarnation = IncarnationOf(daemon->election, leader);
  daemon->peers->Call(
      *endpoint, std::move(call), timeout,
      [daemon, leader, incarnation, callback, id = job.id,
       submission = job.submission](const HttpResult& result) {
        ForgetSpec(&daemon->order_relay, id, submission);
        const auto* error = std::get_if<HttpError>(&result);
        const bool refused =
            error != nullptr && error->kind == HttpErrorKind::kConnectFailed;
        const bool closed =
            error != nullptr && error->kind == HttpErrorKind::kClosed;
        RecordReply(daemon, leader, result);
        if (refused) {
          RecordDaemonFailure(&daemon->election, leader, incarnation);
        }
        callback(ReadSubmissionResult(result));
        if (refused || closed) {
          // The heartbeat tells whether the scheduler's process has ended.
          SendHeartbeat(daemon, leader);
          RunElectionNow(daemon);
        }
      });
}

// A cancel of a job at another daemon.
struct RemoteCancel {
  std::string scheduler;
  // The cancelled submissions of this daemon; of all daemons if its number is
  // zero.
  SubmissionCancel cancelled;
  TimePoint last_attempt;  // No attempt begins after this time.
  unsigned retries = 0;
};

RemoteCancel MakeRemoteCancel(const EntryDaemonState& daemon,
                              const std::string& scheduler,
                              const SubmissionCancel& cancelled) {
  RemoteCancel cancel;
  cancel.scheduler = scheduler;
  cancel.cancelled = cancelled;
  cancel.last_attempt = daemon.loop->Now() + kCancelRetryTime;
  return cancel;
}

void SendCancel(EntryDaemonState* daemon, const RemoteCancel& cancel);
void ScheduleCancelRetry(EntryDaemonState* daemon, const RemoteCancel& cancel);

void RetryCancel(EntryDaemonState* daemon, RemoteCancel cancel) {
  if (daemon->loop->Now() > cancel.last_attempt) return;
  // The job has returned to this scheduler, which does not tell submissions
  // apart if it is of an earlier version.
  if (daemon->gateway->IsSubmittedTo(cancel.cancelled.job, cancel.scheduler)) {
    return;
  }
  ++cancel.retries;
  if (daemon->service->Link().scarce &&
      !TakeRetry(&daemon->cancel_retries, daemon->loop->Now())) {
    ScheduleCancelRetry(daemon, cancel);
    return;
  }
  SendCancel(daemon, cancel);
}

// Returns the delay before the next retry, with jitter where the link is scarce
// and many cancels may have failed together.
Duration NextCancelDelay(EntryDaemonState* daemon, unsigned retries) {
  const double draw =
      daemon->service->Link().scarce
          ? std::uniform_real_distribution<double>(0, 1)(daemon->random)
          : kNoJitter;
  return RetryDelay(kCancelRetryDelays, retries, draw);
}

void ScheduleCancelRetry(EntryDaemonState* daemon, const RemoteCancel& cancel) {
  daemon->loop->Schedule(NextCancelDelay(daemon, cancel.retries),
                         [daemon, cancel] { RetryCancel(daemon, cancel); });
}

void OnCancelError(EntryDaemonState* daemon, const RemoteCancel& cancel,
                   const HttpError& error) {
  // A connection is refused if the scheduler's process has ended, or if the
  // scheduler cannot be reached and stops all jobs of this daemon.
  const bool retries =
      !cancel.cancelled.expired && error.kind != HttpErrorKind::kConnectFailed;
  Log(LogLevel::kWarning, "cancel_unanswered",
      {{"id", cancel.cancelled.job},
       {"scheduler", cancel.scheduler},
       {"submission", cancel.cancelled.submission},
       {"expired", cancel.cancelled.expired},
       {"retries", retries}});
  if (!retries) return;
  ScheduleCancelRetry(daemon, cancel);
}

// Sends the cancel until the scheduler has answered it, because a scheduler
// that has missed it would go on starting the job's tasks.
void SendCancel(EntryDaemonState* daemon, const RemoteCancel& cancel) {
  const Endpoint* endpoint = EndpointOf(*daemon, cancel.scheduler);
  if (endpoint == nullptr) return;
  const CancelStepJob message{cancel.cancelled.job, OwnOrigin(*daemon),
                              cancel.cancelled.submission};
  PeerCall call{
      .path = kCancelPath, .headers = {}, .body = EncodePeerMessage(message)};
  if (cancel.cancelled.submission != 0) {
    call.headers.push_back({kOriginHeader, OwnOrigin(*daemon)});
  }
  daemon->peers->Call(*endpoint, std::move(call), kHeartbeatTimeout,
                      [daemon, cancel](const HttpResult& result) {
                        const auto* error = std::get_if<HttpError>(&result);
                        if (error != nullptr) {
                          OnCancelError(daemon, cancel, *error);
                        }
                      });
}

void CancelAtLeader(EntryDaemonState* daemon, const std::string& leader,
                    const SubmissionCancel& cancel) {
  if (leader != daemon->election.self.vm) {
    // The scheduler ends an expired job by itself, so this cancel only hastens
    // that, and under an overload there are many.
    if (cancel.expired && daemon->service->Link().scarce) return;
    RecordStart(&daemon->cancel_retries);
    SendCancel(daemon, MakeRemoteCancel(*daemon, leader, cancel));
  } else {
    daemon->service->CancelSubmission(cancel.job, OwnOrigin(*daemon),
                                      cancel.submission);
  }
}

}  // namespace

void ApplyCallerCancel(EntryDaemonState* daemon, const JobCancel& cancel,
                       std::string_view from) {
  if (FindCancel(daemon->service->scheduler().cancels, cancel.job) != nullptr) {
    return;
  }
  const bool scheduled = daemon->service->scheduler().jobs.contains(cancel.job);
  const bool accepted = daemon->gateway->CancelForCaller(cancel.job);
  const bool recorded = daemon->service->ApplyCallerCancel(cancel, from);
  Log(LogLevel::kInfo, "job_cancelled",
      {{"id", cancel.job},
       {"from", from.empty() ? "caller" : from},
       {"age_ms", cancel.age.count()},
       {"accepted_here", accepted},
       {"scheduled_here", scheduled},
       {"recorded", recorded}});
}

namespace {

// Sends a caller's cancel to the scheduler.
void CancelForCallerAtLeader(EntryDaemonState* daemon, const std::string& job) {
  const std::string& leader = daemon->election.leader;
  if (leader.empty() || leader == daemon->election.self.vm) return;
  // A scheduler of an earlier version keeps no cancels.
  SubmissionCancel cancelled;
  cancelled.job = job;
  SendCancel(daemon, MakeRemoteCancel(*daemon, leader, cancelled));
}

// Cancels a job whose caller has sent the cancel to this daemon. The job ends
// here before the cancel is durable.
void CancelEverywhere(EntryDaemonState* daemon, const std::string& job,
                      Duration wait, CancelCallback callback) {
  ApplyCallerCancel(daemon, {job, milliseconds(0)}, "");
  SendRecords(&daemon->cancel_spread);
  CancelForCallerAtLeader(daemon, job);
  KeepCallerCancel(daemon, job, wait, std::move(callback));
}

std::optional<Duration> CancelAge(const EntryDaemonState& daemon,
                                  const std::string& job) {
  const TimePoint* cancelled =
      FindCancel(daemon.service->scheduler().cancels, job);
  if (cancelled == nullptr) return std::nullopt;
  return daemon.loop->Now() - *cancelled;
}

// Returns what the scheduler's latest heartbeat permits to submit.
SubmissionLimits LimitsOf(const EntryDaemonState& daemon) {
  SubmissionLimits limits;
  const SchedulerElection& election = daemon.election;
  limits.link_scarce = daemon.service->Link().scarce;
  if (election.leader == election.self.vm) {
    limits.admission_share = daemon.service->Link().admission_share;
    return limits;
  }
  const auto leader = election.peers.find(election.leader);
  if (leader != election.peers.end()) {
    limits.admission_share = leader->second.report.admission_share;
  }
  return limits;
}

}  // namespace

SchedulerAccess MakeSchedulerAccess(EntryDaemonState* daemon) {
  return {
      .leader =
          [daemon] {
            // A job that a former process has cancelled is not known before.
            return daemon->cancels.may_schedule ? daemon->election.leader
                                                : std::string();
          },
      .fence = [daemon] { return daemon->election.self.highest_fence; },
      .heartbeat =
          [daemon](const std::string& leader) {
            return HeartbeatOf(*daemon, leader);
          },
      .submit =
          [daemon](const std::string& leader, StepJob job,
                   const SubmissionCallback& callback) {
            SubmitToLeader(daemon, leader, std::move(job), callback);
          },
      .cancel =
          [daemon](const std::string& leader, const SubmissionCancel& cancel) {
            CancelAtLeader(daemon, leader, cancel);
          },
      .cancel_everywhere =
          [daemon](const std::string& job, Duration wait,
                   CancelCallback callback) {
            CancelEverywhere(daemon, job, wait, std::move(callback));
          },
      .cancel_age =
          [daemon](const std::string& job) { return CancelAge(*daemon, job); },
      .limits = [daemon] { return LimitsOf(*daemon); }};
}

}  // namespace sequoiapath::internal
