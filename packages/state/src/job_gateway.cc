#include "sequoiapath/state/job_gateway.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

// Retries a submission that found no scheduler.
constexpr Duration kRetryInterval = milliseconds(20);
// When the caller sets no limit and the route has none either.
constexpr milliseconds kDefaultTimeout{5000};
// The scheduler ends a job at the caller's limit; its answer needs a moment.
constexpr milliseconds kAnswerSlack{50};
constexpr milliseconds kNoSchedulerRetry{1000};
// A new daemon reads its configuration within a few round trips. Requests that
// arrive before wait so long for it, and so many at most.
constexpr Duration kConfigurationWait = milliseconds(300);
constexpr std::size_t kMaxEarlyRequests = 1000;
// A job that arrives during a stop is taken only if so many times its estimate,
// and the reserve for its wait, are left.
constexpr int kStopEstimateFactor = 2;
constexpr milliseconds kStopReserve{300};
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
  std::string submitted_to;      // Empty: waits for a scheduler.
  std::string former_scheduler;  // That it was submitted to last.
  // Known at the last submission.
  std::shared_ptr<const std::vector<std::string>> former_workers;
  std::uint64_t submission = 0;  // Tells late results of earlier ones apart.
  bool ever_sent = false;
  std::uint32_t submissions = 0;
};

// A request that arrived before the configuration.
struct EarlyRequest {
  HttpRequest request;
  HttpResponder responder;
  TimePoint arrived;
};

struct JobGatewayState {
  EventLoop* loop = nullptr;
  CallerCodec codec;
  SchedulerAccess access;
  RouteTable routes;
  std::unordered_map<std::string, GatewayJob> jobs;
  std::vector<EarlyRequest> early;
  std::uint64_t next_submission = 1;
  bool retry_scheduled = false;
  std::optional<TimePoint> stop;  // When the process ends.
  GatewayCounts counts;
};

