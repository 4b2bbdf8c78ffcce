#include "gateway_counts.h"

#include <algorithm>
#include <chrono>

namespace sequoiapath::internal {

void CountAnswer(GatewayCounts* counts, const StepJobAnswer& answer,
                 Duration duration) {
  switch (answer.outcome) {
    case StepJobOutcome::kCompleted:
      ++counts->completed;
      break;
    case StepJobOutcome::kFailed:
      ++counts->failed;
      break;
    case StepJobOutcome::kRefused:
      ++counts->refused;
      break;
    case StepJobOutcome::kCancelled:
      ++counts->cancelled;
      break;
    case StepJobOutcome::kExpired:
    case StepJobOutcome::kMoved:
    case StepJobOutcome::kNotAccepted:
      ++counts->expired;
      break;
  }
  const auto bound = std::lower_bound(GatewayCounts::kBoundsMs.begin(),
                                      GatewayCounts::kBoundsMs.end(),
                                      duration / std::chrono::milliseconds(1));
  ++counts->response_time_counts[static_cast<std::size_t>(
      bound - GatewayCounts::kBoundsMs.begin())];
  counts->response_seconds += std::chrono::duration<double>(duration).count();
}

}  // namespace sequoiapath::internal
