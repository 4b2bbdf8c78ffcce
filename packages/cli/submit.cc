// Subcommands "session", "submit" and "cancel": open a session, submit a job
// and print its answer, and cancel a job.

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

constexpr const char* kSubmitName = "sequoiapath submit";
constexpr const char* kSessionName = "sequoiapath session";
constexpr const char* kCancelName = "sequoiapath cancel";
constexpr auto kSessionTimeout = std::chrono::seconds(5);
// Must exceed the sum of the job's deadline, which the daemon enforces, and the
// transmission time of the answer.
constexpr auto kAnswerTimeout = std::chrono::minutes(2);

// Sends one request. If no response arrives, prints an error on standard error
// and returns nothing.
std::optional<HttpResponse> Call(const Endpoint& endpoint, HttpRequest request,
                                 Duration timeout) {
  HttpResult result = CallAndWait(endpoint, std::move(request), timeout);
  if (const auto* error = std::get_if<HttpError>(&result)) {
    fmt::print(stderr, "{}: {}: {}: {}\n", kSubmitName, ToString(endpoint),
               ToString(error->kind), error->message);
    return std::nullopt;
  }
  return std::get<HttpResponse>(std::move(result));
}

// Opens a session and returns its id, or the exit code if that fails.
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
    fmt::print(stderr, "{}: cannot open a session: HTTP status {}: {}\n",
               kSubmitName, response->status, response->body);
    return kExitFailed;
  }
  return body["session"].get<std::string>();
}

std::string JobPath(const std::string& session, int sequence) {
  return fmt::format("/v1/sessions/{}/jobs/{}", session, sequence);
}

int SubmitJob(const Endpoint& endpoint, const std::string& session,
              int sequence, std::string body) {
  HttpRequest request;
  request.method = "PUT";
  request.path = JobPath(session, sequence);
  request.body = std::move(body);
  const auto response = Call(endpoint, std::move(request), kAnswerTimeout);
  if (!response) return kExitNoReply;
  fmt::print("{}\n", response->body);
  return response->status == 200 ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace internal

int RunSession(int argc, const char** argv) {
  StringOption endpoint_option;
  StringOption team;
  const poptOption options[] = {
      {"endpoint", 'e', POPT_ARG_STRING, endpoint_option.popt_arg(), 0,
       "a daemon's caller address", "ADDRESS:PORT"},
      {"team", 't', POPT_ARG_STRING, team.popt_arg(), 0, "team that submits",
       "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto rest = ParseArguments(internal::kSessionName, argc, argv, options);
  if (!rest) return kExitUsage;
  if (!rest->empty() || !team.given()) {
    fmt::print(stderr, "usage: {} --endpoint ADDRESS:PORT --team NAME\n",
               internal::kSessionName);
    return kExitUsage;
  }
  const auto endpoint =
      RequireEndpoint(internal::kSessionName, endpoint_option);
  if (!endpoint) return kExitUsage;
  const auto session = internal::OpenSession(*endpoint, team.value());
  if (const int* code = std::get_if<int>(&session)) return *code;
  fmt::print("{}\n", std::get<std::string>(session));
  return kExitOk;
}

int RunSubmit(int argc, const char** argv) {
  StringOption endpoint_option;
  StringOption team;
  StringOption session_option;
  int sequence = 1;
  const poptOption options[] = {
      {"endpoint", 'e', POPT_ARG_STRING, endpoint_option.popt_arg(), 0,
       "a daemon's caller address", "ADDRESS:PORT"},
      {"team", 't', POPT_ARG_STRING, team.popt_arg(), 0,
       "team that submits, in a new session", "NAME"},
      {"session", 's', POPT_ARG_STRING, session_option.popt_arg(), 0,
       "submit in this session instead of a new one", "ID"},
      {"sequence", 'n', POPT_ARG_INT, &sequence, 0,
       "sequence number in the session (default 1)", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto files = ParseArguments(internal::kSubmitName, argc, argv, options);
  if (!files) return kExitUsage;
  if (files->size() != 1 || team.given() == session_option.given() ||
      sequence < 1) {
    fmt::print(stderr,
               "usage: {} --endpoint ADDRESS:PORT (--team NAME | --session ID "
               "[--sequence N]) FILE\n",
               internal::kSubmitName);
    return kExitUsage;
  }
  const auto endpoint = RequireEndpoint(internal::kSubmitName, endpoint_option);
  const auto body = ReadInputFile(internal::kSubmitName, files->front());
  if (!endpoint || !body) return kExitUsage;
  const auto job = DecodeJobRequest(*body);
  if (const Failure* failure = GetFailure(job)) {
    fmt::print(stderr, "{}: {}: {}\n", internal::kSubmitName, files->front(),
               failure->detail);
    return kExitUsage;
  }
  std::string session = session_option.value();
  if (team.given()) {
    auto opened = internal::OpenSession(*endpoint, team.value());
    if (const int* code = std::get_if<int>(&opened)) return *code;
    session = std::get<std::string>(std::move(opened));
  }
  return internal::SubmitJob(*endpoint, session, sequence, *body);
}

int RunCancel(int argc, const char** argv) {
  StringOption endpoint_option;
  StringOption session;
  int sequence = 0;
  const poptOption options[] = {
      {"endpoint", 'e', POPT_ARG_STRING, endpoint_option.popt_arg(), 0,
       "a daemon's caller address", "ADDRESS:PORT"},
      {"session", 's', POPT_ARG_STRING, session.popt_arg(), 0,
       "the job's session", "ID"},
      {"sequence", 'n', POPT_ARG_INT, &sequence, 0, "the job's sequence number",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto rest = ParseArguments(internal::kCancelName, argc, argv, options);
  if (!rest) return kExitUsage;
  if (!rest->empty() || !session.given() || sequence < 1) {
    fmt::print(stderr,
               "usage: {} --endpoint ADDRESS:PORT --session ID --sequence N\n",
               internal::kCancelName);
    return kExitUsage;
  }
  const auto endpoint = RequireEndpoint(internal::kCancelName, endpoint_option);
  if (!endpoint) return kExitUsage;
  HttpRequest request;
  request.method = "DELETE";
  request.path = internal::JobPath(session.value(), sequence);
  const auto response =
      internal::Call(*endpoint, std::move(request), internal::kSessionTimeout);
  if (!response) return kExitNoReply;
  fmt::print("{}\n", response->body);
  return response->status == 202 ? kExitOk : kExitFailed;
}

}  // namespace sequoiapath
