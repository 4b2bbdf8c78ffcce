// Defines admission control: a job that is not expected to end by its deadline,
// or that exceeds the bounds on waiting tasks, is refused before any of its
// tasks starts.

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

// Numbers of tasks that wait for a worker.
struct WaitingWork {
  // By priority and then by service.
  std::array<std::map<std::string, std::size_t>, kPriorityCount> by_service;
  std::map<std::string, std::size_t> by_team;
  std::size_t total = 0;
};

// Add or remove waiting tasks. Precondition of removal: the tasks were added.
// Thread safety of all functions here: one thread at a time.
void AddWaiting(WaitingWork* work, Priority priority,
                const std::string& service, const std::string& team,
                std::size_t tasks);
void RemoveWaiting(WaitingWork* work, Priority priority,
                   const std::string& service, const std::string& team,
                   std::size_t tasks);

// Upper bounds on the number of waiting tasks, including those of a new job.
struct AdmissionLimits {
  std::size_t max_waiting_tasks = 100'000;
  std::size_t max_waiting_tasks_per_team = 50'000;
};

// A submitted job, and the load of this VM at its submission.
struct AdmissionRequest {
  std::string service;
  std::string team;
  Priority priority = Priority::kNormal;
  std::size_t tasks = 0;
  Duration deadline{0};  // Time from now until the job's deadline.
  // Number of this VM's tasks that are running now.
  std::size_t slots_in_use = 0;
  // Whether tasks wait because no worker is free. Only then is `slots_in_use`
  // the capacity of this VM.
  bool saturated = false;
};

// Returns the expected time until a job's first task starts: the estimated run
// time of the waiting tasks of the same or a more urgent priority, divided by
// the number of slots in use. Returns nothing if `request.saturated` is false
// or no slot is in use, because the capacity of this VM is then unknown.
std::optional<Duration> ExpectedWait(const WaitingWork& work,
                                     const RunTimeEstimates& estimates,
                                     const AdmissionRequest& request);

// Returns nothing if the job is admitted. Otherwise returns the failure for the
// caller, with the time after which the caller may retry.
std::optional<Failure> DecideAdmission(const AdmissionLimits& limits,
                                       const WaitingWork& work,
                                       const RunTimeEstimates& estimates,
                                       const AdmissionRequest& request);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_ADMISSION_H_
