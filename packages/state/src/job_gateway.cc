#include "sequoiapath/state/job_gateway.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cancel_reply.h"
#include "gateway_admission.h"
#include "gateway_counts.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

// Interval at which jobs without a scheduler are submitted again.
constexpr Duration kSubmissionRetryInterval = milliseconds(20);
// Timeout of a job if neither the caller nor the route sets one.
constexpr milliseconds kDefaultTimeout{5000};
// The scheduler ends a job at the caller's deadline. The gateway waits this
// much longer for its answer.
constexpr milliseconds kAnswerTimeoutMargin{50};
// Time after which a caller should retry a job that this daemon refused.
constexpr milliseconds kRefusalRetryAfter{1000};
// A new daemon reads its configuration within a few round trips. Requests that
// arrive earlier wait for it up to this time, at most `kMaxEarlyRequests` of
// them.
constexpr Duration kConfigurationWait = milliseconds(300);
constexpr std::size_t kMaxEarlyRequests = 1000;
// How long a request that may be late is held. The end of its caller's
// connection is sent behind the request; after a repetition by TCP it arrives
// one round trip later.
constexpr Duration kLateRequestHold = milliseconds(50);
// A job that arrives during a stop is accepted only if the remaining time is at
// least this multiple of its critical path time plus `kStopWaitMargin`, which
// allows for the wait in the queue.
constexpr int kStopEstimateFactor = 2;
constexpr milliseconds kStopWaitMargin{300};
// How long a worker counts as possibly in use after it left this daemon's
// catalog. A scheduler uses a worker for 2.5 s after the worker left the
// scheduler's own catalog, which is up to 3.5 s behind another daemon's while
// the scheduler cannot read the store.
constexpr Duration kUseAfterListing = std::chrono::seconds(6);
// Marks a worker that is in the catalog.
constexpr TimePoint kListed = TimePoint::max();
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusGone = 410;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnavailable = 503;

// A job that has no answer yet.
struct GatewayJob {
  StepJob job;
  std::string route;
  std::uint64_t config_version = 0;
  HttpResponder responder;
  TimePoint arrived;
  TimePoint expires;
  std::string submitted_to;    // VM; empty: waiting for a scheduler.
  std::string last_scheduler;  // VM of the latest submission.
  // Number of the latest submission. Results of earlier ones are ignored.
  std::uint64_t submission = 0;
  bool was_submitted = false;  // To any scheduler so far.
  // The values of `last_scheduler` and `was_submitted` before the latest
  // submission. They apply again if the scheduler has not accepted it.
  std::string former_scheduler;
  bool was_submitted_before = false;
  std::uint32_t submissions = 0;
  DaemonTime heartbeat{};  // On which the latest submission was based.
  // The scheduler that has not accepted the latest submission; empty otherwise.
  std::string rejected_by{};
  bool held = false;  // Until its caller is known to wait.
  // Where the link is scarce: earliest time of the next submission.
  TimePoint retry_at{};
};

// A request that waits for the first configuration.
struct EarlyRequest {
  HttpRequest request;
  HttpResponder responder;
  TimePoint arrived;
};

struct JobGatewayState {
  EventLoop* loop = nullptr;
  CallerCodec codec;
  SchedulerAccess access;
  std::function<bool(const HttpResponder&)> may_be_late;
  RouteTable routes;
  // By worker id: when the worker left the catalog; kListed while it is in the
  // catalog.
  std::map<std::string, TimePoint> workers;
  std::unordered_map<std::string, GatewayJob> jobs;
  std::vector<EarlyRequest> early_requests;
  std::uint64_t next_submission = 1;
  bool retry_scheduled = false;
  // Time at which the process ends; set during a stop.
  std::optional<TimePoint> stop_deadline;
  GatewayAdmission admission;
  GatewayCounts counts;
};

