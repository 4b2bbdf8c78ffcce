#include "sequoiapath/state/log_limiter.h"

#include <algorithm>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

void Refill(LogLimiter* limiter, std::chrono::steady_clock::time_point now) {
  const std::chrono::duration<double> elapsed = now - limiter->refilled;
  limiter->refilled = now;
  limiter->tokens =
      std::min(limiter->burst,
               limiter->tokens + elapsed.count() * limiter->lines_per_second);
}

}  // namespace
}  // namespace internal

bool AdmitLine(LogLimiter* limiter, bool is_error,
               std::chrono::steady_clock::time_point now) {
  internal::Refill(limiter, now);
  const double reserved = is_error ? 0 : limiter->error_reserve;
  if (limiter->tokens < reserved + 1) {
    ++limiter->suppressed;
    return false;
  }
  limiter->tokens -= 1;
  return true;
}

std::uint64_t TakeSuppressed(LogLimiter* limiter,
                             std::chrono::steady_clock::time_point now) {
  if (limiter->suppressed == 0) return 0;
  internal::Refill(limiter, now);
  if (limiter->tokens < limiter->error_reserve + 1) return 0;
  limiter->tokens -= 1;
  return std::exchange(limiter->suppressed, 0);
}

}  // namespace sequoiapath
