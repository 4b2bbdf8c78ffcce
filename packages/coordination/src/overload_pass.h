// Defines the pass of the scheduler that applies its overload policy to the
// queued jobs.

#ifndef SEQUOIAPATH_COORDINATION_OVERLOAD_PASS_H_
#define SEQUOIAPATH_COORDINATION_OVERLOAD_PASS_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// What the policy has decided. The pointers are valid until the jobs change.
struct OverloadDecisions {
  // Jobs in time to be put behind those that can meet their objectives.
  std::vector<ScheduledJob*> delayed;
  // Jobs of which nothing was started and that cannot end before their callers
  // stop waiting.
  std::vector<ScheduledJob*> hopeless;
  // When the queue is expected to be empty.
  std::chrono::milliseconds retry_after{0};
};

// Returns the service and priority of a job, which the policy calls its kind.
std::pair<std::string, int> KindOf(const StepJob& job);

// Returns the work of all tasks of a job; at least one unit.
Work TotalWork(const StepJob& job);

// Decides which queued jobs to delay or to refuse. Precondition: the policy is
// enabled.
OverloadDecisions DecideOverload(TaskScheduler* scheduler, TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_OVERLOAD_PASS_H_
