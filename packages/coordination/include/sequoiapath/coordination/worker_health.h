// Defines WorkerHealth, which compares each worker's recent failures with those
// of its peers and says which workers may get a task.

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
  // A worker is judged by the tasks of the current and the previous window.
  Duration window = std::chrono::seconds(10);
  std::uint32_t min_samples = 5;  // Of a worker that is judged.
  std::size_t min_peers = 2;      // With enough samples to compare with.
  // An outlier's failure ratio is at least `min_ratio` and exceeds the median
  // of its peers by `min_excess` and by three standard errors.
  double min_ratio = 0.5;
  double min_excess = 0.3;
  double max_ejected_share = 0.2;  // Of the workers in use.
  Duration first_ejection = std::chrono::seconds(5);
  Duration longest_ejection = std::chrono::minutes(5);
  // After a failed connect or a refusal.
  Duration first_avoidance = std::chrono::milliseconds(50);
  Duration longest_avoidance = std::chrono::seconds(5);
  // How long a worker that said it is leaving gets no task. Its entry in the
  // configuration outlasts a restart of the worker.
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
  // Every worker that this VM has used and that is still configured.
  std::unordered_map<std::string, WorkerRecord> workers;
};

// What became of a task, as far as it says something about its worker.
enum class TaskEnd {
  kSucceeded,
  kFailed,        // Failed, or gave no answer in time.
  kNotStarted,    // The connect failed or the worker refused.
  kInconclusive,  // Ended for a reason that lies elsewhere, such as a cancel.
};

// Says whether the worker may get a task now. An ejected worker may get a
// single task of an idempotent service once its trial is due. Thread safety of
// all functions here: one thread at a time.
bool IsEligible(const WorkerHealth& health, const std::string& worker,
                bool idempotent, TimePoint now);

// Records that a task was bound to the worker. Precondition: IsEligible.
// Returns true if it is the trial of an ejected worker.
bool RecordTaskSent(WorkerHealth* health, const std::string& worker);

// Records the end of a task; `trial` is what RecordTaskSent returned for it.
// Ejects the worker if it has become an outlier, or readmits it.
void RecordTaskEnd(WorkerHealth* health, const std::string& worker, TaskEnd end,
                   bool trial, TimePoint now);

// Records that the worker said that it is leaving.
void RecordLeaving(WorkerHealth* health, const std::string& worker,
                   TimePoint now);

// Says whether the worker fails tasks in a row while its peers do not, or
// nothing is known of them. Such a worker keeps the slots of a failed task for
// the usual run time, so that failing quickly does not attract more tasks.
bool FailsMoreThanPeers(const WorkerHealth& health, const std::string& worker);

// Returns the earliest time after `now` at which a worker becomes eligible, if
// a time is set for any.
std::optional<TimePoint> NextEligibility(const WorkerHealth& health,
                                         TimePoint now);

// Forgets a worker that is no longer configured or was replaced.
void ForgetWorker(WorkerHealth* health, const std::string& worker);

// Returns the number of workers that are ejected now.
std::size_t EjectedWorkers(const WorkerHealth& health);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_WORKER_HEALTH_H_