namespace {

void ScheduleRetry(JobGatewayState* gateway);

void RespondText(const HttpResponder& responder, int status, std::string text) {
  responder.Respond({.status = status,
                     .headers = {{"content-type", "text/plain"}},
                     .body = std::move(text)});
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

void CountAnswer(GatewayCounts* counts, const StepJobAnswer& answer,
                 Duration duration) {
  switch (answer.outcome) {
    case StepJobOutcome::kCompleted:
      ++counts->completed;
      break;
    case StepJobOutcome::kFailed:
      ++counts->failed;
      break;
    case StepJobOutcome::kRefused:
      ++counts->refused;
      break;
    case StepJobOutcome::kCancelled:
      ++counts->cancelled;
      break;
    case StepJobOutcome::kExpired:
    case StepJobOutcome::kMoved:
      ++counts->expired;
      break;
  }
  const auto bound =
      std::lower_bound(GatewayCounts::kBoundsMs.begin(),
                       GatewayCounts::kBoundsMs.end(), Milliseconds(duration));
  ++counts->response_time_counts[static_cast<std::size_t>(
      bound - GatewayCounts::kBoundsMs.begin())];
  counts->response_seconds += std::chrono::duration<double>(duration).count();
}

// Answers the caller and forgets the job.
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

// The answer to a submission whose job was cancelled: its tasks may have run,
// and it has no state that the caller could rely on.
StepJobAnswer EndedByCancel() {
  return {StepJobOutcome::kExpired, "cancelled", milliseconds(0)};
}

void OnResult(JobGatewayState* gateway, const std::string& id,
              std::uint64_t submission, const SubmissionResult& result) {
  const auto found = gateway->jobs.find(id);
  if (found == gateway->jobs.end()) return;
  GatewayJob& job = found->second;
  if (job.submission != submission) return;
  if (result.has_answer &&
      result.answer.outcome == StepJobOutcome::kCancelled) {
    AnswerCaller(gateway, id, EndedByCancel());
    return;
  }
  if (result.has_answer && result.answer.outcome != StepJobOutcome::kMoved) {
    AnswerCaller(gateway, id, result.answer);
    return;
  }
  if (result.may_have_been_sent) job.ever_sent = true;
  Log(LogLevel::kInfo, "job_returned",
      {{"id", id},
       {"scheduler", job.submitted_to},
       {"reason", result.has_answer ? result.answer.reason : "unanswered"},
       {"sent", result.may_have_been_sent}});
  job.submitted_to.clear();
  ScheduleRetry(gateway);
}

void SubmitTo(JobGatewayState* gateway, GatewayJob* job,
              const std::string& leader) {
  const TimePoint now = gateway->loop->Now();
  if (job->submissions++ > 0) ++gateway->counts.resubmitted;
  // Runs of the job at an earlier scheduler may still go on.
  if (job->ever_sent) ++job->job.generation;
  job->ever_sent = true;
  job->submitted_to = leader;
  job->submission = gateway->next_submission++;
  if (!job->former_scheduler.empty() && job->former_scheduler != leader) {
    // It may still run the job's tasks and be reachable.
    gateway->access.cancel(job->former_scheduler, job->job.id);
  }
  job->former_scheduler = leader;
  StepJob copy = job->job;
  if (job->former_workers != nullptr) {
    copy.former_workers = *job->former_workers;
  }
  job->former_workers = gateway->access.workers();
  job->job.former_fence =
      std::max(job->job.former_fence, gateway->access.fence());
  copy.age = std::chrono::duration_cast<milliseconds>(now - job->arrived);
  copy.remaining =
      std::max(milliseconds(0),
               std::chrono::duration_cast<milliseconds>(job->expires - now));
  const std::string id = copy.id;
  const std::uint64_t submission = job->submission;
  gateway->access.submit(
      leader, std::move(copy),
      [gateway, id, submission](const SubmissionResult& result) {
        OnResult(gateway, id, submission, result);
      });
}

// Tells the scheduler that a job is over. Its answer is ignored; a scheduler in
// this process gives it at once.
void CancelSubmission(JobGatewayState* gateway, GatewayJob* job) {
  job->submission = 0;
  if (job->submitted_to.empty()) return;
  gateway->access.cancel(job->submitted_to, job->job.id);
}

// Ends jobs that have no answer in time.
void ExpireJob(JobGatewayState* gateway, const std::string& id,
               GatewayJob* job) {
  if (job->ever_sent) {
    CancelSubmission(gateway, job);
    AnswerCaller(
        gateway, id,
        {StepJobOutcome::kExpired, "deadline_exceeded", milliseconds(0)});
    return;
  }
  AnswerCaller(gateway, id,
               {StepJobOutcome::kRefused, "no_scheduler", kNoSchedulerRetry});
}

// A job that was never sent is refused as soon as it cannot end in time.
bool IsHopeless(const GatewayJob& job, TimePoint now) {
  return !job.ever_sent && now + ShortestRunTime(job.job) > job.expires;
}

void SubmitWaiting(JobGatewayState* gateway) {
  const TimePoint now = gateway->loop->Now();
  const std::string leader = gateway->access.leader();
  std::vector<std::string> waiting;
  for (const auto& [id, job] : gateway->jobs) {
    if (job.submitted_to != leader || leader.empty()) waiting.push_back(id);
  }
  for (const std::string& id : waiting) {
    const auto found = gateway->jobs.find(id);
    if (found == gateway->jobs.end()) continue;
    GatewayJob& job = found->second;
    if (now >= job.expires || IsHopeless(job, now)) {
      ExpireJob(gateway, id, &job);
    } else if (!leader.empty()) {
      SubmitTo(gateway, &job, leader);
    }
  }
  const bool any_waiting = std::any_of(
      gateway->jobs.begin(), gateway->jobs.end(),
      [](const auto& entry) { return entry.second.submitted_to.empty(); });
  if (any_waiting) ScheduleRetry(gateway);
}

void ScheduleRetry(JobGatewayState* gateway) {
  if (std::exchange(gateway->retry_scheduled, true)) return;
  gateway->loop->Schedule(kRetryInterval, [gateway] {
    gateway->retry_scheduled = false;
    SubmitWaiting(gateway);
  });
}

void WatchDeadline(JobGatewayState* gateway, const std::string& id,
                   TimePoint expires) {
  gateway->loop->Schedule(
      expires + kAnswerSlack - gateway->loop->Now(), [gateway, id, expires] {
        const auto found = gateway->jobs.find(id);
        if (found == gateway->jobs.end() || found->second.expires != expires) {
          return;
        }
        ExpireJob(gateway, id, &found->second);
      });
}

// The caller has left: nobody needs the answer.
void WatchAbort(JobGatewayState* gateway, const std::string& id,
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

// Says whether a new job may not end before the process does.
bool OutlastsStop(const JobGatewayState& gateway, const StepJob& job) {
  if (!gateway.stop) return false;
  const Duration needed =
      kStopEstimateFactor * CriticalPathTime(job) + kStopReserve;
  return gateway.loop->Now() + needed > *gateway.stop;
}

void RefuseWhileStopping(JobGatewayState* gateway, const StepJob& job,
                         const HttpResponder& responder) {
  ++gateway->counts.refused;
  Log(LogLevel::kInfo, "refused", {{"id", job.id}, {"reason", "stopping"}});
  responder.Respond(gateway->codec.encode_answer(
      {StepJobOutcome::kRefused, "stopping", kNoSchedulerRetry}));
}

void AcceptJob(JobGatewayState* gateway, StepJob job, const Route& route,
               const HttpRequest& request, const HttpResponder& responder,
               TimePoint arrived) {
  const std::string id = job.id;
  const auto known = gateway->jobs.find(id);
  WatchAbort(gateway, id, responder);
  if (known != gateway->jobs.end()) {
    // The caller sent it again; the earlier connection is of no use.
    known->second.responder.OnAbort(nullptr);
    known->second.responder = responder;
    return;
  }
  const milliseconds timeout = gateway->codec.caller_timeout(request).value_or(
      route.timeout.count() > 0 ? route.timeout : kDefaultTimeout);
  GatewayJob accepted{.job = std::move(job),
                      .route = route.name,
                      .config_version = gateway->routes.version,
                      .responder = responder,
                      .arrived = arrived,
                      .expires = arrived + timeout,
                      .submitted_to = "",
                      .former_scheduler = "",
                      .former_workers = nullptr,
                      .submission = 0,
                      .ever_sent = false,
                      .submissions = 0};
  GatewayJob* added =
      &gateway->jobs.emplace(id, std::move(accepted)).first->second;
  WatchDeadline(gateway, id, added->expires);
  const std::string leader = gateway->access.leader();
  if (leader.empty()) {
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
    RespondText(responder, kStatusTooLarge, "the body is too large");
    return;
  }
  auto decoded = gateway->codec.decode_submission(request, route);
  if (const auto* error = std::get_if<SubmissionError>(&decoded)) {
    RefuseSubmission(gateway, *error, responder, request.path);
    return;
  }
  auto& job = std::get<StepJob>(decoded);
  if (!gateway->jobs.contains(job.id) && OutlastsStop(*gateway, job)) {
    RefuseWhileStopping(gateway, job, responder);
    return;
  }
  AcceptJob(gateway, std::move(job), route, request, responder, arrived);
}

std::string RestOfPath(const HttpRequest& request, const Route& route) {
  const std::string path = request.path.substr(0, request.path.find('?'));
  return path.substr(std::min(path.size(), route.prefix.size()));
}

// Jobs are answered at their end and not kept, so no state is ever known.
void HandleGet(JobGatewayState* gateway, const Route& route,
               const HttpRequest& request, const HttpResponder& responder) {
  if (RestOfPath(request, route).empty()) {
    responder.Respond(gateway->codec.encode_pending(0));
    return;
  }
  RespondText(responder, kStatusGone, "no such job");
}

void HandleDelete(JobGatewayState* gateway, const Route& route,
                  const HttpRequest& request, const HttpResponder& responder) {
  const std::string id = RestOfPath(request, route);
  const auto found = gateway->jobs.find(id);
  if (found == gateway->jobs.end()) {
    // Another daemon may have taken it.
    const std::string leader = gateway->access.leader();
    if (!leader.empty()) gateway->access.cancel(leader, id);
    RespondText(responder, kStatusGone, "no such job");
    return;
  }
  CancelSubmission(gateway, &found->second);
  const StepJobAnswer cancelled{StepJobOutcome::kCancelled, "cancelled",
                                milliseconds(0)};
  AnswerCaller(gateway, id, EndedByCancel());
  responder.Respond(gateway->codec.encode_answer(cancelled));
}

void HandleRouted(JobGatewayState* gateway, const HttpRequest& request,
                  const HttpResponder& responder, TimePoint arrived) {
  const Route* route =
      FindRoute(gateway->routes,
                FindHeader(request.headers, "host").value_or(""), request.path);
  if (route == nullptr) {
    ++gateway->counts.unknown_route;
    Log(LogLevel::kInfo, "unknown_route",
        {{"path", request.path}, {"config", gateway->routes.version}});
    RespondText(responder, kStatusNotFound, "no such queue");
    return;
  }
  if (request.method == "POST") {
    HandlePost(gateway, *route, request, responder, arrived);
  } else if (request.method == "GET") {
    HandleGet(gateway, *route, request, responder);
  } else if (request.method == "DELETE") {
    HandleDelete(gateway, *route, request, responder);
  } else {
    RespondText(responder, kStatusMethodNotAllowed, "POST, GET or DELETE");
  }
}

void RefuseWithoutConfiguration(JobGatewayState* gateway,
                                const HttpRequest& request,
                                const HttpResponder& responder) {
  ++gateway->counts.refused;
  Log(LogLevel::kInfo, "refused",
      {{"path", request.path}, {"reason", "no_configuration"}});
  responder.Respond(gateway->codec.encode_answer(
      {StepJobOutcome::kRefused, "no_configuration", kNoSchedulerRetry}));
}

// Refuses the early requests that arrived at `limit` or before.
void RefuseEarlyRequests(JobGatewayState* gateway, TimePoint limit) {
  std::erase_if(gateway->early, [&](const EarlyRequest& early) {
    if (early.arrived > limit) return false;
    RefuseWithoutConfiguration(gateway, early.request, early.responder);
    return true;
  });
}

void KeepEarlyRequest(JobGatewayState* gateway, const HttpRequest& request,
                      const HttpResponder& responder) {
  if (gateway->stop || gateway->early.size() >= kMaxEarlyRequests) {
    RefuseWithoutConfiguration(gateway, request, responder);
    return;
  }
  const TimePoint now = gateway->loop->Now();
  gateway->early.push_back({request, responder, now});
  gateway->loop->Schedule(kConfigurationWait, [gateway, now] {
    RefuseEarlyRequests(gateway, now);
  });
}

}  // namespace
}  // namespace internal

JobGateway::JobGateway(std::unique_ptr<internal::JobGatewayState> state)
    : state(std::move(state)) {}

JobGateway::~JobGateway() {
  // Timers and open calls keep pointers to the state, so it is not freed; it
  // lives as long as its process.
  static_cast<void>(this->state.release());
}

void JobGateway::Handle(const HttpRequest& request,
                        const HttpResponder& responder) {
  internal::JobGatewayState* gateway = this->state.get();
  if (gateway->routes.version == 0) {
    internal::KeepEarlyRequest(gateway, request, responder);
  } else {
    internal::HandleRouted(gateway, request, responder, gateway->loop->Now());
  }
}

void JobGateway::SetRoutes(RouteTable routes) {
  this->state->routes = std::move(routes);
  for (const internal::EarlyRequest& early :
       std::exchange(this->state->early, {})) {
    internal::HandleRouted(this->state.get(), early.request, early.responder,
                           early.arrived);
  }
}

std::uint64_t JobGateway::RoutesVersion() const {
  return this->state->routes.version;
}

void JobGateway::LeaderChanged() { internal::SubmitWaiting(this->state.get()); }

void JobGateway::ResubmitAll() {
  for (auto& [id, job] : this->state->jobs) job.submitted_to.clear();
  internal::SubmitWaiting(this->state.get());
}

void JobGateway::BeginStop(TimePoint stop) { this->state->stop = stop; }

void JobGateway::AnswerRemainingJobs() {
  internal::RefuseEarlyRequests(this->state.get(), TimePoint::max());
  std::vector<std::string> left;
  for (const auto& [id, job] : this->state->jobs) left.push_back(id);
  for (const std::string& id : left) {
    internal::ExpireJob(this->state.get(), id, &this->state->jobs.at(id));
  }
}

std::size_t JobGateway::PendingJobs() const { return this->state->jobs.size(); }

const GatewayCounts& JobGateway::Counts() const { return this->state->counts; }

JobGatewayBuilder::JobGatewayBuilder(EventLoop* loop, CallerCodec codec,
                                     SchedulerAccess access)
    : loop(loop), codec(codec), access(std::move(access)) {}

std::unique_ptr<JobGateway> JobGatewayBuilder::Build() {
  auto state = std::make_unique<internal::JobGatewayState>();
  state->loop = this->loop;
  state->codec = this->codec;
  state->access = std::move(this->access);
  return std::unique_ptr<JobGateway>(new JobGateway(std::move(state)));
}

}  // namespace sequoiapath
