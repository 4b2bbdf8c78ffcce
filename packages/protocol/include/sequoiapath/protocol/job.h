// Defines the messages exchanged with callers: a job of parallel tasks and its
// answer, with their JSON codecs.

#ifndef SEQUOIAPATH_PROTOCOL_JOB_H_
#define SEQUOIAPATH_PROTOCOL_JOB_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

// Queue priorities, highest first.
enum class Priority { kUrgent = 0, kNormal = 1, kBulk = 2 };
constexpr std::size_t kPriorityCount = 3;

std::string_view ToString(Priority priority);

// Returns the priority named by `text`; empty for any other text. Thread-safe.
std::optional<Priority> ParsePriority(std::string_view text);

// Resources that each task of a job requires on its worker.
struct Demand {
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;

  friend bool operator==(const Demand&, const Demand&) = default;
};

// A submission. `payloads` holds the JSON text of each task.
struct JobRequest {
  std::string service;
  std::vector<std::string> payloads;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<Priority> priority;  // Absent: the service's priority.
  Demand demand;
  std::vector<std::string> places;  // Data centres or racks; empty: no limit.
};

// The results of all tasks as JSON texts, in the order of the submission's
// tasks.
struct JobResults {
  std::vector<std::string> results;
};

// The answer to a submission: the results of all tasks, or a failure.
struct JobAnswer {
  std::string request_id;
  std::variant<JobResults, Failure> outcome;
};

// Parses the body of a submission. Fails with kInvalidRequest and a detail that
// names the invalid field. Thread-safe.
Result<JobRequest> DecodeJobRequest(std::string_view body);
std::string EncodeJobRequest(const JobRequest& request);

std::string EncodeJobAnswer(const JobAnswer& answer);

// Parses the body of an answer. Fails with kInternal if it is malformed.
// Thread-safe.
Result<JobAnswer> DecodeJobAnswer(std::string_view body);

// Returns the HTTP status of the response that carries `answer`. Thread-safe.
int HttpStatus(const JobAnswer& answer);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_JOB_H_
