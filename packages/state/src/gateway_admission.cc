#include "gateway_admission.h"

#include <chrono>
#include <utility>

#include "sequoiapath/coordination/admission_share.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {
namespace {

using std::chrono::milliseconds;

// Retry-After of a refused job. The share changes within some seconds.
constexpr milliseconds kShareRetryAfter{1000};
// A new scheduler confirms its claim within one heartbeat, so the first retry
// is quick.
constexpr RetryDelays kResubmissionDelays{milliseconds(20), milliseconds(320)};

}  // namespace

std::optional<StepJobAnswer> CheckShare(GatewayAdmission* admission,
                                        GatewayCounts* counts,
                                        const SubmissionLimits& limits,
                                        const std::string& job) {
  const bool refuses = limits.admission_share < kFullAdmissionShare;
  if (std::exchange(admission->refuses, refuses) != refuses) {
    Log(LogLevel::kWarning,
        refuses ? "share_refusals_began" : "share_refusals_ended",
        {{"share", limits.admission_share},
         {"refused_jobs", counts->refused_by_share}});
  }
  if (IsAdmitted(job, limits.admission_share)) return std::nullopt;
  ++counts->refused;
  ++counts->refused_by_share;
  return StepJobAnswer{StepJobOutcome::kRefused, "scheduler_overloaded",
                       kShareRetryAfter};
}

bool MaySubmit(GatewayAdmission* admission, const SubmissionLimits& limits,
               std::uint32_t submissions, TimePoint now) {
  if (submissions == 0 || !limits.link_scarce) return true;
  return TakeRetry(&admission->resubmissions, now);
}

TimePoint NextSubmission(GatewayAdmission* admission,
                         const SubmissionLimits& limits,
                         std::uint32_t submissions, TimePoint now) {
  if (submissions == 0 || !limits.link_scarce) return now;
  const double draw =
      std::uniform_real_distribution<double>(0, 1)(admission->random);
  return now + RetryDelay(kResubmissionDelays, submissions - 1, draw);
}

}  // namespace sequoiapath::internal
