// Defines WorkerHealth, which compares the recent failures of each worker with
// those of the other workers and decides which workers may receive tasks.

#ifndef SEQUOIAPATH_COORDINATION_WORKER_HEALTH_H_
#define SEQUOIAPATH_COORDINATION_WORKER_HEALTH_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct WorkerHealthLimits {
  // Statistics cover the tasks that ended in the current and previous window.
  Duration window = std::chrono::seconds(10);
  // Tasks that a worker must have ended before its failure ratio is used.
  std::uint32_t min_samples = 5;
  // Other workers with `min_samples` that a comparison needs.
  std::size_t min_peers = 2;
  // An outlier's failure ratio is at least `min_ratio` and exceeds the median
  // of its peers by more than `min_excess` and three standard errors.
  double min_ratio = 0.5;
  double min_excess = 0.3;
  double max_ejected_share = 0.2;  // Fraction of the workers in use.
  Duration first_ejection = std::chrono::seconds(5);
  Duration longest_ejection = std::chrono::minutes(5);
  // How long a worker receives no task after a failed connection attempt or a
  // refused task.
  Duration first_avoidance = std::chrono::milliseconds(50);
  Duration longest_avoidance = std::chrono::seconds(5);
  // How long a worker receives no task after it announced that it is leaving.
  // Its entry in the configuration remains while the worker restarts.
  Duration leaving_avoidance = std::chrono::minutes(15);
};

struct TaskCounts {
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
};

struct WorkerRecord {
  std::array<TaskCounts, 2> windows;  // The current and the previous one.
  TimePoint window_start;
  std::uint32_t failures_in_row = 0;
  std::uint32_t not_started_in_row = 0;
  std::uint32_t ejections_in_row = 0;
  bool ejected = false;
  bool trial_running = false;  // Set only while `ejected`.
  TimePoint next_trial;        // Set while `ejected`.
  TimePoint avoid_until;
  TimePoint leaving_until;
};

struct WorkerHealth {
  WorkerHealthLimits limits;
  // The workers that this VM has used and that are still configured.
  std::unordered_map<std::string, WorkerRecord> workers;
};

// The end of a task, classified by what it shows about the worker.
enum class TaskEnd {
  kSucceeded,
  kFailed,        // The task failed or did not answer in time.
  kNotStarted,    // The connection attempt failed or the worker refused it.
  kInconclusive,  // The cause lies outside the worker, such as a cancel.
};

// None of the functions below is thread-safe: calls must not overlap.

// Returns whether the worker may receive a task now. An ejected worker may
// receive one task of an idempotent service, its trial, once the trial is due.
bool IsEligible(const WorkerHealth& health, const std::string& worker,
                bool idempotent, TimePoint now);

// Records that a task was assigned to the worker. Precondition: IsEligible.
// Returns true if the task is the trial of an ejected worker.
bool RecordTaskSent(WorkerHealth* health, const std::string& worker);

// Records the end of a task. `trial` is the result of RecordTaskSent for that
// task. Ejects a worker that has become an outlier, and readmits an ejected
// worker whose trial succeeded.
void RecordTaskEnd(WorkerHealth* health, const std::string& worker, TaskEnd end,
                   bool trial, TimePoint now);

// Records that the worker announced that it is leaving.
void RecordLeaving(WorkerHealth* health, const std::string& worker,
                   TimePoint now);

// Returns whether the worker's latest tasks failed in a row while the median
// failure ratio of its peers is below `min_ratio` or unknown. The slots of a
// failed task on such a worker stay occupied for the usual run time, so that a
// worker that fails quickly does not attract more tasks.
bool FailsMoreThanPeers(const WorkerHealth& health, const std::string& worker);

// Returns the earliest time after `now` at which a worker becomes eligible;
// nothing if no worker is waiting for such a time.
std::optional<TimePoint> NextEligibility(const WorkerHealth& health,
                                         TimePoint now);

// Removes the record of a worker that is no longer configured or was replaced.
void ForgetWorker(WorkerHealth* health, const std::string& worker);

// Returns the number of workers that are ejected now.
std::size_t EjectedWorkers(const WorkerHealth& health);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_WORKER_HEALTH_H_
