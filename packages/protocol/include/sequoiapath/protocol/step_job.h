// Defines StepJob, a job of steps that each consist of equal tasks, and its
// answer.

#ifndef SEQUOIAPATH_PROTOCOL_STEP_JOB_H_
#define SEQUOIAPATH_PROTOCOL_STEP_JOB_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiapath {

// A time on a daemon's own clock, with the resolution of its messages.
using DaemonTime = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::milliseconds>;

// The resources of a worker, or the resources that a task requires.
struct Resources {
  std::int64_t milli_cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// Returns whether `demand` does not exceed `available` in any resource.
// Thread-safe.
inline bool Fits(const Resources& demand, const Resources& available) {
  return demand.milli_cores <= available.milli_cores &&
         demand.memory_mb <= available.memory_mb &&
         demand.accelerators <= available.accelerators;
}

inline Resources& operator+=(Resources& sum, const Resources& part) {
  sum.milli_cores += part.milli_cores;
  sum.memory_mb += part.memory_mb;
  sum.accelerators += part.accelerators;
  return sum;
}

inline Resources& operator-=(Resources& remaining, const Resources& part) {
  remaining.milli_cores -= part.milli_cores;
  remaining.memory_mb -= part.memory_mb;
  remaining.accelerators -= part.accelerators;
  return remaining;
}

// Equal tasks of a job that become ready together.
struct JobStep {
  std::uint32_t count = 0;
  Resources demand;
  // The caller's estimate of the run time of one task.
  std::chrono::milliseconds estimate{0};
  std::vector<std::uint32_t> after;  // Indexes of the steps it depends on.
  std::string required_label;        // Empty: no label required.
  std::string preferred_rack;        // Empty: no preference.
  std::uint32_t max_per_worker = 0;  // Zero: no limit.
};

// A job whose answer is returned when all of its tasks have ended.
struct StepJob {
  std::string id;  // Chosen by the caller.
  std::string spec;
  std::vector<JobStep> steps;
  std::string service;
  int priority = 0;                // Zero is the highest.
  std::uint32_t max_attempts = 1;  // Maximum number of failed runs of one task.
  // Allowed response time as a multiple of the ideal one.
  double stretch = 1;
  // Allowed response time in addition to the stretch.
  std::chrono::milliseconds slack{0};
  // Time until the caller's deadline.
  std::chrono::milliseconds remaining{0};
  // Time since a daemon received the caller's request.
  std::chrono::milliseconds age{0};
  // Increases with each submission of the job to another scheduler. The runs of
  // its tasks get higher numbers than all runs of earlier generations.
  std::uint32_t generation = 0;
  // Highest fencing token of the schedulers that held the job before.
  std::uint64_t former_fence = 0;
  // Ids of the workers on which former schedulers may have started tasks of the
  // job; empty for a first submission.
  std::vector<std::string> former_workers;
  // The claim of the scheduler for which the submission is meant; zero if the
  // submission comes from a version without this field.
  std::uint64_t scheduler_fence = 0;
  // When that scheduler sent the latest heartbeat that the submitting daemon
  // has received, on the scheduler's clock.
  DaemonTime heartbeat_sent_at;
  // Number of the submission, which increases with each one that the submitting
  // daemon process makes. Zero: the submission comes from a version without
  // this field.
  std::uint64_t submission = 0;
  // The submitting daemon has kept `spec` and adds it to the start orders,
  // which the scheduler sends through it.
  bool spec_omitted = false;
};

// Returns a lower bound of the job's run time: half of its critical path, since
// the estimates may be up to twice the actual run times. Thread-safe.
std::chrono::milliseconds ShortestRunTime(const StepJob& job);

// Returns the sum of the estimates along the critical path, the longest chain
// of dependent steps. Precondition: `after` names only earlier steps.
// Thread-safe.
std::chrono::milliseconds CriticalPathTime(const StepJob& job);

enum class StepJobOutcome {
  kCompleted,  // All tasks succeeded.
  kFailed,     // A task failed `max_attempts` times.
  kRefused,    // No task was started or will be started.
  kMoved,      // Another scheduler must continue the job; submit it again.
  kExpired,    // The caller's deadline has passed.
  kCancelled,
  kNotAccepted,  // The submission had no effect; submit the job again.
};

// Returns a short name for logs. Thread-safe.
const char* ToString(StepJobOutcome outcome);

struct StepJobAnswer {
  StepJobOutcome outcome = StepJobOutcome::kRefused;
  std::string reason;
  std::chrono::milliseconds retry_after{0};
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_STEP_JOB_H_
