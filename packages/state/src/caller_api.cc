#include "sequoiapath/state/caller_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::string_view kSessionsPath = "/v1/sessions";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kReadyPath = "/v1/ready";
constexpr std::string_view kJobsSegment = "/jobs/";

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

HttpResponse AnswerResponse(const JobAnswer& answer) {
  return JsonResponse(HttpStatus(answer), EncodeJobAnswer(answer));
}

Failure NotRun(Reason reason, RetryAdvice retry, std::string detail) {
  return {Verdict::kNotRun, reason, retry, std::nullopt, std::move(detail)};
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
  const std::size_t jobs = path.find(kJobsSegment);
  if (jobs == std::string_view::npos) return std::nullopt;
  JobPath result;
  result.session = std::string(path.substr(0, jobs));
  const std::string_view number = path.substr(jobs + kJobsSegment.size());
  const char* end = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), end, result.sequence);
  if (parsed.ec != std::errc() || parsed.ptr != end || result.sequence == 0) {
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

// Checks a submission against its service; returns why it can never run.
std::optional<Failure> CheckLimits(const JobRequest& request,
                                   const ServiceSpec& service) {
  if (request.payloads.size() > service.max_tasks) {
    return NotRun(
        Reason::kNeverFits, RetryAdvice::kNever,
        fmt::format("{} tasks; service {} allows {}", request.payloads.size(),
                    service.name, service.max_tasks));
  }
  for (const std::string& payload : request.payloads) {
    if (payload.size() > service.max_payload_bytes) {
      return NotRun(
          Reason::kNeverFits, RetryAdvice::kNever,
          fmt::format("a payload of {} bytes; service {} allows {}",
                      payload.size(), service.name, service.max_payload_bytes));
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
    : loop(loop),
      settings(settings),
      incarnation(incarnation),
      runner(runner) {}

void CallerApi::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  this->catalog = std::move(catalog);
}

void CallerApi::Handle(const HttpRequest& request,
                       const HttpResponder& responder) {
  if (request.path == internal::kReadyPath) {
    const bool ready = this->catalog != nullptr && !this->stopping;
    responder.Respond(internal::JsonResponse(
        ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
  } else if (request.path == internal::kSessionsPath &&
             request.method == "POST") {
    this->OpenSession(request, responder);
  } else if (request.path == internal::kJobsPath && request.method == "POST") {
    responder.Respond(internal::AnswerResponse(
        {this->NewRequestId(),
         internal::NotRun(Reason::kSessionRequired, RetryAdvice::kNewSession,
                          "open a session with POST /v1/sessions and submit "
                          "with PUT under it")}));
  } else {
    this->HandleJobPath(request, responder);
  }
}

void CallerApi::HandleJobPath(const HttpRequest& request,
                              const HttpResponder& responder) {
  const auto path = internal::ParseJobPath(request.path);
  if (!path || (request.method != "PUT" && request.method != "DELETE")) {
    responder.Respond(internal::JsonResponse(
        404, R"({"error":"no such resource or method"})"));
    return;
  }
  const auto session =
      DecodeSessionId(path->session, this->settings->cluster_key);
  if (!session) {
    responder.Respond(internal::AnswerResponse(
        {this->NewRequestId(),
         internal::NotRun(Reason::kInvalidRequest, RetryAdvice::kNewSession,
                          "the session id is not valid")}));
    return;
  }
  if (session->incarnation != this->incarnation) {
    responder.Respond(internal::AnswerResponse(
        {this->NewRequestId(),
         Failure{Verdict::kMayHaveRun, Reason::kOwnerLost,
                 RetryAdvice::kNewSession, std::nullopt,
                 "the process that owned the session has ended"}}));
    return;
  }
  if (request.method == "PUT") {
    this->Submit(*session, path->sequence, request, responder);
  } else {
    this->Cancel(*session, path->sequence, responder);
  }
}

void CallerApi::OpenSession(const HttpRequest& request,
                            const HttpResponder& responder) {
  const auto refuse = [&](Failure failure) {
    responder.Respond(
        internal::AnswerResponse({this->NewRequestId(), std::move(failure)}));
  };
  if (this->stopping) {
    return refuse(internal::NotRun(Reason::kStopping, RetryAdvice::kNewSession,
                                   "this daemon is stopping"));
  }
  if (this->catalog == nullptr) {
    return refuse(internal::NotRun(Reason::kNoConfiguration,
                                   RetryAdvice::kNewSession,
                                   "no configuration has been received yet"));
  }
  const auto team = internal::ReadTeam(request.body);
  if (!team) {
    return refuse(internal::NotRun(Reason::kInvalidRequest, RetryAdvice::kNever,
                                   R"(expected a body like {"team":"name"})"));
  }
  if (FindTeam(*this->catalog, *team) == nullptr) {
    return refuse(internal::NotRun(Reason::kUnknownTeam, RetryAdvice::kNever,
                                   fmt::format("no team \"{}\"", *team)));
  }
  const auto opened =
      sequoiapath::OpenSession(&this->sessions, *team, this->loop->Now());
  if (const Failure* failure = GetFailure(opened)) return refuse(*failure);
  const SessionId id{this->settings->data_centre, this->settings->vm,
                     this->settings->peer_listen, this->incarnation,
                     std::get<std::uint64_t>(opened)};
  const nlohmann::json body{
      {"session", EncodeSessionId(id, this->settings->cluster_key)}};
  responder.Respond(internal::JsonResponse(201, body.dump()));
}

void CallerApi::Submit(const SessionId& session, SequenceNumber sequence,
                       const HttpRequest& request,
                       const HttpResponder& responder) {
  const SubmissionKey key{session.counter, sequence};
  SubmissionDecision decision = AdmitSubmission(
      &this->sessions, session.counter, sequence, this->loop->Now());
  if (const auto* start = std::get_if<StartJob>(&decision)) {
    this->StartNewJob(key, start->team, request, responder);
  } else if (std::holds_alternative<JoinRunningJob>(decision)) {
    this->waiters[key].push_back(responder);
  } else if (auto* stored = std::get_if<StoredAnswer>(&decision)) {
    responder.Respond(
        internal::JsonResponse(stored->status, std::move(stored->body)));
  } else {
    responder.Respond(internal::AnswerResponse(
        {this->NewRequestId(), std::get<Failure>(std::move(decision))}));
  }
}

void CallerApi::StartNewJob(const SubmissionKey& key, const std::string& team,
                            const HttpRequest& request,
                            const HttpResponder& responder) {
  this->waiters[key].push_back(responder);
  const std::string request_id = this->NewRequestId();
  const auto refuse = [&](Failure failure) {
    this->Finish(key, {request_id, std::move(failure)});
  };
  if (this->stopping) {
    return refuse(internal::NotRun(Reason::kStopping, RetryAdvice::kNewSession,
                                   "this daemon is stopping"));
  }
  Result<JobRequest> decoded = DecodeJobRequest(request.body);
  if (const Failure* failure = GetFailure(decoded)) return refuse(*failure);
  auto& job = std::get<JobRequest>(decoded);
  const ServiceSpec* service = FindService(*this->catalog, job.service);
  if (service == nullptr) {
    return refuse(
        internal::NotRun(Reason::kUnknownService, RetryAdvice::kNever,
                         fmt::format("no service \"{}\"", job.service)));
  }
  if (const auto failure = internal::CheckLimits(job, *service)) {
    return refuse(*failure);
  }
  if (!internal::FitsAnyWorker(job, *this->catalog)) {
    return refuse(internal::NotRun(
        Reason::kNeverFits, RetryAdvice::kNever,
        "no configured worker has the resources at the places asked for"));
  }
  if (this->runner->WaitingTasks() + job.payloads.size() >
      this->settings->max_waiting_tasks) {
    return refuse(internal::NotRun(Reason::kOverloaded,
                                   RetryAdvice::kNewSequence,
                                   "too many tasks are waiting"));
  }
  const TeamSpec* spec = FindTeam(*this->catalog, team);
  const auto allowed =
      std::min(job.deadline.value_or(service->deadline), service->deadline);
  this->running[key] = this->runner->Start(
      {.request_id = request_id,
       .team = team,
       .weight = spec == nullptr ? 1 : spec->weight,
       .service = *service,
       .request = std::move(job),
       .deadline = this->loop->Now() + allowed},
      [this, key](const JobAnswer& answer) { this->Finish(key, answer); });
}

void CallerApi::Cancel(const SessionId& session, SequenceNumber sequence,
                       const HttpResponder& responder) {
  const auto it = this->running.find({session.counter, sequence});
  const bool found = it != this->running.end();
  if (found) this->runner->Cancel(it->second);
  responder.Respond(internal::JsonResponse(
      found ? 202 : 404,
      found ? R"({"cancelling":true})" : R"({"error":"no such running job"})"));
}

void CallerApi::Finish(const SubmissionKey& key, const JobAnswer& answer) {
  const std::string body = EncodeJobAnswer(answer);
  FinishSubmission(&this->sessions, key.first, key.second, answer, body,
                   this->loop->Now());
  this->running.erase(key);
  const auto node = this->waiters.extract(key);
  for (const HttpResponder& responder : node.mapped()) {
    responder.Respond(internal::JsonResponse(HttpStatus(answer), body));
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