namespace {

void ScheduleRetry(JobGatewayState* gateway);
void RouteRequest(JobGatewayState* gateway, const HttpRequest& request,
                  const HttpResponder& responder, TimePoint arrived);

void RespondText(const HttpResponder& responder, int status, std::string text) {
  responder.Respond({.status = status,
                     .headers = {{"content-type", "text/plain"}},
                     .body = std::move(text)});
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Answers the caller and removes the job.
void AnswerCaller(JobGatewayState* gateway, const std::string& id,
                  const StepJobAnswer& answer) {
  const auto node = gateway->jobs.extract(id);
  if (node.empty()) return;
  const GatewayJob& job = node.mapped();
  const Duration duration = gateway->loop->Now() - job.arrived;
  CountAnswer(&gateway->counts, answer, duration);
  Log(LogLevel::kInfo, "job_answered",
      {{"id", id},
       {"route", job.route},
       {"outcome", ToString(answer.outcome)},
       {"reason", answer.reason},
       {"ms", Milliseconds(duration)},
       {"scheduler", job.submitted_to},
       {"submissions", job.submissions},
       {"config", job.config_version}});
  job.responder.Respond(gateway->codec.encode_answer(answer));
}

// Returns the answer to the submission of a cancelled job. It is kExpired,
// because its tasks may have run and the caller must not take the cancellation
// for the state of a finished job.
StepJobAnswer AnswerToCancelledSubmission() {
  return {StepJobOutcome::kExpired, "cancelled", milliseconds(0)};
}

// Returns whether the job ends with this outcome. Otherwise it is submitted
// again.
bool IsFinal(StepJobOutcome outcome) {
  return outcome != StepJobOutcome::kMoved &&
         outcome != StepJobOutcome::kNotAccepted;
}

void OnSubmissionResult(JobGatewayState* gateway, const std::string& id,
                        std::uint64_t submission,
                        const SubmissionResult& result) {
  const auto found = gateway->jobs.find(id);
  if (found == gateway->jobs.end()) return;
  GatewayJob& job = found->second;
  if (job.submission != submission) return;
  if (result.has_answer &&
      result.answer.outcome == StepJobOutcome::kCancelled) {
    AnswerCaller(gateway, id, AnswerToCancelledSubmission());
    return;
  }
  if (result.has_answer && IsFinal(result.answer.outcome)) {
    AnswerCaller(gateway, id, result.answer);
    return;
  }
  if (result.has_answer &&
      result.answer.outcome == StepJobOutcome::kNotAccepted) {
    job.was_submitted = job.was_submitted_before;
    job.last_scheduler = job.former_scheduler;
    job.rejected_by = job.submitted_to;
  } else if (result.may_have_been_sent) {
    job.was_submitted = true;
  }
  Log(LogLevel::kInfo, "job_returned",
      {{"id", id},
       {"scheduler", job.submitted_to},
       {"reason", result.has_answer ? result.answer.reason : "unanswered"},
       {"sent", result.may_have_been_sent}});
  job.submitted_to.clear();
  job.retry_at = NextSubmission(&gateway->admission, gateway->access.limits(),
                                job.submissions, gateway->loop->Now());
  ScheduleRetry(gateway);
}

// Returns the ids of the workers that schedulers may have used since the job
// arrived.
std::vector<std::string> FormerWorkers(const JobGatewayState& gateway,
                                       const GatewayJob& job) {
  std::vector<std::string> ids;
  for (const auto& [id, left_at] : gateway.workers) {
    if (left_at >= job.arrived - kUseAfterListing) ids.push_back(id);
  }
  return ids;
}

// Forgets the workers that no scheduler has used since the oldest pending job
// arrived.
void ForgetFormerWorkers(JobGatewayState* gateway) {
  TimePoint oldest = gateway->loop->Now();
  for (const auto& [id, job] : gateway->jobs) {
    oldest = std::min(oldest, job.arrived);
  }
  std::erase_if(gateway->workers, [&](const auto& entry) {
    return entry.second < oldest - kUseAfterListing;
  });
}

void SubmitTo(JobGatewayState* gateway, GatewayJob* job,
              const std::string& leader) {
  const TimePoint now = gateway->loop->Now();
  if (job->submissions++ > 0) {
    ++gateway->counts.resubmitted;
  } else {
    RecordStart(&gateway->admission.resubmissions);
  }
  // An earlier scheduler may still run tasks of the job, so later runs get a
  // higher generation.
  if (job->was_submitted) ++job->job.generation;
  job->was_submitted_before = std::exchange(job->was_submitted, true);
  job->submitted_to = leader;
  job->rejected_by.clear();
  job->heartbeat = gateway->access.heartbeat(leader);
  const std::uint64_t former_submission =
      std::exchange(job->submission, gateway->next_submission++);
  if (!job->last_scheduler.empty() && job->last_scheduler != leader) {
    // The former scheduler may be reachable and still run tasks of the job.
    gateway->access.cancel(
        job->last_scheduler,
        {.job = job->job.id, .submission = former_submission});
  }
  job->former_scheduler = std::exchange(job->last_scheduler, leader);
  StepJob copy = job->job;
  if (copy.generation > 0) {
    copy.former_workers = FormerWorkers(*gateway, *job);
    Log(LogLevel::kInfo, "job_resubmitted",
        {{"id", copy.id},
         {"scheduler", leader},
         {"former", job->former_scheduler},
         {"generation", copy.generation},
         {"former_fence", copy.former_fence},
         {"former_workers", copy.former_workers.size()},
         {"ms", Milliseconds(now - job->arrived)}});
  }
  job->job.former_fence =
      std::max(job->job.former_fence, gateway->access.fence());
  copy.age = std::chrono::duration_cast<milliseconds>(now - job->arrived);
  copy.remaining =
      std::max(milliseconds(0),
               std::chrono::duration_cast<milliseconds>(job->expires - now));
  copy.submission = job->submission;
  const std::string id = copy.id;
  const std::uint64_t submission = job->submission;
  gateway->access.submit(
      leader, std::move(copy),
      [gateway, id, submission](const SubmissionResult& result) {
        OnSubmissionResult(gateway, id, submission, result);
      });
}

// Cancels a job at its scheduler. The submission is invalidated first, so that
// the scheduler's answer to it is ignored: a scheduler in this process answers
// before `cancel` returns.
void CancelSubmission(JobGatewayState* gateway, GatewayJob* job) {
  const std::uint64_t submission = std::exchange(job->submission, 0);
  // While a job waits to be submitted again, its last scheduler may still run
  // tasks of it.
  const std::string& scheduler =
      job->submitted_to.empty() ? job->last_scheduler : job->submitted_to;
  if (scheduler.empty()) return;
  gateway->access.cancel(scheduler,
                         {.job = job->job.id,
                          .submission = submission,
                          .expired = gateway->loop->Now() >= job->expires});
}

// Cancels a job of this daemon and answers it. Returns false if this daemon
// does not have the job.
bool CancelForCaller(JobGatewayState* gateway, const std::string& id) {
  const auto found = gateway->jobs.find(id);
  if (found == gateway->jobs.end()) return false;
  CancelSubmission(gateway, &found->second);
  AnswerCaller(gateway, id, AnswerToCancelledSubmission());
  return true;
}

// Answers a job whose deadline has passed or cannot be met. It is refused only
// if it was never submitted, because otherwise its tasks may have run.
void ExpireJob(JobGatewayState* gateway, const std::string& id,
               GatewayJob* job) {
  if (job->was_submitted) {
    CancelSubmission(gateway, job);
    AnswerCaller(
        gateway, id,
        {StepJobOutcome::kExpired, "deadline_exceeded", milliseconds(0)});
    return;
  }
  AnswerCaller(gateway, id,
               {StepJobOutcome::kRefused, "no_scheduler", kRefusalRetryAfter});
}

// Returns whether a job was never submitted and can no longer end before its
// deadline.
bool CannotEndInTime(const GatewayJob& job, TimePoint now) {
  return !job.was_submitted && now + ShortestRunTime(job.job) > job.expires;
}

// Returns whether the scheduler would reject the job again: it rejects a
// submission because of the heartbeat on which that is based, and no later one
// has arrived.
bool WouldBeRejected(const JobGatewayState& gateway, const GatewayJob& job,
                     const std::string& leader) {
  if (job.rejected_by != leader) return false;
  const DaemonTime latest = gateway.access.heartbeat(leader);
  return latest != DaemonTime{} && latest <= job.heartbeat;
}

// Submits a job, or delays it where the link is scarce and the budget for
// resubmissions is used up.
void SubmitOrDelay(JobGatewayState* gateway, GatewayJob* job,
                   const std::string& leader) {
  const TimePoint now = gateway->loop->Now();
  if (now >= job->retry_at &&
      MaySubmit(&gateway->admission, gateway->access.limits(), job->submissions,
                now)) {
    SubmitTo(gateway, job, leader);
  } else {
    job->submitted_to.clear();
  }
}

// Submits the jobs that wait for a scheduler or were submitted to a former one.
// Answers those that can no longer meet their deadline.
void SubmitWaiting(JobGatewayState* gateway) {
  const TimePoint now = gateway->loop->Now();
  const std::string leader = gateway->access.leader();
  std::vector<std::string> waiting;
  for (const auto& [id, job] : gateway->jobs) {
    if (job.held) continue;
    if (job.submitted_to != leader || leader.empty()) waiting.push_back(id);
  }
  for (const std::string& id : waiting) {
    const auto found = gateway->jobs.find(id);
    if (found == gateway->jobs.end()) continue;
    GatewayJob& job = found->second;
    if (now >= job.expires || CannotEndInTime(job, now)) {
      ExpireJob(gateway, id, &job);
    } else if (!leader.empty() && !WouldBeRejected(*gateway, job, leader)) {
      SubmitOrDelay(gateway, &job, leader);
    }
  }
  const bool any_waiting = std::any_of(
      gateway->jobs.begin(), gateway->jobs.end(), [](const auto& entry) {
        return entry.second.submitted_to.empty() && !entry.second.held;
      });
  if (any_waiting) ScheduleRetry(gateway);
}

void ScheduleRetry(JobGatewayState* gateway) {
  if (std::exchange(gateway->retry_scheduled, true)) return;
  gateway->loop->Schedule(kSubmissionRetryInterval, [gateway] {
    gateway->retry_scheduled = false;
    SubmitWaiting(gateway);
  });
}

void ScheduleExpiry(JobGatewayState* gateway, const std::string& id,
                    TimePoint expires) {
  gateway->loop->Schedule(
      expires + kAnswerTimeoutMargin - gateway->loop->Now(),
      [gateway, id, expires] {
        const auto found = gateway->jobs.find(id);
        if (found == gateway->jobs.end() || found->second.expires != expires) {
          return;
        }
        ExpireJob(gateway, id, &found->second);
      });
}

// Cancels the job when the caller closes its connection.
void CancelOnAbort(JobGatewayState* gateway, const std::string& id,
                   const HttpResponder& responder) {
  responder.OnAbort([gateway, id] {
    const auto found = gateway->jobs.find(id);
    if (found == gateway->jobs.end()) return;
    Log(LogLevel::kInfo, "caller_left",
        {{"id", id}, {"scheduler", found->second.submitted_to}});
    CancelSubmission(gateway, &found->second);
    ++gateway->counts.cancelled;
    gateway->jobs.erase(id);
  });
}

void RefuseSubmission(JobGatewayState* gateway, const SubmissionError& error,
                      const HttpResponder& responder, const std::string& path) {
  ++gateway->counts.malformed;
  Log(LogLevel::kInfo, "submission_refused",
      {{"path", path},
       {"malformed", error.malformed},
       {"detail", error.message}});
  RespondText(responder,
              error.malformed ? kStatusBadRequest : kStatusUnavailable,
              error.message);
}

// Returns whether a new job may still run when the process ends.
bool MayOutlastStop(const JobGatewayState& gateway, const StepJob& job) {
  if (!gateway.stop_deadline) return false;
  const Duration needed =
      kStopEstimateFactor * CriticalPathTime(job) + kStopWaitMargin;
  return gateway.loop->Now() + needed > *gateway.stop_deadline;
}

void RefuseWhileStopping(JobGatewayState* gateway, const StepJob& job,
                         const HttpResponder& responder) {
  ++gateway->counts.refused;
  Log(LogLevel::kInfo, "refused", {{"id", job.id}, {"reason", "stopping"}});
  responder.Respond(gateway->codec.encode_answer(
      {StepJobOutcome::kRefused, "stopping", kRefusalRetryAfter}));
}

// Answers a request for a job that its caller has cancelled. Returns false if
// there is no such cancel.
bool RejectCancelledJob(JobGatewayState* gateway, const std::string& id,
                        const HttpResponder& responder) {
  const std::optional<Duration> age = gateway->access.cancel_age(id);
  if (!age) return false;
  ++gateway->counts.cancelled;
  Log(LogLevel::kInfo, "request_for_cancelled_job",
      {{"id", id}, {"cancel_age_ms", Milliseconds(*age)}});
  responder.Respond(
      gateway->codec.encode_answer(AnswerToCancelledSubmission()));
  return true;
}

// Answers the caller's latest request for a job that is in progress.
void ReplaceRequest(JobGatewayState* gateway, GatewayJob* job,
                    const HttpResponder& responder) {
  job->responder.OnAbort(nullptr);
  job->responder = responder;
  CancelOnAbort(gateway, job->job.id, responder);
}

// Submits a held job if its caller still waits.
void ReleaseHeldJob(JobGatewayState* gateway, const std::string& id,
                    TimePoint arrived) {
  const auto found = gateway->jobs.find(id);
  if (found == gateway->jobs.end() || found->second.arrived != arrived) return;
  // Removes the job if the caller has gone.
  if (found->second.responder.CloseIfClientHasGone()) return;
  found->second.held = false;
  SubmitWaiting(gateway);
}

// Handles a request for a job that is in progress. One that may be late could
// be older than the request that the caller waits for, so it replaces that one
// only if its caller still waits after a while.
void AcceptKnownJob(JobGatewayState* gateway, GatewayJob* job,
                    const HttpRequest& request, const HttpResponder& responder,
                    TimePoint arrived) {
  if (!gateway->may_be_late(responder)) {
    ReplaceRequest(gateway, job, responder);
    return;
  }
  const auto gone = std::make_shared<bool>(false);
  responder.OnAbort([gone] { *gone = true; });
  gateway->loop->Schedule(kLateRequestHold, [gateway, id = job->job.id, request,
                                             responder, arrived, gone] {
    if (*gone || responder.CloseIfClientHasGone()) return;
    const auto found = gateway->jobs.find(id);
    if (found != gateway->jobs.end()) {
      ReplaceRequest(gateway, &found->second, responder);
    } else {
      RouteRequest(gateway, request, responder, arrived);
    }
  });
}

// Refuses a job whose deadline passed while its request lay in the socket. Its
// caller may have sent the job to another daemon.
void RefuseExpired(JobGatewayState* gateway, const std::string& id,
                   const HttpResponder& responder, TimePoint arrived) {
  ++gateway->counts.refused;
  Log(LogLevel::kInfo, "refused",
      {{"id", id},
       {"reason", "expired_unread"},
       {"ms", Milliseconds(gateway->loop->Now() - arrived)}});
  responder.Respond(gateway->codec.encode_answer(
      {StepJobOutcome::kRefused, "expired_unread", kRefusalRetryAfter}));
}

// Refuses a job that is not in the share that the scheduler admits. Returns
// false if it is.
bool RefuseExcess(JobGatewayState* gateway, const std::string& id,
                  const HttpResponder& responder) {
  const auto refusal = CheckShare(&gateway->admission, &gateway->counts,
                                  gateway->access.limits(), id);
  if (!refusal) return false;
  Log(LogLevel::kInfo, "refused", {{"id", id}, {"reason", refusal->reason}});
  responder.Respond(gateway->codec.encode_answer(*refusal));
  return true;
}

void HoldJob(JobGatewayState* gateway, GatewayJob* job) {
  job->held = true;
  Log(LogLevel::kInfo, "late_request_held",
      {{"id", job->job.id},
       {"unread_ms", Milliseconds(gateway->loop->Now() - job->arrived)}});
  gateway->loop->Schedule(kLateRequestHold,
                          [gateway, id = job->job.id, arrived = job->arrived] {
                            ReleaseHeldJob(gateway, id, arrived);
                          });
}

void AcceptJob(JobGatewayState* gateway, StepJob job, const Route& route,
               const HttpRequest& request, const HttpResponder& responder,
               TimePoint arrived) {
  const std::string id = job.id;
  const auto known = gateway->jobs.find(id);
  if (known != gateway->jobs.end()) {
    AcceptKnownJob(gateway, &known->second, request, responder, arrived);
    return;
  }
  const milliseconds timeout = gateway->codec.caller_timeout(request).value_or(
      route.timeout.count() > 0 ? route.timeout : kDefaultTimeout);
  if (gateway->loop->Now() >= arrived + timeout) {
    RefuseExpired(gateway, id, responder, arrived);
    return;
  }
  if (RefuseExcess(gateway, id, responder)) return;
  CancelOnAbort(gateway, id, responder);
  GatewayJob accepted{.job = std::move(job),
                      .route = route.name,
                      .config_version = gateway->routes.version,
                      .responder = responder,
                      .arrived = arrived,
                      .expires = arrived + timeout,
                      .submitted_to = "",
                      .last_scheduler = "",
                      .submission = 0,
                      .was_submitted = false,
                      .former_scheduler = "",
                      .was_submitted_before = false,
                      .submissions = 0,
                      .held = false};
  GatewayJob* added =
      &gateway->jobs.emplace(id, std::move(accepted)).first->second;
  ScheduleExpiry(gateway, id, added->expires);
  const std::string leader = gateway->access.leader();
  if (gateway->may_be_late(responder)) {
    HoldJob(gateway, added);
  } else if (leader.empty()) {
    ScheduleRetry(gateway);
  } else {
    SubmitTo(gateway, added, leader);
  }
}

void HandlePost(JobGatewayState* gateway, const Route& route,
                const HttpRequest& request, const HttpResponder& responder,
                TimePoint arrived) {
  if (gateway->routes.max_body_bytes > 0 &&
      request.body.size() > gateway->routes.max_body_bytes) {
    ++gateway->counts.malformed;
    RespondText(responder, kStatusTooLarge,
                "the request body has " + std::to_string(request.body.size()) +
                    " bytes; at most " +
                    std::to_string(gateway->routes.max_body_bytes) +
                    " are allowed");
    return;
  }
  auto decoded = gateway->codec.decode_submission(request, route);
  if (const auto* error = std::get_if<SubmissionError>(&decoded)) {
    RefuseSubmission(gateway, *error, responder, request.path);
    return;
  }
  auto& job = std::get<StepJob>(decoded);
  if (RejectCancelledJob(gateway, job.id, responder)) return;
  if (!gateway->jobs.contains(job.id) && MayOutlastStop(*gateway, job)) {
    RefuseWhileStopping(gateway, job, responder);
    return;
  }
  AcceptJob(gateway, std::move(job), route, request, responder, arrived);
}

std::string JobIdFromPath(const HttpRequest& request, const Route& route) {
  const std::string path = request.path.substr(0, request.path.find('?'));
  return path.substr(std::min(path.size(), route.prefix.size()));
}

// Answers a query for the number of pending jobs with zero. Answers a query for
// the state of one job with an error, because the result of a job is returned
// only in the answer to its submission.
void HandleGet(JobGatewayState* gateway, const Route& route,
               const HttpRequest& request, const HttpResponder& responder) {
  if (JobIdFromPath(request, route).empty()) {
    responder.Respond(gateway->codec.encode_pending(0));
    return;
  }
  RespondText(responder, kStatusGone,
              "the state of a job is returned only as the answer to its POST");
}

void HandleDelete(JobGatewayState* gateway, const Route& route,
                  const HttpRequest& request, const HttpResponder& responder) {
  const std::string id = JobIdFromPath(request, route);
  if (id.empty()) {  // Daemons reject messages that name no job.
    return RespondText(responder, kStatusGone, "the path names no job");
  }
  const CancelReply reply{responder, gateway->codec,
                          gateway->jobs.contains(id)};
  // Another daemon may have accepted the job, or may get a repeated request.
  gateway->access.cancel_everywhere(
      id, CancelWait(gateway->codec, request),
      [reply](bool durable) { SendCancelReply(reply, durable); });
  CancelForCaller(gateway, id);
}

void RouteRequest(JobGatewayState* gateway, const HttpRequest& request,
                  const HttpResponder& responder, TimePoint arrived) {
  const Route* route =
      FindRoute(gateway->routes,
                FindHeader(request.headers, "host").value_or(""), request.path);
  if (route == nullptr) {
    ++gateway->counts.unknown_route;
    Log(LogLevel::kInfo, "unknown_route",
        {{"path", request.path}, {"config", gateway->routes.version}});
    RespondText(responder, kStatusNotFound,
                "no route matches the host and path of the request");
    return;
  }
  if (request.method == "POST") {
    HandlePost(gateway, *route, request, responder, arrived);
  } else if (request.method == "GET") {
    HandleGet(gateway, *route, request, responder);
  } else if (request.method == "DELETE") {
    HandleDelete(gateway, *route, request, responder);
  } else {
    RespondText(responder, kStatusMethodNotAllowed,
                "method " + request.method +
                    " is not allowed; use POST, GET or DELETE");
  }
}

void RefuseWithoutConfiguration(JobGatewayState* gateway,
                                const HttpRequest& request,
                                const HttpResponder& responder) {
  ++gateway->counts.refused;
  Log(LogLevel::kInfo, "refused",
      {{"path", request.path}, {"reason", "no_configuration"}});
  responder.Respond(gateway->codec.encode_answer(
      {StepJobOutcome::kRefused, "no_configuration", kRefusalRetryAfter}));
}

// Refuses the early requests that arrived at or before `limit`.
void RefuseEarlyRequests(JobGatewayState* gateway, TimePoint limit) {
  std::erase_if(gateway->early_requests, [&](const EarlyRequest& early) {
    if (early.arrived > limit) return false;
    RefuseWithoutConfiguration(gateway, early.request, early.responder);
    return true;
  });
}

void QueueEarlyRequest(JobGatewayState* gateway, const HttpRequest& request,
                       const HttpResponder& responder) {
  if (gateway->stop_deadline ||
      gateway->early_requests.size() >= kMaxEarlyRequests) {
    RefuseWithoutConfiguration(gateway, request, responder);
    return;
  }
  const TimePoint arrived = responder.ReceivedAt();
  gateway->early_requests.push_back({request, responder, arrived});
  gateway->loop->Schedule(kConfigurationWait, [gateway, arrived] {
    RefuseEarlyRequests(gateway, arrived);
  });
}

}  // namespace
}  // namespace internal

