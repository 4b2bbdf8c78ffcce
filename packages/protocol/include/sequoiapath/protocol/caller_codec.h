// Defines CallerCodec, the functions that decode the step jobs of callers and
// encode the answers.

#ifndef SEQUOIAPATH_PROTOCOL_CALLER_CODEC_H_
#define SEQUOIAPATH_PROTOCOL_CALLER_CODEC_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "sequoiapath/protocol/route_table.h"
#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

// Reason for rejecting a submission.
struct SubmissionError {
  // True if the request is malformed; false if it is well formed but uses a
  // feature that is not supported.
  bool malformed = true;
  std::string message;
};

// All functions are free of I/O and state. Thread-safe.
struct CallerCodec {
  // Decodes a submission. The part of the path after the route's prefix is the
  // job id.
  std::variant<StepJob, SubmissionError> (*decode_submission)(
      const HttpRequest& request, const Route& route);
  // Returns how long the caller waits for the answer; empty if the request does
  // not specify it.
  std::optional<std::chrono::milliseconds> (*caller_timeout)(
      const HttpRequest& request);
  HttpResponse (*encode_answer)(const StepJobAnswer& answer);
  // Encodes the number of stored jobs that have not started.
  HttpResponse (*encode_pending)(std::size_t pending);
  // Path of the load balancer's readiness checks.
  std::string_view ready_path;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_CALLER_CODEC_H_
