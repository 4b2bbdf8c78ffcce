// Defines LogLimiter, a token bucket that limits the rate of log lines.

#ifndef SEQUOIAPATH_STATE_LOG_LIMITER_H_
#define SEQUOIAPATH_STATE_LOG_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace sequoiapath {

// The state of the token bucket; each written line consumes one token. Thread
// safety: one thread at a time.
struct LogLimiter {
  double lines_per_second = 100;
  double burst = 500;
  // The number of tokens that are reserved for errors, so that errors are
  // logged even if other lines exceed the rate limit.
  double error_reserve = 100;
  double tokens = 500;
  // The time at which `tokens` was last refilled.
  std::chrono::steady_clock::time_point refilled;
  // Number of lines suppressed since the last report.
  std::uint64_t suppressed = 0;
};

// Consumes a token and returns true if a line may be written now; otherwise
// counts the line as suppressed and returns false.
bool AdmitLine(LogLimiter* limiter, bool is_error,
               std::chrono::steady_clock::time_point now);

// If lines were suppressed and a report line may be written now, consumes a
// token, resets the number of suppressed lines and returns its previous value.
// Returns zero otherwise.
std::uint64_t TakeSuppressed(LogLimiter* limiter,
                             std::chrono::steady_clock::time_point now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_LOG_LIMITER_H_
