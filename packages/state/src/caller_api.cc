#include "sequoiapath/state/caller_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "sequoiapath/protocol/assert.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::string_view kSessionsPath = "/v1/sessions";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kReadyPath = "/v1/ready";
constexpr std::string_view kJobsSegment = "/jobs/";
constexpr std::string_view kJsonType = "application/json";

constexpr int kStatusCreated = 201;
constexpr int kStatusAccepted = 202;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnsupportedType = 415;

// The limit of one team's waiting tasks is the queue's limit divided by this
// number.
constexpr std::size_t kTeamQueueDivisor = 2;
// Maximum number of requests that wait for one job. Each of them keeps the
// state of its connection in memory until the job ends.
constexpr std::size_t kMaxWaitersPerJob = 64;
// Limits the time of a forwarded submission, in particular of one without a
// deadline whose service is not in this process's configuration.
constexpr Duration kMaxForwardTime = std::chrono::seconds(60);
constexpr Duration kCancelTimeout = std::chrono::seconds(2);
// Maximum number of bytes of a request's value that an error message repeats.
constexpr std::size_t kMaxRepeatedBytes = 64;

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

HttpResponse AnswerResponse(const JobAnswer& answer) {
  return JsonResponse(HttpStatus(answer), EncodeJobAnswer(answer));
}

AnswerCallback AnswerTo(const HttpResponder& responder) {
  return [responder](int status, std::string body) {
    responder.Respond(JsonResponse(status, std::move(body)));
  };
}

Failure NotRun(Reason reason, RetryAdvice retry, std::string detail) {
  return {Verdict::kNotRun, reason, retry, std::nullopt, std::move(detail)};
}

// Shortens a text from the request for use in an error message.
std::string Truncate(const std::string& text) {
  return text.size() <= kMaxRepeatedBytes
             ? text
             : text.substr(0, kMaxRepeatedBytes) + "...";
}

// Returns whether the content type is JSON; a missing one counts as JSON.
bool IsJsonType(const HttpHeaders& headers) {
  const auto type = FindHeader(headers, "content-type");
  if (!type) return true;
  std::string_view name = type->substr(0, type->find(';'));
  while (name.ends_with(' ')) name.remove_suffix(1);
  return std::equal(name.begin(), name.end(), kJsonType.begin(),
                    kJsonType.end(), [](char a, char b) {
                      return std::tolower(static_cast<unsigned char>(a)) == b;
                    });
}

// Returns whether a path has the form "/v1/sessions/{...}/jobs/{...}".
bool IsJobPath(std::string_view path) {
  return path.starts_with("/v1/sessions/") &&
         path.find(kJobsSegment) != std::string_view::npos;
}

struct JobPath {
  std::string session;
  SequenceNumber sequence = 0;
};

// Parses "/v1/sessions/{session}/jobs/{sequence}".
std::optional<JobPath> ParseJobPath(std::string_view path) {
  if (!path.starts_with(kSessionsPath)) return std::nullopt;
  path.remove_prefix(kSessionsPath.size());
  if (!path.starts_with("/")) return std::nullopt;
  path.remove_prefix(1);
  const std::size_t jobs_start = path.find(kJobsSegment);
  if (jobs_start == std::string_view::npos) return std::nullopt;
  JobPath result;
  result.session = std::string(path.substr(0, jobs_start));
  const std::string_view number = path.substr(jobs_start + kJobsSegment.size());
  const char* end = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), end, result.sequence);
  if (parsed.ec != std::errc() || parsed.ptr != end || result.sequence == 0 ||
      result.sequence > kMaxSequenceNumber) {
    return std::nullopt;
  }
  return result;
}

std::optional<std::string> ReadTeam(std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("team") ||
      !json["team"].is_string()) {
    return std::nullopt;
  }
  return json["team"].get<std::string>();
}

// Returns a failure if a submission exceeds the limits of its service.
std::optional<Failure> CheckLimits(const JobRequest& request,
                                   const ServiceSpec& service) {
  if (request.payloads.size() > service.max_tasks) {
    return NotRun(
        Reason::kNeverFits, RetryAdvice::kNever,
        fmt::format("tasks: expected at most {} for service {}, found {}",
                    service.max_tasks, service.name, request.payloads.size()));
  }
  for (const std::string& payload : request.payloads) {
    if (payload.size() > service.max_payload_bytes) {
      return NotRun(
          Reason::kNeverFits, RetryAdvice::kNever,
          fmt::format(
              "tasks: expected at most {} bytes per task for service {}, "
              "found {} bytes",
              service.max_payload_bytes, service.name, payload.size()));
    }
  }
  return std::nullopt;
}

