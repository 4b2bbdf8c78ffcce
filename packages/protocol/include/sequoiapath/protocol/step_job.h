// Defines StepJob, a job of steps of equal tasks, and its answer.

#ifndef SEQUOIAPATH_PROTOCOL_STEP_JOB_H_
#define SEQUOIAPATH_PROTOCOL_STEP_JOB_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiapath {

// Processor, memory and accelerators of a worker, or what a task needs of them.
struct Resources {
  std::int64_t milli_cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// Says whether `demand` fits into `room`. Thread-safe.
inline bool Fits(const Resources& demand, const Resources& room) {
  return demand.milli_cores <= room.milli_cores &&
         demand.memory_mb <= room.memory_mb &&
         demand.accelerators <= room.accelerators;
}

inline Resources& operator+=(Resources& sum, const Resources& part) {
  sum.milli_cores += part.milli_cores;
  sum.memory_mb += part.memory_mb;
  sum.accelerators += part.accelerators;
  return sum;
}

inline Resources& operator-=(Resources& rest, const Resources& part) {
  rest.milli_cores -= part.milli_cores;
  rest.memory_mb -= part.memory_mb;
  rest.accelerators -= part.accelerators;
  return rest;
}

// Equal tasks of a job that become ready together.
struct JobStep {
  std::uint32_t count = 0;
  Resources demand;
  // The caller's rough estimate of one task's run time.
  std::chrono::milliseconds estimate{0};
  std::vector<std::uint32_t> after;  // Indexes of steps that must end first.
  std::string required_label;        // Empty: any worker.
  std::string preferred_rack;        // Empty: no rack is faster.
  std::uint32_t max_per_worker = 0;  // Zero: no limit.
};

// A job whose answer is returned when all of its tasks have ended.
struct StepJob {
  std::string id;  // Chosen by the caller.
  std::string spec;
  std::vector<JobStep> steps;
  std::string service;
  int priority = 0;                // Zero is the most urgent.
  std::uint32_t max_attempts = 1;  // Failed runs of one task.
  double stretch = 1;              // Allowed response time over the ideal one.
  std::chrono::milliseconds slack{0};  // Allowed beyond the stretch.
  // Time that the caller still waits.
  std::chrono::milliseconds remaining{0};
  // Time since the caller's request arrived at the system.
  std::chrono::milliseconds age{0};
  // Grows with each submission of the job to another scheduler; the runs of
  // its tasks are numbered above all earlier ones.
  std::uint32_t generation = 0;
  // Highest fencing token of the schedulers that had the job before.
  std::uint64_t former_fence = 0;
  // Ids of the workers that the former schedulers may have used; empty for a
  // first submission.
  std::vector<std::string> former_workers;
};

// Returns a time that the job surely needs: half of its longest chain of
// estimates, since declared run times may be twice the true ones. Thread-safe.
std::chrono::milliseconds ShortestRunTime(const StepJob& job);

// Returns the sum of the estimates along the longest chain of steps.
// Precondition: steps name only earlier ones in `after`. Thread-safe.
std::chrono::milliseconds CriticalPathTime(const StepJob& job);

enum class StepJobOutcome {
  kCompleted,  // All tasks have ended as done.
  kFailed,     // A task has used up its attempts.
  kRefused,    // No task was started, and none will be.
  kMoved,      // This daemon does not schedule; submit elsewhere.
  kExpired,    // The caller's time has passed.
  kCancelled,
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
