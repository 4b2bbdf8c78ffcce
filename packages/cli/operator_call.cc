#include "operator_call.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <utility>

#include "endpoint_list.h"
#include "options.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kRequestTimeout = std::chrono::seconds(5);
constexpr auto kMaxLoopWait = std::chrono::milliseconds(100);
constexpr const char* kWhiteSpace = " \t\r\n";

void ParseReply(HttpResult result, OperatorReply* reply) {
  if (const auto* error = std::get_if<HttpError>(&result)) {
    reply->code = kExitNoReply;
    reply->error = fmt::format("{}: {}", ToString(error->kind), error->message);
    return;
  }
  const auto& response = std::get<HttpResponse>(result);
  reply->body = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !reply->body.is_object()) {
    reply->code = kExitFailed;
    reply->error = fmt::format(
        "expected a JSON object with HTTP status 200, received status {}",
        response.status);
  }
}

// Reads the token and removes trailing white space, because editors add a line
// feed at the end of the file.
std::optional<std::string> ReadToken(const char* command,
                                     const StringOption& file) {
  if (!file.given()) {
    fmt::print(stderr, "{}: --token-file is required\n", command);
    return std::nullopt;
  }
  auto token = ReadInputFile(command, file.value());
  if (token) token->erase(token->find_last_not_of(kWhiteSpace) + 1);
  return token;
}

}  // namespace
}  // namespace internal

std::optional<OperatorArguments> ParseOperatorArguments(const char* command,
                                                        int argc,
                                                        const char** argv) {
  EndpointListOption operators;
  StringOption token_file;
  int json = 0;
  const poptOption options[] = {
      {"operator", 'o', POPT_ARG_ARGV, operators.popt_arg(), 0,
       "a daemon's operator address; may be repeated", "ADDRESS:PORT"},
      {"token-file", 0, POPT_ARG_STRING, token_file.popt_arg(), 0,
       "file that holds the operator token", "FILE"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto rest = ParseArguments(command, argc, argv, options);
  if (!rest) return std::nullopt;
  if (!rest->empty()) {
    fmt::print(stderr, "{}: unexpected argument \"{}\"\n", command,
               rest->front());
    return std::nullopt;
  }
  const auto endpoints = operators.Read(command, "operator");
  if (!endpoints) return std::nullopt;
  const auto token = internal::ReadToken(command, token_file);
  if (!token) return std::nullopt;
  return OperatorArguments{*endpoints, *token, json != 0};
}

std::vector<OperatorReply> ReadFromAll(const OperatorArguments& arguments,
                                       const std::string& path) {
  EventLoop loop;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<OperatorReply> replies(arguments.endpoints.size());
  std::size_t pending_replies = replies.size();
  for (std::size_t i = 0; i < replies.size(); ++i) {
    OperatorReply* reply = &replies[i];
    reply->endpoint = arguments.endpoints[i];
    clients.push_back(HttpClientBuilder(&loop, reply->endpoint).Build());
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    request.headers = {{"authorization", "Bearer " + arguments.token}};
    clients.back()->Send(std::move(request), internal::kRequestTimeout,
                         [reply, &pending_replies](HttpResult result) {
                           internal::ParseReply(std::move(result), reply);
                           --pending_replies;
                         });
  }
  while (pending_replies > 0) loop.RunOnce(internal::kMaxLoopWait);
  return replies;
}

int ReportErrors(const char* command,
                 const std::vector<OperatorReply>& replies) {
  int code = kExitOk;
  for (const OperatorReply& reply : replies) {
    if (reply.code == kExitOk) continue;
    fmt::print(stderr, "{}: {}: {}\n", command, ToString(reply.endpoint),
               reply.error);
    if (code != kExitNoReply) code = reply.code;
  }
  return code;
}

void PrintJson(const std::vector<OperatorReply>& replies) {
  nlohmann::json json = nlohmann::json::array();
  for (const OperatorReply& reply : replies) {
    nlohmann::json entry{{"operator", ToString(reply.endpoint)}};
    if (reply.code == kExitOk) {
      entry["reply"] = reply.body;
    } else {
      entry["error"] = reply.error;
    }
    json.push_back(std::move(entry));
  }
  fmt::print("{}\n", json.dump(2));
}

std::string FieldText(const nlohmann::json& json, const char* key) {
  const auto it = json.find(key);
  if (it == json.end()) return "";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

}  // namespace sequoiapath