bool FitsAnyWorker(const JobRequest& request, const Catalog& catalog) {
  const Placement placement{request.demand, request.places};
  const auto& workers = catalog.document.workers;
  return std::any_of(workers.begin(), workers.end(),
                     [&](const WorkerSpec& worker) {
                       return AllowsPlace(placement, worker) &&
                              UnitsFor(worker, request.demand).has_value();
                     });
}

}  // namespace
}  // namespace internal

CallerApi::CallerApi(EventLoop* loop, const Settings* settings,
                     Incarnation incarnation, JobRunner* runner)
    : loop(loop), settings(settings), incarnation(incarnation), runner(runner) {
  this->sessions.incarnation = incarnation;
  runner->SetAdmissionLimits(
      {.max_waiting_tasks = settings->max_waiting_tasks,
       .max_waiting_tasks_per_team =
           settings->max_waiting_tasks / internal::kTeamQueueDivisor});
}

void CallerApi::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  this->catalog = std::move(catalog);
}

std::vector<ExportedSession> CallerApi::ExportSessions() const {
  SEQUOIAPATH_ASSERT(this->stopping,
                     "sessions are exported while new jobs are still accepted");
  return sequoiapath::ExportSessions(this->sessions, this->loop->Now());
}

std::size_t CallerApi::ImportSessions(std::vector<ExportedSession> sessions) {
  return sequoiapath::ImportSessions(&this->sessions, std::move(sessions),
                                     this->loop->Now());
}

bool CallerApi::ServesIncarnation(Incarnation incarnation) const {
  return sequoiapath::ServesIncarnation(this->sessions, incarnation);
}

void CallerApi::Refuse(const HttpResponder& responder, Failure failure) {
  responder.Respond(
      internal::AnswerResponse({this->NewRequestId(), std::move(failure)}));
}

void CallerApi::Refuse(const AnswerCallback& answer, Failure failure) {
  const JobAnswer refusal{this->NewRequestId(), std::move(failure)};
  answer(HttpStatus(refusal), EncodeJobAnswer(refusal));
}

void CallerApi::RefuseWithStatus(const HttpResponder& responder, int status,
                                 std::string detail, HttpHeaders headers) {
  HttpResponse response = internal::AnswerResponse(
      {this->NewRequestId(),
       internal::NotRun(Reason::kInvalidRequest, RetryAdvice::kNever,
                        std::move(detail))});
  response.status = status;
  response.headers.insert(response.headers.end(), headers.begin(),
                          headers.end());
  responder.Respond(response);
}

void CallerApi::RefuseMethod(const HttpResponder& responder,
                             const std::string& allowed) {
  this->RefuseWithStatus(responder, internal::kStatusMethodNotAllowed,
                         "this resource allows " + allowed,
                         {{"allow", allowed}});
}

void CallerApi::Handle(const HttpRequest& request,
                       const HttpResponder& responder) {
  std::string_view path = request.path;
  path = path.substr(0, path.find('?'));
  const bool is_read = request.method == "GET" || request.method == "HEAD";
  if (path == internal::kReadyPath) {
    if (!is_read) return this->RefuseMethod(responder, "GET, HEAD");
    return this->AnswerReadiness(responder);
  }
  const bool is_sessions_path = path == internal::kSessionsPath;
  const bool is_jobs_path = path == internal::kJobsPath;
  if (!is_sessions_path && !is_jobs_path && !internal::IsJobPath(path)) {
    return this->RefuseWithStatus(
        responder, internal::kStatusNotFound,
        "path: expected /v1/ready, /v1/sessions, /v1/jobs "
        "or /v1/sessions/{session}/jobs/{sequence}");
  }
  if (request.body.size() > this->settings->max_request_bytes) {
    return this->RefuseWithStatus(
        responder, internal::kStatusTooLarge,
        fmt::format("body: expected at most {} bytes, found {}",
                    this->settings->max_request_bytes, request.body.size()));
  }
  if (!request.body.empty() && !internal::IsJsonType(request.headers)) {
    return this->RefuseWithStatus(responder, internal::kStatusUnsupportedType,
                                  "content-type: expected application/json");
  }
  if (!is_sessions_path && !is_jobs_path) {
    return this->HandleJobPath(path, request, responder);
  }
  if (request.method != "POST") return this->RefuseMethod(responder, "POST");
  if (is_sessions_path) return this->OpenSession(request, responder);
  this->RequireSession(responder);
}

