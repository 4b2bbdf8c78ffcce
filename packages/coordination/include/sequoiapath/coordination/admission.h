// Defines the admission decision: a job that cannot end by its deadline is
// refused before any of its tasks starts.

#ifndef SEQUOIAPATH_COORDINATION_ADMISSION_H_
#define SEQUOIAPATH_COORDINATION_ADMISSION_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "sequoiapath/coordination/run_time_estimate.h"
#include "sequoiapath/protocol/job.h"

namespace sequoiapath {

// Counts the tasks that wait for a worker.
struct WaitingWork {
  // Number of waiting tasks of each service, by priority.
  std::array<std::map<std::string, std::size_t>, kPriorityCount> by_service;
  std::map<std::string, std::size_t> by_team;
  std::size_t total = 0;
};

// Add or remove waiting tasks. Precondition of removal: they were added.
// Thread safety of all functions here: one thread at a time.
void AddWaiting(WaitingWork* work, Priority priority,
                const std::string& service, const std::string& team,
                std::size_t tasks);
void RemoveWaiting(WaitingWork* work, Priority priority,
                   const std::string& service, const std::string& team,
                   std::size_t tasks);

struct AdmissionLimits {
  std::size_t max_waiting_tasks = 100'000;
  std::size_t max_waiting_tasks_per_team = 50'000;
};

// A job that asks to be admitted, and the load that it meets.
struct AdmissionRequest {
  std::string service;
  std::string team;
  Priority priority = Priority::kNormal;
  std::size_t tasks = 0;
  Duration deadline{0};  // Time that is left for the job.
  // Tasks of this VM that are running now.
  std::size_t slots_in_use = 0;
  // Whether tasks wait because no worker is free. If not, `slots_in_use` says
  // nothing about the capacity.
  bool saturated = false;
};

// Returns the expected time until a job's first task starts: the waiting work
// at its priority and above over the slots in use. Nothing if there is too
// little evidence.
std::optional<Duration> ExpectedWait(const WaitingWork& work,
                                     const RunTimeEstimates& estimates,
                                     const AdmissionRequest& request);

// Returns why the job is refused as not run, with a time after which a retry is
// useful; nothing if it is admitted.
std::optional<Failure> DecideAdmission(const AdmissionLimits& limits,
                                       const WaitingWork& work,
                                       const RunTimeEstimates& estimates,
                                       const AdmissionRequest& request);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_ADMISSION_H_
