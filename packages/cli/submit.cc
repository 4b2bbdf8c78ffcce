// Subcommand "submit": opens a session, submits one job and prints its answer.

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "command.h"
#include "http_call.h"
#include "options.h"
#include "sequoiapath/protocol/job.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr const char* kName = "sequoiapath submit";
constexpr auto kSessionTimeout = std::chrono::seconds(5);
// Covers the job's deadline, which the daemon enforces, and the way back.
constexpr auto kAnswerTimeout = std::chrono::minutes(2);

// Sends one request; reports a missing reply on standard error.
std::optional<HttpResponse> Call(const Endpoint& endpoint, HttpRequest request,
                                 Duration timeout) {
  HttpResult result = CallAndWait(endpoint, std::move(request), timeout);
  if (const auto* error = std::get_if<HttpError>(&result)) {
    fmt::print(stderr, "{}: {}: {}: {}\n", kName, ToString(endpoint),
               ToString(error->kind), error->message);
    return std::nullopt;
  }
  return std::get<HttpResponse>(std::move(result));
}

// Opens a session; returns its id, or the exit code.
std::variant<std::string, int> OpenSession(const Endpoint& endpoint,
                                           const std::string& team) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/sessions";
  request.body = nlohmann::json{{"team", team}}.dump();
  const auto response = Call(endpoint, std::move(request), kSessionTimeout);
  if (!response) return kExitNoReply;
  const auto body = nlohmann::json::parse(response->body, nullptr, false);
  if (response->status != 201 || !body.is_object() ||
      !body.contains("session")) {
    fmt::print(stderr, "{}: {}\n", kName, response->body);
    return kExitFailed;
  }
  return body["session"].get<std::string>();
}

int SubmitJob(const Endpoint& endpoint, const std::string& session,
              std::string body) {
  HttpRequest request;
  request.method = "PUT";
  request.path = fmt::format("/v1/sessions/{}/jobs/1", session);
  request.body = std::move(body);
  const auto response = Call(endpoint, std::move(request), kAnswerTimeout);
  if (!response) return kExitNoReply;
  fmt::print("{}\n", response->body);
  return response->status == 200 ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace internal

int RunSubmit(int argc, const char** argv) {
  StringOption endpoint_option;
  StringOption team;
  const poptOption options[] = {
      {"endpoint", 'e', POPT_ARG_STRING, endpoint_option.slot(), 0,
       "a daemon's caller address", "ADDRESS:PORT"},
      {"team", 't', POPT_ARG_STRING, team.slot(), 0, "team that submits",
       "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto files = ParseArguments(internal::kName, argc, argv, options);
  if (!files) return kExitUsage;
  if (files->size() != 1 || !team.given()) {
    fmt::print(stderr, "usage: {} --endpoint ADDRESS:PORT --team NAME FILE\n",
               internal::kName);
    return kExitUsage;
  }
  const auto endpoint = RequireEndpoint(internal::kName, endpoint_option);
  const auto body = ReadInputFile(internal::kName, files->front());
  if (!endpoint || !body) return kExitUsage;
  const auto job = DecodeJobRequest(*body);
  if (const Failure* failure = GetFailure(job)) {
    fmt::print(stderr, "{}: {}: {}\n", internal::kName, files->front(),
               failure->detail);
    return kExitUsage;
  }
  const auto session = internal::OpenSession(*endpoint, team.value());
  if (const int* code = std::get_if<int>(&session)) return *code;
  return internal::SubmitJob(*endpoint, std::get<std::string>(session), *body);
}

}  // namespace sequoiapath