void CallerApi::AnswerReadiness(const HttpResponder& responder) {
  const bool ready = this->catalog != nullptr && !this->stopping;
  const nlohmann::json body{{"ready", ready},
                            {"request_id", this->NewRequestId()}};
  responder.Respond(internal::JsonResponse(ready ? 200 : 503, body.dump()));
}

void CallerApi::RequireSession(const HttpResponder& responder) {
  this->Refuse(
      responder,
      internal::NotRun(Reason::kSessionRequired, RetryAdvice::kNewSession,
                       "open a session with POST /v1/sessions and "
                       "submit with PUT under it"));
}

void CallerApi::HandleJobPath(std::string_view path, const HttpRequest& request,
                              const HttpResponder& responder) {
  if (request.method != "PUT" && request.method != "DELETE") {
    return this->RefuseMethod(responder, "PUT, DELETE");
  }
  const auto job = internal::ParseJobPath(path);
  if (!job) {
    return this->Refuse(
        responder,
        internal::NotRun(Reason::kInvalidRequest, RetryAdvice::kNewSequence,
                         fmt::format("the sequence number must be a whole "
                                     "number within 1..{}",
                                     kMaxSequenceNumber)));
  }
  const auto session =
      DecodeSessionId(job->session, this->settings->cluster_key);
  if (!session) {
    return this->Refuse(
        responder,
        internal::NotRun(Reason::kInvalidRequest, RetryAdvice::kNewSession,
                         "session: expected an id that POST /v1/sessions "
                         "returned"));
  }
  const bool submits = request.method == "PUT";
  const AnswerCallback answer = internal::AnswerTo(responder);
  if (!this->ServesIncarnation(session->incarnation)) {
    return this->ForwardRequest(
        *session,
        {submits ? ForwardAction::kSubmit : ForwardAction::kCancel,
         job->session,
         job->sequence,
         request.body,
         {}},
        answer);
  }
  const SubmissionKey key{{session->incarnation, session->counter},
                          job->sequence};
  if (submits) {
    this->Submit(key, {request.body, std::nullopt}, answer);
  } else {
    this->Cancel(key, answer);
  }
}

bool CallerApi::AnswerForwardedRequest(const Forward& request,
                                       const AnswerCallback& answer) {
  const auto session =
      DecodeSessionId(request.session, this->settings->cluster_key);
  if (!session || request.sequence == 0 ||
      request.sequence > kMaxSequenceNumber) {
    this->Refuse(
        answer,
        internal::NotRun(
            Reason::kInvalidRequest, RetryAdvice::kNewSession,
            fmt::format("the forwarded request has an invalid session id or a "
                        "sequence number outside 1..{}",
                        kMaxSequenceNumber)));
    return true;
  }
  if (!this->ServesIncarnation(session->incarnation)) return false;
  const SubmissionKey key{{session->incarnation, session->counter},
                          request.sequence};
  if (request.action == ForwardAction::kSubmit) {
    this->Submit(key, {request.body, request.remaining}, answer);
  } else {
    this->Cancel(key, answer);
  }
  return true;
}

void CallerApi::ForwardRequest(const SessionId& session, Forward request,
                               const AnswerCallback& answer) {
  if (!this->forward) {
    return this->Refuse(
        answer, Failure{Verdict::kMayHaveRun, Reason::kOwnerLost,
                        RetryAdvice::kNewSession, std::nullopt,
                        "the process that owned the session has ended"});
  }
  request.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.action == ForwardAction::kSubmit
          ? this->RemainingTime(request.body)
          : internal::kCancelTimeout);
  this->forward(session, request, [this, answer](Result<ForwardReply> result) {
    if (const Failure* failure = GetFailure(result)) {
      return this->Refuse(answer, *failure);
    }
    auto& reply = std::get<ForwardReply>(result);
    answer(reply.status, std::move(reply.body));
  });
}

Duration CallerApi::RemainingTime(const std::string& body) const {
  Duration remaining = internal::kMaxForwardTime;
  const Result<JobRequest> decoded = DecodeJobRequest(body);
  const auto* job = std::get_if<JobRequest>(&decoded);
  // The owner refuses a body that cannot be decoded.
  if (job == nullptr) return remaining;
  if (job->deadline) remaining = std::min<Duration>(remaining, *job->deadline);
  const ServiceSpec* service = this->catalog == nullptr
                                   ? nullptr
                                   : FindService(*this->catalog, job->service);
  if (service != nullptr) {
    remaining = std::min<Duration>(remaining, service->deadline);
  }
  return remaining;
}

