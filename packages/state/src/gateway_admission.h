// Limits what a JobGateway submits where the scheduler's link is scarce: new
// jobs by the share that the scheduler names, resubmissions by a budget.

#ifndef SEQUOIAPATH_STATE_GATEWAY_ADMISSION_H_
#define SEQUOIAPATH_STATE_GATEWAY_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "sequoiapath/coordination/retry_budget.h"
#include "sequoiapath/state/job_gateway.h"

namespace sequoiapath::internal {

// Thread safety of the functions below: loop thread only.
struct GatewayAdmission {
  // A tenth of the first submissions; at least 10 a second.
  RetryBudget resubmissions;
  std::minstd_rand random{std::random_device{}()};
  bool refuses = false;  // As logged.
};

// Returns the refusal of a new job that is not in the scheduler's share. Logs
// when such refusals begin and end.
std::optional<StepJobAnswer> CheckShare(GatewayAdmission* admission,
                                        GatewayCounts* counts,
                                        const SubmissionLimits& limits,
                                        const std::string& job);

// Returns whether a job that has been submitted `submissions` times may be
// submitted now. Takes a resubmission from the budget.
bool MaySubmit(GatewayAdmission* admission, const SubmissionLimits& limits,
               std::uint32_t submissions, TimePoint now);

// Returns the earliest time of the next submission of a job that a scheduler
// has returned or not answered.
TimePoint NextSubmission(GatewayAdmission* admission,
                         const SubmissionLimits& limits,
                         std::uint32_t submissions, TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_GATEWAY_ADMISSION_H_
