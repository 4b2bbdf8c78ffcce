#include "load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kSessionTimeout = std::chrono::seconds(5);
// Must exceed the deadline of every service, so that the daemon's answer
// arrives before this timeout.
constexpr auto kAnswerTimeout = std::chrono::minutes(2);
constexpr auto kMaxLoopWait = std::chrono::milliseconds(100);

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string ReadSessionId(const HttpResult& result, std::string* error) {
  if (const auto* failed = std::get_if<HttpError>(&result)) {
    *error = fmt::format("{}: {}", ToString(failed->kind), failed->message);
    return "";
  }
  const auto& response = std::get<HttpResponse>(result);
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status == 201 && body.is_object() && body.contains("session") &&
      body["session"].is_string()) {
    return body["session"].get<std::string>();
  }
  *error = response.body;
  return "";
}

}  // namespace
}  // namespace internal

LoadGenerator::LoadGenerator(EventLoop* loop, LoadPlan plan,
                             const std::vector<Endpoint>& endpoints)
    : loop(loop), schedule(std::move(plan), endpoints.size()) {
  for (const Endpoint& endpoint : endpoints) {
    DaemonConnection daemon;
    daemon.client = HttpClientBuilder(loop, endpoint)
                        .MaxConnections(this->schedule.plan.max_in_flight)
                        .Build();
    this->daemons.push_back(std::move(daemon));
  }
}

std::vector<std::string> LoadGenerator::OpenSessions() {
  const auto wanted = std::max<std::size_t>(
      static_cast<std::size_t>(this->schedule.plan.sessions),
      this->daemons.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    this->OpenSession(&this->daemons[i % this->daemons.size()]);
  }
  while (this->pending_sessions > 0) {
    this->loop->RunOnce(internal::kMaxLoopWait);
  }
  std::vector<std::string> errors;
  for (const DaemonConnection& daemon : this->daemons) {
    if (!daemon.sessions.empty()) continue;
    errors.push_back(fmt::format("{}: {}", ToString(daemon.client->endpoint()),
                                 daemon.error));
  }
  return errors;
}

void LoadGenerator::OpenSession(DaemonConnection* daemon) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/sessions";
  request.body = nlohmann::json{{"team", this->schedule.plan.team}}.dump();
  ++this->pending_sessions;
  daemon->client->Send(std::move(request), internal::kSessionTimeout,
                       [this, daemon](const HttpResult& result) {
                         --this->pending_sessions;
                         const std::string id =
                             internal::ReadSessionId(result, &daemon->error);
                         if (!id.empty()) daemon->sessions.push_back({id});
                       });
}

const LoadReport& LoadGenerator::Run() {
  this->begin = this->loop->Now();
  this->next = NextJob(&this->schedule);
  while (this->next || this->in_flight > 0) {
    this->SendDueJobs();
    Duration wait = internal::kMaxLoopWait;
    if (this->next) {
      const Duration until_due =
          this->begin + this->next->start - this->loop->Now();
      wait = std::clamp(until_due, Duration::zero(), wait);
    }
    this->loop->RunOnce(wait);
  }
  this->measured.elapsed = this->loop->Now() - this->begin;
  return this->measured;
}

void LoadGenerator::SendDueJobs() {
  while (this->next && this->begin + this->next->start <= this->loop->Now()) {
    this->SendJob(*std::move(this->next));
    this->next = NextJob(&this->schedule);
  }
}

void LoadGenerator::SendJob(PlannedJob job) {
  ++this->measured.planned;
  DaemonConnection* daemon = &this->daemons[job.endpoint];
  const bool full = this->in_flight >= this->schedule.plan.max_in_flight;
  if (full || daemon->sessions.empty()) {
    ++this->measured.not_sent;
    ++this->measured
          .reasons[full ? "generator/max_in_flight" : "generator/no_session"];
    return;
  }
  LoadSession& session =
      daemon->sessions[daemon->next_session++ % daemon->sessions.size()];
  HttpRequest request;
  request.method = "PUT";
  request.path = fmt::format("/v1/sessions/{}/jobs/{}", session.id,
                             session.next_sequence++);
  request.body = EncodePlannedJob(this->schedule.plan, job);
  AddSample(&this->measured.send_delay_ms, this->SincePlannedMs(job));
  ++this->in_flight;
  daemon->client->Send(std::move(request), internal::kAnswerTimeout,
                       [this, job = std::move(job)](const HttpResult& result) {
                         --this->in_flight;
                         this->OnAnswer(job, result);
                       });
}

void LoadGenerator::OnAnswer(const PlannedJob& job, const HttpResult& result) {
  if (const auto* error = std::get_if<HttpError>(&result)) {
    ++(error->may_have_been_sent ? this->measured.no_reply
                                 : this->measured.not_sent);
    ++this->measured
          .reasons[fmt::format("transport/{}", ToString(error->kind))];
    return;
  }
  this->CountResponse(job, std::get<HttpResponse>(result),
                      this->SincePlannedMs(job));
}

void LoadGenerator::CountResponse(const PlannedJob& job,
                                  const HttpResponse& response,
                                  double response_ms) {
  const auto decoded = DecodeJobAnswer(response.body);
  const auto* answer = std::get_if<JobAnswer>(&decoded);
  const auto* results =
      answer == nullptr ? nullptr : std::get_if<JobResults>(&answer->outcome);
  if (results != nullptr) {
    if (!HasExpectedResults(this->schedule.plan, job, results->results)) {
      ++this->measured.wrong;
      return;
    }
    ++this->measured.complete;
    this->measured.tasks_done += job.run_times.size();
    AddSample(&this->measured.response_ms, response_ms);
    const auto ideal = static_cast<double>(IdealTime(job).count());
    if (ideal > 0) AddSample(&this->measured.over_ideal, response_ms / ideal);
    return;
  }
  const auto& failure = answer == nullptr ? std::get<Failure>(decoded)
                                          : std::get<Failure>(answer->outcome);
  ++this->measured.failed;
  ++this->measured.reasons[fmt::format("{}/{}", ToString(failure.verdict),
                                       ToString(failure.reason))];
  AddSample(&this->measured.failed_response_ms, response_ms);
}

double LoadGenerator::SincePlannedMs(const PlannedJob& job) const {
  return internal::Milliseconds(this->loop->Now() - this->begin - job.start);
}

}  // namespace sequoiapath
