#include "sequoiapath/protocol/step_job.h"

#include <algorithm>

namespace sequoiapath {
namespace internal {
namespace {

// Estimated run times are at most this multiple of the actual ones.
constexpr int kMaxEstimateFactor = 2;

}  // namespace
}  // namespace internal

std::chrono::milliseconds CriticalPathTime(const StepJob& job) {
  std::vector<std::chrono::milliseconds> path(job.steps.size());
  std::chrono::milliseconds longest(0);
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    std::chrono::milliseconds before(0);
    for (const std::uint32_t earlier : job.steps[s].after) {
      before = std::max(before, path[earlier]);
    }
    path[s] = before + job.steps[s].estimate;
    longest = std::max(longest, path[s]);
  }
  return longest;
}

std::chrono::milliseconds ShortestRunTime(const StepJob& job) {
  return CriticalPathTime(job) / internal::kMaxEstimateFactor;
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
    case StepJobOutcome::kNotAccepted:
      return "not_accepted";
  }
  return "unknown";
}

}  // namespace sequoiapath
