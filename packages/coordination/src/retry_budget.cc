#include "sequoiapath/coordination/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace sequoiapath {
namespace internal {
namespace {

using Seconds = std::chrono::duration<double>;

void Refill(RetryBudget* budget, TimePoint now) {
  const double elapsed = std::max(0.0, Seconds(now - budget->refilled).count());
  budget->refilled = std::max(budget->refilled, now);
  // At most the retries of one second accumulate, which bounds the retries in
  // every second.
  budget->from_time =
      std::min(budget->limits.per_second,
               budget->from_time + elapsed * budget->limits.per_second);
}

}  // namespace
}  // namespace internal

void RecordStart(RetryBudget* budget) {
  budget->from_starts = std::min(
      budget->limits.max_saved, budget->from_starts + budget->limits.per_start);
}

bool TakeRetry(RetryBudget* budget, TimePoint now) {
  internal::Refill(budget, now);
  // A retry reduces both amounts, because `per_second` is the minimum rate of
  // the budget and not an addition to the retries from starts.
  const bool allowed = budget->from_starts >= 1 || budget->from_time >= 1;
  if (!allowed) return false;
  budget->from_starts = std::max(0.0, budget->from_starts - 1);
  budget->from_time = std::max(0.0, budget->from_time - 1);
  return true;
}

Duration RetryDelay(const RetryDelays& delays, unsigned retry, double draw) {
  Duration delay = delays.first;
  for (unsigned i = 0; i < retry && delay < delays.longest; ++i) delay *= 2;
  return std::chrono::duration_cast<Duration>((0.5 + draw) *
                                              std::min(delay, delays.longest));
}

Duration TimeToNextRetry(RetryBudget* budget, TimePoint now) {
  internal::Refill(budget, now);
  if (budget->from_starts >= 1 || budget->from_time >= 1) {
    return Duration::zero();
  }
  return std::chrono::ceil<Duration>(
      internal::Seconds((1 - budget->from_time) / budget->limits.per_second));
}

}  // namespace sequoiapath
