#include "sequoiapath/protocol/step_job.h"

#include <algorithm>

namespace sequoiapath {
namespace internal {
namespace {

// Declared run times exceed the true ones by no more than this.
constexpr int kLargestEstimateError = 2;

}  // namespace
}  // namespace internal

std::chrono::milliseconds CriticalPathTime(const StepJob& job) {
  std::vector<std::chrono::milliseconds> chain(job.steps.size());
  std::chrono::milliseconds longest(0);
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    std::chrono::milliseconds before(0);
    for (const std::uint32_t earlier : job.steps[s].after) {
      before = std::max(before, chain[earlier]);
    }
    chain[s] = before + job.steps[s].estimate;
    longest = std::max(longest, chain[s]);
  }
  return longest;
}

std::chrono::milliseconds ShortestRunTime(const StepJob& job) {
  return CriticalPathTime(job) / internal::kLargestEstimateError;
}

const char* ToString(StepJobOutcome outcome) {
  switch (outcome) {
    case StepJobOutcome::kCompleted:
      return "completed";
    case StepJobOutcome::kFailed:
      return "failed";
    case StepJobOutcome::kRefused:
      return "refused";
    case StepJobOutcome::kMoved:
      return "moved";
    case StepJobOutcome::kExpired:
      return "expired";
    case StepJobOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace sequoiapath
