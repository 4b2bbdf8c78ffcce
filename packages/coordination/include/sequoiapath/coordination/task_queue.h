// Defines TaskQueue, the bounded queue of tasks that wait for a free worker
// slot.

#ifndef SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_
#define SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/protocol/job.h"

namespace sequoiapath {

// Identifies a job within one process.
using JobId = std::uint64_t;

// All waiting tasks of one job.
struct TaskGroup {
  JobId job = 0;
  std::string team;
  double weight = 1;  // The team's weight.
  Priority priority = Priority::kNormal;
  Placement placement;
  std::uint32_t task_count = 0;
};

struct QueuedTask {
  JobId job = 0;
  std::uint32_t index = 0;  // Position in the submission.
};

struct QueuedGroup {
  TaskGroup group;
  std::uint32_t next_index = 0;        // First task never taken.
  std::deque<std::uint32_t> returned;  // Taken, not run and put back.
};

struct TaskQueue {
  std::array<std::list<QueuedGroup>, kPriorityCount> classes;
  std::unordered_map<JobId, std::list<QueuedGroup>::iterator> by_job;
  std::size_t waiting = 0;  // Number of waiting tasks.
};

// Adds the tasks 0 to task_count - 1 of a new job.
void EnqueueGroup(TaskQueue* queue, TaskGroup group);

// Puts back a task that was taken and surely did not run.
// Precondition: its job has not been removed.
void ReturnTask(TaskQueue* queue, QueuedTask task);

// Drops all waiting tasks of a job in constant time. The job may be unknown.
void RemoveGroup(TaskQueue* queue, JobId job);

// Takes the next task whose placement `acquire` accepts. `acquire` is called at
// most once for each waiting job and must take the resources when it accepts.
std::optional<QueuedTask> TakeNext(
    TaskQueue* queue, const std::function<bool(const TaskGroup&)>& acquire);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_
