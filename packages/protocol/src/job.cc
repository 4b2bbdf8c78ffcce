#include "sequoiapath/protocol/job.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "sequoiapath/protocol/json_nesting.h"

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

// Limits on resource demands, which keep arithmetic on them from overflowing.
constexpr double kMaxCores = 1 << 20;
constexpr std::int64_t kMaxMemoryMb = std::int64_t{1} << 40;
constexpr int kMaxAccelerators = 1 << 20;
// Maximum depth of nested arrays and objects in a request.
constexpr int kMaxNesting = 128;
// Limits the part of the request that an error message repeats.
constexpr std::size_t kMaxRepeatedBytes = 64;
constexpr std::int64_t kMaxDeadlineMs = std::int64_t{24} * 3600 * 1000;

Failure InvalidRequest(std::string detail) {
  return {Verdict::kNotRun, Reason::kInvalidRequest, RetryAdvice::kNever,
          std::nullopt, std::move(detail)};
}

Json ParseJson(std::string_view text) {
  return Json::parse(text, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

// Shortens a text from the request for use in an error message.
std::string Truncate(const std::string& text) {
  return text.size() <= kMaxRepeatedBytes
             ? text
             : text.substr(0, kMaxRepeatedBytes) + "...";
}

// Describes a value from the request for use in an error message. Strings are
// shortened, and arrays and objects shown by their type only, because a value
// may be as large as the request and serializing it whole would be costly.
std::string Describe(const Json& value) {
  if (value.is_array()) return "an array";
  if (value.is_object()) return "an object";
  if (!value.is_string()) return value.dump();
  // Shortening may split a UTF-8 sequence, which is then replaced.
  return Json(Truncate(value.get_ref<const std::string&>()))
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::string> ReadDemand(const Json& json, Demand* demand) {
  if (!json.is_object()) return "demand: expected an object";
  for (const auto& [key, value] : json.items()) {
    if (key == "cores") {
      if (!value.is_number() || value.get<double>() < 0 ||
          value.get<double>() > kMaxCores) {
        return fmt::format(
            "demand.cores: expected a number from 0 to 1048576, found {}",
            Describe(value));
      }
      demand->cores = value.get<double>();
    } else if (key == "memory_mb") {
      if (!value.is_number_unsigned() ||
          value.get<std::uint64_t>() > kMaxMemoryMb) {
        return fmt::format(
            "demand.memory_mb: expected a whole number of megabytes from 0 to "
            "1099511627776, found {}",
            Describe(value));
      }
      demand->memory_mb = value.get<std::int64_t>();
    } else if (key == "accelerators") {
      if (!value.is_number_unsigned() ||
          value.get<std::uint64_t>() > kMaxAccelerators) {
        return fmt::format(
            "demand.accelerators: expected a whole number from 0 to 1048576, "
            "found {}",
            Describe(value));
      }
      demand->accelerators = value.get<int>();
    } else {
      return fmt::format(
          "demand.{}: unknown key; allowed are cores, memory_mb and "
          "accelerators",
          Truncate(key));
    }
  }
  return std::nullopt;
}

std::optional<std::string> ReadPlaces(const Json& json,
                                      std::vector<std::string>* places) {
  constexpr auto kError = "places: expected an array of strings";
  if (!json.is_array()) return kError;
  for (const Json& place : json) {
    if (!place.is_string()) return kError;
    places->push_back(place.get<std::string>());
  }
  return std::nullopt;
}

std::optional<std::string> ReadTasks(const Json& json,
                                     std::vector<std::string>* payloads) {
  if (!json.is_array() || json.empty()) {
    return "tasks: expected an array with at least one task";
  }
  payloads->reserve(json.size());
  for (const Json& task : json) payloads->push_back(task.dump());
  return std::nullopt;
}

// Reads one top-level field. Returns an error message if it is invalid.
std::optional<std::string> ReadJobField(const std::string& key,
                                        const Json& value,
                                        JobRequest* request) {
  if (key == "service") {
    if (!value.is_string()) {
      return fmt::format("service: expected a string, found {}",
                         Describe(value));
    }
    request->service = value.get<std::string>();
  } else if (key == "tasks") {
    return ReadTasks(value, &request->payloads);
  } else if (key == "deadline_ms") {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() == 0 ||
        value.get<std::uint64_t>() > kMaxDeadlineMs) {
      return fmt::format(
          "deadline_ms: expected a whole number from 1 to 86400000, found {}",
          Describe(value));
    }
    request->deadline = std::chrono::milliseconds(value.get<std::int64_t>());
  } else if (key == "priority") {
    if (value.is_string()) {
      request->priority = ParsePriority(value.get<std::string>());
    }
    if (!request->priority) {
      return fmt::format(
          "priority: expected \"urgent\", \"normal\" or \"bulk\", found {}",
          Describe(value));
    }
  } else if (key == "demand") {
    return ReadDemand(value, &request->demand);
  } else if (key == "places") {
    return ReadPlaces(value, &request->places);
  } else {
    return fmt::format(
        "{}: unknown key; allowed are service, tasks, deadline_ms, priority, "
        "demand and places",
        Truncate(key));
  }
  return std::nullopt;
}

Json EncodeFailure(const Failure& failure) {
  Json json{{"outcome", "failed"},
            {"verdict", ToString(failure.verdict)},
            {"reason", ToString(failure.reason)},
            {"retry", ToString(failure.retry)},
            {"detail", failure.detail}};
  if (failure.retry_after) {
    json["retry_after_ms"] = failure.retry_after->count();
  }
  return json;
}

std::optional<Failure> DecodeFailure(const Json& json) {
  const auto verdict = ParseVerdict(json.value("verdict", ""));
  const auto reason = ParseReason(json.value("reason", ""));
  const auto retry = ParseRetryAdvice(json.value("retry", ""));
  if (!verdict || !reason || !retry) return std::nullopt;
  Failure failure{*verdict, *reason, *retry, std::nullopt,
                  json.value("detail", "")};
  if (json.contains("retry_after_ms")) {
    failure.retry_after =
        std::chrono::milliseconds(json["retry_after_ms"].get<std::int64_t>());
  }
  return failure;
}

std::optional<JobAnswer> DecodeAnswer(const Json& json) {
  JobAnswer answer;
  answer.request_id = json.value("request_id", "");
  const std::string outcome = json.value("outcome", "");
  if (outcome == "complete") {
    JobResults results;
    for (const Json& result : json.at("results")) {
      results.results.push_back(result.dump());
    }
    answer.outcome = std::move(results);
    return answer;
  }
  std::optional<Failure> failure = DecodeFailure(json);
  if (outcome != "failed" || !failure) return std::nullopt;
  answer.outcome = *std::move(failure);
  return answer;
}

}  // namespace
}  // namespace internal

