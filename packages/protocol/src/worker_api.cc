#include "sequoiapath/protocol/worker_api.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sequoiapath {
namespace internal {
namespace {

constexpr int kFirstErrorStatus = 400;

TaskOutcome FromError(const HttpError& error) {
  TaskOutcome outcome;
  outcome.kind = error.may_have_been_sent ? TaskOutcome::Kind::kUnknown
                                          : TaskOutcome::Kind::kNotStarted;
  outcome.connection_suspect =
      error.may_have_been_sent && error.kind != HttpErrorKind::kCancelled;
  outcome.local_reason = error.kind == HttpErrorKind::kNoConnection ||
                         error.kind == HttpErrorKind::kCancelled;
  outcome.detail = fmt::format("{}: {}", ToString(error.kind), error.message);
  return outcome;
}

bool HasFlag(const HttpResponse& response, std::string_view name) {
  return FindHeader(response.headers, name) == "1";
}

}  // namespace
}  // namespace internal

HttpRequest EncodeTaskStart(const TaskStart& start) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/tasks/" + start.task_id;
  request.headers = {{"content-type", "application/json"},
                     {"x-lease-ms", std::to_string(start.lease.count())},
                     {"x-service", start.service}};
  request.body = start.payload;
  return request;
}

HttpRequest EncodeTaskStop(const std::string& task_id) {
  HttpRequest request;
  request.method = "DELETE";
  request.path = "/v1/tasks/" + task_id;
  return request;
}

HttpRequest EncodeUsageQuery() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/usage";
  return request;
}

TaskOutcome InterpretTaskReply(const TaskStart& start,
                               const HttpResult& reply) {
  if (const auto* error = std::get_if<HttpError>(&reply)) {
    return internal::FromError(*error);
  }
  const auto& response = std::get<HttpResponse>(reply);
  TaskOutcome outcome;
  outcome.worker_leaving = internal::HasFlag(response, "x-leaving");
  const auto echoed_id = FindHeader(response.headers, "x-task-id");
  if (echoed_id && *echoed_id != start.task_id) {
    outcome.kind = TaskOutcome::Kind::kUnknown;
    outcome.connection_suspect = true;
    outcome.detail =
        fmt::format("the worker replied for task {} instead of task {}",
                    *echoed_id, start.task_id);
    return outcome;
  }
  if (response.status >= internal::kFirstErrorStatus) {
    outcome.kind = internal::HasFlag(response, "x-not-started")
                       ? TaskOutcome::Kind::kNotStarted
                       : TaskOutcome::Kind::kFailed;
    outcome.detail =
        fmt::format("the worker answered with status {}", response.status);
    return outcome;
  }
  outcome.kind = TaskOutcome::Kind::kDone;
  // A result that is not valid JSON is converted to a JSON string.
  outcome.result =
      nlohmann::json::accept(response.body)
          ? response.body
          : nlohmann::json(response.body)
                .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return outcome;
}

}  // namespace sequoiapath