std::optional<Failure> CallerApi::CheckReadiness() const {
  if (this->stopping) {
    return internal::NotRun(Reason::kStopping, RetryAdvice::kNewSession,
                            "this daemon is stopping");
  }
  if (this->catalog == nullptr) {
    return internal::NotRun(Reason::kNoConfiguration, RetryAdvice::kNewSession,
                            "no configuration has been received yet");
  }
  return std::nullopt;
}

void CallerApi::OpenSession(const HttpRequest& request,
                            const HttpResponder& responder) {
  if (auto failure = this->CheckReadiness()) {
    return this->Refuse(responder, *std::move(failure));
  }
  const auto team = internal::ReadTeam(request.body);
  if (!team) {
    return this->Refuse(
        responder,
        internal::NotRun(Reason::kInvalidRequest, RetryAdvice::kNever,
                         R"(body: expected an object like {"team":"name"})"));
  }
  if (FindTeam(*this->catalog, *team) == nullptr) {
    return this->Refuse(
        responder,
        internal::NotRun(
            Reason::kUnknownTeam, RetryAdvice::kNever,
            fmt::format(
                "team: expected the name of a configured team, found \"{}\"",
                internal::Truncate(*team))));
  }
  const auto opened =
      sequoiapath::OpenSession(&this->sessions, *team, this->loop->Now());
  if (const Failure* failure = GetFailure(opened)) {
    return this->Refuse(responder, *failure);
  }
  const SessionId id{this->settings->data_centre, this->settings->vm,
                     this->settings->peer_listen, this->incarnation,
                     std::get<SessionKey>(opened).counter};
  const nlohmann::json body{
      {"session", EncodeSessionId(id, this->settings->cluster_key)},
      {"request_id", this->NewRequestId()}};
  responder.Respond(
      internal::JsonResponse(internal::kStatusCreated, body.dump()));
}

std::optional<Failure> CallerApi::CheckStart() const {
  auto failure = this->CheckReadiness();
  if (!failure) return std::nullopt;
  failure->retry = RetryAdvice::kSameSequence;
  if (this->handing_over) failure->verdict = Verdict::kMayHaveRun;
  return failure;
}

void CallerApi::Submit(const SubmissionKey& key, const Submission& submission,
                       const AnswerCallback& answer) {
  const TimePoint now = this->loop->Now();
  ExpireSessions(&this->sessions, now);
  // A submission that is refused here is not recorded in the session, so that
  // the successor or a later submission may still start it.
  if (WouldStart(this->sessions, key.first, key.second, now)) {
    if (auto failure = this->CheckStart()) {
      return this->Refuse(answer, *std::move(failure));
    }
  }
  SubmissionDecision decision =
      AdmitSubmission(&this->sessions, key.first, key.second, now);
  if (const auto* start = std::get_if<StartJob>(&decision)) {
    this->StartNewJob(key, start->team, submission, answer);
  } else if (std::holds_alternative<JoinRunningJob>(decision)) {
    this->JoinJob(key, answer);
  } else if (auto* stored = std::get_if<StoredAnswer>(&decision)) {
    answer(stored->status, std::move(stored->body));
  } else {
    this->Refuse(answer, std::get<Failure>(std::move(decision)));
  }
}

void CallerApi::JoinJob(const SubmissionKey& key,
                        const AnswerCallback& answer) {
  auto& waiting = this->waiters[key];
  if (waiting.size() >= internal::kMaxWaitersPerJob) {
    return this->Refuse(answer,
                        Failure{Verdict::kMayHaveRun, Reason::kOverloaded,
                                RetryAdvice::kSameSequence, std::nullopt,
                                "the limit of requests that wait for this "
                                "submission is reached"});
  }
  waiting.push_back(answer);
}

