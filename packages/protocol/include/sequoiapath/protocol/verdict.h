// Defines Failure, the error type of the program. It states whether any task of
// the request may have run, why the request failed and how to retry it.

#ifndef SEQUOIAPATH_PROTOCOL_VERDICT_H_
#define SEQUOIAPATH_PROTOCOL_VERDICT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sequoiapath {

// States whether any task of a request was started.
enum class Verdict {
  kNotRun,      // No task was started.
  kMayHaveRun,  // A task may have started, and its end is unknown.
  kRan,         // A task ran, and the end of every started task is known.
};

// Reason codes. ToString returns the name used on the wire, which is stable.
enum class Reason {
  kAnswerDropped,
  kCancelled,
  kConflict,
  kDeadlineExceeded,
  kInternal,
  kInvalidRequest,
  kNeverFits,
  kNoConfiguration,
  kNoWorker,
  kOverloaded,
  kOwnerLost,
  kOwnerUnreachable,
  kQuotaExceeded,
  kSequenceTooOld,
  kSessionRequired,
  kSessionUnknown,
  kStopping,
  kStoreUnavailable,
  kUnauthorized,
  kUnknownService,
  kUnknownTeam,
  kWorkerFailed,
  kWorkerSilent,
};

// States how the caller may retry the request.
enum class RetryAdvice {
  kSameSequence,  // Retry with the same sequence number.
  kNewSequence,   // Retry with a new sequence number.
  kNewSession,    // Open a new session and retry in it.
  kNever,         // The request cannot succeed.
};

std::string_view ToString(Verdict verdict);
std::string_view ToString(Reason reason);
std::string_view ToString(RetryAdvice advice);

// Parse the names that ToString returns. Return an empty optional for any other
// text. Thread-safe.
std::optional<Verdict> ParseVerdict(std::string_view text);
std::optional<Reason> ParseReason(std::string_view text);
std::optional<RetryAdvice> ParseRetryAdvice(std::string_view text);

struct Failure {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kInternal;
  RetryAdvice retry = RetryAdvice::kNever;
  std::optional<std::chrono::milliseconds> retry_after;
  std::string detail;  // Human-readable; may change between versions.
};

// A value, or the failure that occurred instead.
template <typename T>
using Result = std::variant<T, Failure>;

// Returns the failure in `result`, or null if it holds a value.
template <typename T>
const Failure* GetFailure(const Result<T>& result) {
  return std::get_if<Failure>(&result);
}

// Returns the HTTP status of a response that reports `failure`. Thread-safe.
int HttpStatus(const Failure& failure);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_VERDICT_H_
