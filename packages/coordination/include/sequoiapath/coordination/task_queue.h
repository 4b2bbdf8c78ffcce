// Defines TaskQueue, the queue of tasks that wait for a free worker slot. It
// orders tasks by priority and shares starts fairly between teams.

#ifndef SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_
#define SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/protocol/job.h"

namespace sequoiapath {

// Identifies a job within one process.
using JobId = std::uint64_t;

// The tasks of one job, with the properties that determine their order.
struct TaskGroup {
  JobId job = 0;
  std::string team;
  double weight = 1;  // The team's share of task starts is proportional to it.
  Priority priority = Priority::kNormal;
  Placement placement;
  std::uint32_t task_count = 0;
};

struct QueuedTask {
  JobId job = 0;
  std::uint32_t index = 0;  // Position in the job's submission.
};

struct PlacementQueue;

// A job in the queue, with the state of its tasks.
struct QueuedGroup {
  TaskGroup group;
  std::uint32_t next_index = 0;        // First task that was never dequeued.
  std::deque<std::uint32_t> requeued;  // Tasks that RequeueTask added again.
  std::string placement_key;
  // The queue that contains the group; null while no task of it waits.
  PlacementQueue* queue = nullptr;
  // The order of jobs in a PlacementQueue: the number of tasks that the team
  // had started when the job was submitted, plus kPassingFactor times the
  // number of the job's tasks. Zero until the group is first added to a queue.
  std::uint64_t deadline_in_starts = 0;
};

// Bounds how long smaller jobs of a team overtake a larger one. A job with n
// tasks is overtaken only by jobs that are submitted before its team has
// started n * kPassingFactor tasks since the submission of the job. With a
// factor of 1, single tasks at 95% load waited 8.9 times the ideal time; 10 was
// as good as 30. See docs/placement.md.
constexpr std::uint64_t kPassingFactor = 10;

// Waiting jobs of one team and placement, by `deadline_in_starts` and then by
// job. All need the same resources: if the first cannot run, none can.
struct PlacementQueue {
  std::string key;
  std::map<std::pair<std::uint64_t, JobId>, QueuedGroup*> jobs;
};

// The waiting jobs of one team and priority. Teams are served by start-time
// fair queueing: the team with the smallest start tag is next, and each task
// that it starts increases its tag by 1 / weight.
struct TeamQueue {
  std::string team;
  double start_tag = 0;       // In virtual time.
  std::uint64_t started = 0;  // Number of tasks dequeued so far.
  // Placements with waiting jobs, the least recently served first.
  std::list<PlacementQueue> placements;
  // The entries of `placements` by placement key.
  std::unordered_map<std::string, std::list<PlacementQueue>::iterator> by_key;
};

// The waiting jobs of one priority.
struct PriorityQueue {
  std::unordered_map<std::string, TeamQueue> teams;
  // Teams with waiting jobs, by start tag.
  std::set<std::pair<double, TeamQueue*>> waiting;
  double virtual_time = 0;  // The start tag of the last dequeued task.
  // Number of task starts that are due to this priority under its minimum
  // share. From 1 on, its next task precedes those of more urgent priorities.
  double credit = 0;
};

// Not copyable, because its members contain pointers to each other.
struct TaskQueue {
  TaskQueue() = default;
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  std::array<PriorityQueue, kPriorityCount> classes;  // By priority.
  std::unordered_map<JobId, QueuedGroup> jobs;
  std::size_t waiting = 0;  // Number of waiting tasks.
};

// The minimum share of task starts that each priority gets while it has waiting
// tasks and a more urgent priority has waiting tasks, too. Zero for kUrgent,
// which precedes the others.
constexpr std::array<double, kPriorityCount> kMinimumShare = {0, 0.1, 0.05};

// Thread safety of all functions: one thread at a time.

// Adds the tasks 0 to task_count - 1 of a new job. Precondition: the job is not
// in the queue.
void EnqueueGroup(TaskQueue* queue, TaskGroup group);

// Adds a task again that was dequeued and is known not to have run.
// Precondition: its job has not been removed.
void RequeueTask(TaskQueue* queue, QueuedTask task);

// Removes a job with all its waiting tasks, without a visit to each task: the
// cost is logarithmic in the number of jobs of its team and placement. Has no
// effect if the job is unknown.
void RemoveGroup(TaskQueue* queue, JobId job);

// Removes and returns the next task for which `acquire` returns true, or
// nothing. If `acquire` returns true, it must have acquired the resources for
// one task of the group. It is called at most once for each team and placement
// of a priority, however many jobs wait. `team_allowed` says whether a team has
// quota left and is asked before `acquire`. If it is given, a placement that
// `acquire` refused is not tried again for other teams and priorities. The
// placements of one team are served in rotation.
std::optional<QueuedTask> DequeueTask(
    TaskQueue* queue, const std::function<bool(const TaskGroup&)>& acquire,
    const std::function<bool(const std::string& team)>& team_allowed = {});

// Number of waiting tasks of one team and placement.
struct WaitingDemand {
  std::string team;
  Placement placement;
  std::size_t tasks = 0;
};

// Returns the waiting tasks by priority, team and placement, most urgent first.
// There are at most `max_demands` entries, and the count of an entry ends with
// the job that reaches `max_tasks`, so the cost is bounded however many jobs
// wait.
std::vector<WaitingDemand> ListWaiting(const TaskQueue& queue,
                                       std::size_t max_demands,
                                       std::size_t max_tasks);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_
