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
  // At most a second's worth is saved, so that the bound holds in each second.
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
  // A retry counts against both limits where it can, because the rate per
  // second is the floor of the budget and not an addition to it.
  const bool allowed = budget->from_starts >= 1 || budget->from_time >= 1;
  if (!allowed) return false;
  budget->from_starts = std::max(0.0, budget->from_starts - 1);
  budget->from_time = std::max(0.0, budget->from_time - 1);
  return true;
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