std::string_view ToString(Priority priority) {
  switch (priority) {
    case Priority::kUrgent:
      return "urgent";
    case Priority::kNormal:
      return "normal";
    case Priority::kBulk:
      return "bulk";
  }
  return "unknown";
}

std::optional<Priority> ParsePriority(std::string_view text) {
  if (text == "urgent") return Priority::kUrgent;
  if (text == "normal") return Priority::kNormal;
  if (text == "bulk") return Priority::kBulk;
  return std::nullopt;
}

Result<JobRequest> DecodeJobRequest(std::string_view body) {
  if (IsNestedDeeperThan(internal::kMaxNesting, body)) {
    return internal::InvalidRequest(
        fmt::format("body: nested deeper than the allowed {} levels",
                    internal::kMaxNesting));
  }
  const internal::Json json = internal::ParseJson(body);
  if (json.is_discarded()) {
    return internal::InvalidRequest("body: not valid JSON");
  }
  if (!json.is_object()) {
    return internal::InvalidRequest("body: expected a JSON object");
  }
  JobRequest request;
  for (const auto& [key, value] : json.items()) {
    if (auto error = internal::ReadJobField(key, value, &request)) {
      return internal::InvalidRequest(*std::move(error));
    }
  }
  if (request.service.empty()) {
    return internal::InvalidRequest("service: required");
  }
  if (request.payloads.empty()) {
    return internal::InvalidRequest("tasks: required");
  }
  return request;
}

std::string EncodeJobRequest(const JobRequest& request) {
  internal::Json json{{"service", request.service}};
  json["tasks"] = internal::Json::array();
  for (const std::string& payload : request.payloads) {
    json["tasks"].push_back(internal::ParseJson(payload));
  }
  if (request.deadline) json["deadline_ms"] = request.deadline->count();
  if (request.priority) json["priority"] = ToString(*request.priority);
  if (request.demand != Demand{}) {
    json["demand"] = {{"cores", request.demand.cores},
                      {"memory_mb", request.demand.memory_mb},
                      {"accelerators", request.demand.accelerators}};
  }
  if (!request.places.empty()) json["places"] = request.places;
  return json.dump();
}

std::string EncodeJobAnswer(const JobAnswer& answer) {
  if (const auto* failure = std::get_if<Failure>(&answer.outcome)) {
    internal::Json json = internal::EncodeFailure(*failure);
    json["request_id"] = answer.request_id;
    return json.dump(-1, ' ', false, internal::Json::error_handler_t::replace);
  }
  // Results are JSON texts and are copied without parsing, which would double
  // the cost of large answers.
  std::string body = R"({"outcome":"complete","request_id":)" +
                     internal::Json(answer.request_id).dump() +
                     R"(,"results":[)";
  const auto& results = std::get<JobResults>(answer.outcome).results;
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (i != 0) body += ',';
    body += results[i];
  }
  return body + "]}";
}

Result<JobAnswer> DecodeJobAnswer(std::string_view body) {
  const internal::Json json = internal::ParseJson(body);
  if (!json.is_discarded() && json.is_object()) {
    try {
      if (auto answer = internal::DecodeAnswer(json)) return *std::move(answer);
    } catch (const internal::Json::exception&) {
      // Reported below, together with all other malformed answers.
    }
  }
  return Failure{Verdict::kMayHaveRun, Reason::kInternal,
                 RetryAdvice::kSameSequence, std::nullopt,
                 "the response body is not a valid job answer"};
}

int HttpStatus(const JobAnswer& answer) {
  const auto* failure = std::get_if<Failure>(&answer.outcome);
  return failure == nullptr ? 200 : HttpStatus(*failure);
}

}  // namespace sequoiapath