JobGateway::JobGateway(std::unique_ptr<internal::JobGatewayState> state)
    : state(std::move(state)) {}

JobGateway::~JobGateway() {
  // Timers and calls in flight have pointers to the state, so it is not freed.
  // It exists until the process ends.
  static_cast<void>(this->state.release());
}

void JobGateway::Handle(const HttpRequest& request,
                        const HttpResponder& responder) {
  internal::JobGatewayState* gateway = this->state.get();
  if (gateway->routes.version == 0) {
    internal::QueueEarlyRequest(gateway, request, responder);
  } else {
    internal::RouteRequest(gateway, request, responder, responder.ReceivedAt());
  }
}

void JobGateway::SetRoutes(RouteTable routes) {
  this->state->routes = std::move(routes);
  for (const internal::EarlyRequest& early :
       std::exchange(this->state->early_requests, {})) {
    internal::RouteRequest(this->state.get(), early.request, early.responder,
                           early.arrived);
  }
}

void JobGateway::SetWorkers(const std::vector<std::string>& ids) {
  const TimePoint now = this->state->loop->Now();
  for (auto& [id, left_at] : this->state->workers) {
    left_at = std::min(left_at, now);
  }
  for (const std::string& id : ids) {
    this->state->workers[id] = internal::kListed;
  }
  internal::ForgetFormerWorkers(this->state.get());
}

