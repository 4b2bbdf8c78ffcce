#include "sequoiapath/coordination/link_budget.h"

#include <algorithm>

namespace sequoiapath {
namespace internal {
namespace {

using Seconds = std::chrono::duration<double>;

// Direct orders need about 1.7 KB/s for each worker where the link was too
// small for them, and links of 71 KB/s and more carried them.
constexpr std::uint64_t kScarceBytesPerWorker = 10'000;
// Work counts on at least this share of the rate, so that the estimated delay
// stays finite while control messages use the link.
constexpr double kMinWorkShare = 0.05;

double UsableRate(const LinkBudget& budget) {
  return budget.limits.rate * budget.limits.used_share;
}

void Refill(LinkBudget* budget, TimePoint now) {
  const double elapsed = std::max(0.0, Seconds(now - budget->refilled).count());
  budget->refilled = std::max(budget->refilled, now);
  const double rate = UsableRate(*budget);
  budget->credit = std::min(budget->credit + elapsed * rate,
                            rate * Seconds(budget->limits.burst).count());
  const double averaged = Seconds(budget->limits.averaging_time).count();
  budget->control_rate *= std::max(0.0, 1 - elapsed / averaged);
}

}  // namespace
}  // namespace internal

bool IsScarceLink(std::uint64_t bytes_per_second, std::size_t workers) {
  return bytes_per_second > 0 &&
         bytes_per_second < internal::kScarceBytesPerWorker * workers;
}

void SetLinkRate(LinkBudget* budget, double rate, TimePoint now) {
  if (budget->limits.rate == rate) return;
  budget->limits.rate = rate;
  budget->credit = 0;
  budget->control_rate = 0;
  budget->waiting = 0;
  budget->refilled = now;
}

void ChargeControl(LinkBudget* budget, std::size_t bytes, TimePoint now) {
  if (budget->limits.rate == 0) return;
  internal::Refill(budget, now);
  const auto charged = static_cast<double>(bytes);
  budget->credit -= charged;
  budget->control_rate +=
      charged / internal::Seconds(budget->limits.averaging_time).count();
}

bool TakeWork(LinkBudget* budget, std::size_t bytes, TimePoint now) {
  if (budget->limits.rate == 0) return true;
  internal::Refill(budget, now);
  if (budget->credit <= 0) {
    ++budget->delayed;
    return false;
  }
  budget->credit -= static_cast<double>(bytes);
  return true;
}

void SetWaitingWork(LinkBudget* budget, std::size_t bytes) {
  budget->waiting = static_cast<double>(bytes);
}

Duration WorkDelay(const LinkBudget& budget) {
  // Without waiting work the credit may be old, as nothing has refilled it.
  if (budget.limits.rate == 0 || budget.waiting == 0) return Duration::zero();
  const double rate = internal::UsableRate(budget);
  const double work_rate =
      std::max(rate - budget.control_rate, rate * internal::kMinWorkShare);
  const double seconds =
      budget.waiting / work_rate + std::max(0.0, -budget.credit) / rate;
  return std::chrono::duration_cast<Duration>(internal::Seconds(seconds));
}

}  // namespace sequoiapath
