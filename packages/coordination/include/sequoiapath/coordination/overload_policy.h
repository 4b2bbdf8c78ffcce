// Defines OverloadPolicy, which decides which waiting jobs are delayed when the
// workers cannot run all of them in time.
//
// If every job waited its turn, a burst would make all of them a little too
// late. The policy forecasts in the order of the queue which jobs meet their
// objectives. Where one does not, it delays the job that costs callers least
// among those of its priority up to it: the one of the least value for the work
// that it needs. This is the rule of Moore and Hodgson (1968) for the fewest
// late jobs. A delayed job still runs when there is room. A job is never
// delayed for one of a lower priority.

#ifndef SEQUOIAPATH_COORDINATION_OVERLOAD_POLICY_H_
#define SEQUOIAPATH_COORDINATION_OVERLOAD_POLICY_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sequoiapath/protocol/route_table.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// The work of tasks: cores times run time, in milli-core-milliseconds.
using Work = double;

// A job with waiting tasks that may still meet its objective.
struct WaitingJob {
  int priority = 0;  // Zero is the highest.
  double size = 1;   // Its whole work as a multiple of the mean of its kind.
  Work rest = 0;     // Work of its waiting tasks.
  TimePoint latest_start;  // After this time it misses its objective.
  bool started = false;    // Some of its tasks have started.
};

// The shares of large and small jobs that were delayed lately. Large jobs need
// the most work for their value; without a bound a long overload would delay
// all of them.
struct SizeShares {
  double jobs = 0;  // Decayed count of the jobs that arrived.
  double delayed = 0;
};

// What the workers can run, and what arrives, in milli-cores.
struct WorkRates {
  double capacity = 0;  // Of whole tasks on the workers as they are.
  double arriving = 0;  // Work that arrives in each millisecond.
};

// Not thread-safe: calls of the functions below must not overlap.
struct OverloadPolicy {
  // Delays jobs only if this is set.
  bool enabled = false;
  // Decayed mean of the work of a job, by service and priority.
  std::map<std::pair<std::string, int>, Work> mean_work;
  // By service and priority: of the large jobs.
  std::map<std::pair<std::string, int>, SizeShares> large_jobs;
  // Work that arrived since `rate_updated_at`, and the smoothed rate before.
  Work arrived = 0;
  double arrival_rate = 0;
  TimePoint rate_updated_at;
};

// Returns whether the configuration calls for the policy: two queues of a
// service have the same priority, so that jobs of different work compete at one
// rank.
bool CallsForOverloadPolicy(const RouteTable& routes);

// Records the arrival of a job and returns its size. `kind` is its service and
// priority, `work` its whole work. Precondition: `work` is positive.
double RecordArrival(OverloadPolicy* policy,
                     const std::pair<std::string, int>& kind, Work work);

// Updates the rate at which work arrives. Call it at regular intervals.
void UpdateArrivalRate(OverloadPolicy* policy, TimePoint now);

// Returns the time until `queued` work has been done although more arrives;
// Duration::max() if more arrives than the workers can run.
Duration DrainTime(Work queued, const WorkRates& rates);

// Records that a job was delayed.
void RecordDelay(OverloadPolicy* policy,
                 const std::pair<std::string, int>& kind, double size);

// Returns whether a job of this size may be delayed. A large job may not if
// half of the large jobs of its kind were delayed lately.
bool MayDelay(const OverloadPolicy& policy,
              const std::pair<std::string, int>& kind, double size);

// Returns the value of a job to its caller for each unit of its work, relative
// to a mean job of its kind. A job has a fixed value and one that grows with
// its work, up to four times that of a mean job. Precondition: `size` is
// positive.
double ValueDensity(double size);

// Returns the indexes of the jobs to delay so that the others can start in
// time, in the order of the decisions. `jobs` are in the order of the queue:
// by priority, then by objective. `milli_cores` is what the workers run at the
// same time. A started job is not
// delayed. Preconditions: `milli_cores` is positive; `may_delay` has an entry
// for each job.
std::vector<std::size_t> ChooseDelayedJobs(const std::vector<WaitingJob>& jobs,
                                           const std::vector<bool>& may_delay,
                                           double milli_cores, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_OVERLOAD_POLICY_H_