std::uint64_t JobGateway::RoutesVersion() const {
  return this->state->routes.version;
}

void JobGateway::LeaderChanged() { internal::SubmitWaiting(this->state.get()); }

bool JobGateway::CancelForCaller(const std::string& job) {
  return internal::CancelForCaller(this->state.get(), job);
}

void JobGateway::ResubmitAll() {
  for (auto& [id, job] : this->state->jobs) job.submitted_to.clear();
  internal::SubmitWaiting(this->state.get());
}

bool JobGateway::IsSubmittedTo(const std::string& job,
                               const std::string& scheduler) const {
  const auto found = this->state->jobs.find(job);
  return found != this->state->jobs.end() &&
         found->second.submitted_to == scheduler;
}

void JobGateway::BeginStop(TimePoint stop) {
  this->state->stop_deadline = stop;
}

void JobGateway::AnswerRemainingJobs() {
  internal::RefuseEarlyRequests(this->state.get(), TimePoint::max());
  std::vector<std::string> remaining;
  for (const auto& [id, job] : this->state->jobs) remaining.push_back(id);
  for (const std::string& id : remaining) {
    internal::ExpireJob(this->state.get(), id, &this->state->jobs.at(id));
  }
}

std::size_t JobGateway::PendingJobCount() const {
  return this->state->jobs.size();
}

const GatewayCounts& JobGateway::Counts() const { return this->state->counts; }

JobGatewayBuilder::JobGatewayBuilder(EventLoop* loop, CallerCodec codec,
                                     SchedulerAccess access)
    : loop(loop),
      codec(codec),
      access(std::move(access)),
      may_be_late([](const HttpResponder&) { return false; }) {}

JobGatewayBuilder& JobGatewayBuilder::HoldLateRequests(
    std::function<bool(const HttpResponder& responder)> condition) {
  this->may_be_late = std::move(condition);
  return *this;
}

std::unique_ptr<JobGateway> JobGatewayBuilder::Build() {
  auto state = std::make_unique<internal::JobGatewayState>();
  state->loop = this->loop;
  state->codec = this->codec;
  state->access = std::move(this->access);
  state->may_be_late = std::move(this->may_be_late);
  return std::unique_ptr<JobGateway>(new JobGateway(std::move(state)));
}

}  // namespace sequoiapath
