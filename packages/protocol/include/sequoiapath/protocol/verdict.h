// Defines Failure, the error type of the whole program: it says whether the
// request may have run, why it failed and what the caller may do next.

#ifndef SEQUOIAPATH_PROTOCOL_VERDICT_H_
#define SEQUOIAPATH_PROTOCOL_VERDICT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sequoiapath {

// Says whether any task of a request was started.
enum class Verdict {
  kNotRun,      // No task was started.
  kMayHaveRun,  // A task may have started and its end is unknown.
  kRan,         // A task ran, and the end of every started task is known.
};

// Stable reason codes; ToString gives the name used on the wire.
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

// Says how a caller may submit the work again.
enum class RetryAdvice {
  kSameSequence,  // Submit the same sequence number again.
  kNewSequence,   // Submit under a new sequence number.
  kNewSession,    // Open a new session first.
  kNever,         // The same request cannot succeed.
};

std::string_view ToString(Verdict verdict);
std::string_view ToString(Reason reason);
std::string_view ToString(RetryAdvice advice);

// Parse the names that ToString returns; empty for any other text. Thread-safe.
std::optional<Verdict> ParseVerdict(std::string_view text);
std::optional<Reason> ParseReason(std::string_view text);
std::optional<RetryAdvice> ParseRetryAdvice(std::string_view text);

struct Failure {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kInternal;
  RetryAdvice retry = RetryAdvice::kNever;
  std::optional<std::chrono::milliseconds> retry_after;
  std::string detail;  // For people; not stable.
};

// Either a value or the failure that prevented it.
template <typename T>
using Result = std::variant<T, Failure>;

// Returns the failure held by `result`, or null if it holds a value.
template <typename T>
const Failure* GetFailure(const Result<T>& result) {
  return std::get_if<Failure>(&result);
}

// Returns the HTTP status for a failed answer. Thread-safe.
int HttpStatus(const Failure& failure);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_VERDICT_H_
