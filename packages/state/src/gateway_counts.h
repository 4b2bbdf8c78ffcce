// Counts the answers of a JobGateway.

#ifndef SEQUOIAPATH_STATE_GATEWAY_COUNTS_H_
#define SEQUOIAPATH_STATE_GATEWAY_COUNTS_H_

#include "sequoiapath/state/job_gateway.h"

namespace sequoiapath::internal {

// Counts an answer that was given `duration` after the job arrived. Thread
// safety: loop thread only.
void CountAnswer(GatewayCounts* counts, const StepJobAnswer& answer,
                 Duration duration);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_GATEWAY_COUNTS_H_
