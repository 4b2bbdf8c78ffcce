#include "sequoiapath/coordination/run_time_estimate.h"

#include <algorithm>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

// Each sample enters with a weight of 1/32, which keeps the estimate stable
// when 2% of the tasks take a hundred times as long as the others.
constexpr std::int64_t kSmoothingDivisor = 32;
// An estimate from fewer samples is unreliable for a service with a few slow
// tasks.
constexpr std::uint64_t kMinSamples = 20;

}  // namespace
}  // namespace internal

void RecordRunTime(RunTimeEstimates* estimates, const std::string& service,
                   Duration run_time) {
  SEQUOIAPATH_ASSERT(
      run_time >= Duration::zero(),
      "run time of a task of service {} is {} ns, must not be negative",
      service, run_time.count());
  RunTimeEstimate& estimate = (*estimates)[service];
  ++estimate.samples;
  // The first 32 samples have equal weights, so that the initial value of zero
  // has little influence.
  const auto divisor = std::min(static_cast<std::int64_t>(estimate.samples),
                                internal::kSmoothingDivisor);
  const Duration error = run_time - estimate.mean;
  estimate.mean += error / divisor;
  if (estimate.samples == 1) return;
  const Duration distance = error < Duration::zero() ? -error : error;
  estimate.deviation += (distance - estimate.deviation) / divisor;
}

std::optional<RunTimeEstimate> FindEstimate(const RunTimeEstimates& estimates,
                                            const std::string& service) {
  const auto it = estimates.find(service);
  if (it == estimates.end() || it->second.samples < internal::kMinSamples) {
    return std::nullopt;
  }
  return it->second;
}

}  // namespace sequoiapath
