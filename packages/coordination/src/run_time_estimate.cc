#include "sequoiapath/coordination/run_time_estimate.h"

#include <algorithm>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

// One sample in 32 keeps the estimate steady when 2% of the tasks take a
// hundred times as long as the others.
constexpr std::int64_t kWeight = 32;
// Fewer samples say little about a service with a few slow tasks.
constexpr std::uint64_t kMinSamples = 20;

}  // namespace
}  // namespace internal

void RecordRunTime(RunTimeEstimates* estimates, const std::string& service,
                   Duration run_time) {
  SEQUOIAPATH_ASSERT(run_time >= Duration::zero(),
                     "a task of service {} ran for {} ns", service,
                     run_time.count());
  RunTimeEstimate& estimate = (*estimates)[service];
  ++estimate.samples;
  // The first samples count equally, so that the start is forgotten soon.
  const auto weight =
      std::min(static_cast<std::int64_t>(estimate.samples), internal::kWeight);
  const Duration error = run_time - estimate.mean;
  estimate.mean += error / weight;
  if (estimate.samples == 1) return;
  const Duration distance = error < Duration::zero() ? -error : error;
  estimate.deviation += (distance - estimate.deviation) / weight;
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
