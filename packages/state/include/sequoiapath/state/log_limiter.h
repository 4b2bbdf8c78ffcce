// Defines LogLimiter, a token bucket that bounds the rate of log lines.

#ifndef SEQUOIAPATH_STATE_LOG_LIMITER_H_
#define SEQUOIAPATH_STATE_LOG_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace sequoiapath {

// Thread safety: one thread at a time.
struct LogLimiter {
  double lines_per_second = 100;
  double burst = 500;
  // Tokens that only errors may use, so that a flood of other lines cannot
  // hide them.
  double error_reserve = 100;
  double tokens = 500;
  std::chrono::steady_clock::time_point refilled;
  std::uint64_t suppressed = 0;  // Since the last report.
};

// Says whether a line may be written now and takes its token; counts the line
// as suppressed otherwise.
bool AdmitLine(LogLimiter* limiter, bool is_error,
               std::chrono::steady_clock::time_point now);

// Returns the number of suppressed lines since the last call if one line may be
// written about them now; zero otherwise.
std::uint64_t TakeSuppressed(LogLimiter* limiter,
                             std::chrono::steady_clock::time_point now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_LOG_LIMITER_H_
