// Defines RunTimeEstimates, the exponentially weighted mean and deviation of
// the observed run times of each service. Run times declared by callers do not
// enter, because they may be wrong.

#ifndef SEQUOIAPATH_COORDINATION_RUN_TIME_ESTIMATE_H_
#define SEQUOIAPATH_COORDINATION_RUN_TIME_ESTIMATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct RunTimeEstimate {
  Duration mean{0};
  Duration deviation{0};  // Mean absolute deviation from the mean.
  std::uint64_t samples = 0;
};

// Estimates by service.
using RunTimeEstimates = std::unordered_map<std::string, RunTimeEstimate>;

// Adds the run time of a task that has ended. Precondition: `run_time` is not
// negative. Thread safety of all functions here: one thread at a time.
void RecordRunTime(RunTimeEstimates* estimates, const std::string& service,
                   Duration run_time);

// Returns the estimate of a service, or nothing while it rests on fewer than 20
// run times.
std::optional<RunTimeEstimate> FindEstimate(const RunTimeEstimates& estimates,
                                            const std::string& service);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_RUN_TIME_ESTIMATE_H_
