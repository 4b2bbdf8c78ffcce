// Defines CallerCodec, how step jobs are read from callers and answered.

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

// Why a submission is not accepted.
struct SubmissionError {
  // True if the body is malformed; false if it asks for what is not supported.
  bool malformed = true;
  std::string message;
};

// The functions do no I/O and keep no state. Thread-safe.
struct CallerCodec {
  // Reads a submission. The path's rest behind the route's prefix is the id.
  std::variant<StepJob, SubmissionError> (*decode_submission)(
      const HttpRequest& request, const Route& route);
  // Returns how long the caller waits for the answer, if it says so.
  std::optional<std::chrono::milliseconds> (*caller_timeout)(
      const HttpRequest& request);
  HttpResponse (*encode_answer)(const StepJobAnswer& answer);
  // Encodes the number of stored jobs that have not begun.
  HttpResponse (*encode_pending)(std::size_t pending);
  // Path of the balancer's readiness checks.
  std::string_view ready_path;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_CALLER_CODEC_H_
