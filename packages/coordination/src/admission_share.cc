#include "sequoiapath/coordination/admission_share.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Seconds = std::chrono::duration<double>;

// The excess that late heartbeats count as. By how much they are late says
// little, because it includes the queues of other links.
constexpr double kLateHeartbeatsExcess = 2;

// Returns by what factor the link exceeds its limits; at most 1: not congested.
double Excess(const AdmissionShare& share, Duration work_delay) {
  const double delay = Seconds(work_delay).count() /
                       Seconds(share.limits.max_work_delay).count();
  const bool late = 2 * share.late_heartbeats > share.heartbeats;
  return std::max(delay, late ? kLateHeartbeatsExcess : 0);
}

void BeginInterval(AdmissionShare* share, TimePoint now) {
  share->changed = now;
  share->heartbeats = 0;
  share->late_heartbeats = 0;
}

void Decrease(AdmissionShare* share, double excess, TimePoint now) {
  const AdmissionShareLimits& limits = share->limits;
  if (now - share->changed < limits.decrease_interval) return;
  const double factor =
      std::clamp(1 / excess, limits.least_factor, limits.greatest_factor);
  share->share = std::max(limits.least_share, share->share * factor);
  BeginInterval(share, now);
  ++share->decreases;
}

void Increase(AdmissionShare* share, TimePoint now) {
  const AdmissionShareLimits& limits = share->limits;
  if (now - share->changed < limits.increase_interval) return;
  const bool calm = now - share->congested_at >= limits.calm_time;
  share->share = std::min(
      1.0, share->share + (calm ? limits.calm_increase : limits.increase));
  BeginInterval(share, now);
}

}  // namespace
}  // namespace internal

void RecordRoundTrip(AdmissionShare* share, Duration round_trip) {
  ++share->heartbeats;
  if (round_trip > share->limits.max_round_trip) ++share->late_heartbeats;
}

bool UpdateAdmissionShare(AdmissionShare* share, Duration work_delay,
                          TimePoint now) {
  const double excess = internal::Excess(*share, work_delay);
  if (excess > 1) {
    share->congested_at = now;
    internal::Decrease(share, excess, now);
  } else {
    internal::Increase(share, now);
  }
  const bool congested = share->share < 1;
  return std::exchange(share->congested, congested) != congested;
}

void ResetAdmissionShare(AdmissionShare* share, TimePoint now) {
  share->share = 1;
  internal::BeginInterval(share, now);
  share->congested = false;
}

std::uint32_t ShareInThousandths(const AdmissionShare& share) {
  return static_cast<std::uint32_t>(
      std::lround(share.share * kFullAdmissionShare));
}

bool RefusesNewJob(const AdmissionShare& share, Duration work_delay) {
  return work_delay > share.limits.max_queue_delay;
}

bool IsAdmitted(std::string_view job, std::uint32_t thousandths) {
  return XXH64(job.data(), job.size(), 0) % kFullAdmissionShare < thousandths;
}

}  // namespace sequoiapath