std::optional<Failure> CallerApi::PrepareJob(const std::string& team,
                                             const Submission& submission,
                                             JobSpec* spec) {
  Result<JobRequest> decoded = DecodeJobRequest(submission.body);
  if (const Failure* failure = GetFailure(decoded)) return *failure;
  auto& job = std::get<JobRequest>(decoded);
  const ServiceSpec* service = FindService(*this->catalog, job.service);
  if (service == nullptr) {
    return internal::NotRun(
        Reason::kUnknownService, RetryAdvice::kNever,
        fmt::format(
            "service: expected the name of a configured service, found \"{}\"",
            internal::Truncate(job.service)));
  }
  if (auto failure = internal::CheckLimits(job, *service)) return failure;
  if (!internal::FitsAnyWorker(job, *this->catalog)) {
    return internal::NotRun(Reason::kNeverFits, RetryAdvice::kNever,
                            "demand, places: no configured worker at these "
                            "places has the requested resources");
  }
  const TeamSpec* team_spec = FindTeam(*this->catalog, team);
  Duration allowed = std::min<Duration>(
      job.deadline.value_or(service->deadline), service->deadline);
  if (submission.remaining) allowed = std::min(allowed, *submission.remaining);
  spec->team = team;
  spec->weight = team_spec == nullptr ? 1 : team_spec->weight;
  spec->service = *service;
  spec->request = std::move(job);
  spec->deadline = this->loop->Now() + allowed;
  return this->runner->CheckAdmission(*spec);
}

void CallerApi::StartNewJob(const SubmissionKey& key, const std::string& team,
                            const Submission& submission,
                            const AnswerCallback& answer) {
  this->waiters[key].push_back(answer);
  JobSpec spec;
  spec.request_id = this->NewRequestId();
  const TimePoint submitted = this->loop->Now();
  auto refused = this->PrepareJob(team, submission, &spec);
  AnsweredJob job;
  job.team = team;
  job.service = spec.service.name;
  job.tasks = spec.request.payloads.size();
  if (refused) {
    const JobAnswer refusal{spec.request_id, *std::move(refused)};
    this->Observe(key, std::move(job), submitted, refusal);
    this->Finish(key, refusal);
    return;
  }
  job.deadline = spec.deadline - submitted;
  const auto observed = std::make_shared<JobObservation>();
  spec.observed = observed;
  this->running[key] = this->runner->Start(
      std::move(spec), [this, key, job = std::move(job), submitted,
                        observed](const JobAnswer& job_answer) {
        AnsweredJob answered = job;
        answered.observed = *observed;
        this->Observe(key, std::move(answered), submitted, job_answer);
        this->Finish(key, job_answer);
      });
}

void CallerApi::Observe(const SubmissionKey& key, AnsweredJob job,
                        TimePoint submitted, const JobAnswer& answer) {
  if (this->observer == nullptr) return;
  const TimePoint now = this->loop->Now();
  job.response_time = now - submitted;
  // A job that is refused before its deadline is computed is not late.
  if (job.deadline == Duration::zero()) job.deadline = job.response_time;
  job.callers_told =
      static_cast<std::uint32_t>(this->waiters.find(key)->second.size());
  ObserveAnswer(this->observer, job, answer, now,
                std::chrono::system_clock::now());
}

void CallerApi::Cancel(const SubmissionKey& key, const AnswerCallback& answer) {
  const auto it = this->running.find(key);
  if (it == this->running.end()) {
    const JobAnswer refusal{
        this->NewRequestId(),
        internal::NotRun(
            Reason::kInvalidRequest, RetryAdvice::kNever,
            fmt::format(
                "this session has no running job with sequence number {}",
                key.second))};
    return answer(internal::kStatusNotFound, EncodeJobAnswer(refusal));
  }
  this->runner->Cancel(it->second);
  const nlohmann::json body{{"cancelling", true},
                            {"request_id", this->NewRequestId()}};
  answer(internal::kStatusAccepted, body.dump());
}

void CallerApi::Finish(const SubmissionKey& key, const JobAnswer& answer) {
  const std::string body = EncodeJobAnswer(answer);
  FinishSubmission(&this->sessions, key.first, key.second, answer, body,
                   this->loop->Now());
  this->running.erase(key);
  const auto node = this->waiters.extract(key);
  for (const AnswerCallback& waiting : node.mapped()) {
    waiting(HttpStatus(answer), body);
  }
  if (const auto* failure = std::get_if<Failure>(&answer.outcome)) {
    Log(LogLevel::kInfo, "job_failed",
        {{"request_id", answer.request_id},
         {"verdict", ToString(failure->verdict)},
         {"reason", ToString(failure->reason)},
         {"detail", failure->detail}});
  }
}

std::string CallerApi::NewRequestId() {
  return fmt::format("{}-{:x}-{}", this->settings->vm, this->incarnation,
                     this->next_request++);
}

}  // namespace sequoiapath
