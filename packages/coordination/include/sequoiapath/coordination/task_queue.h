// Defines TaskQueue, the queue of tasks that wait for a free worker slot, with
// preference by priority and fair shares by team.

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

struct PlacementQueue;

struct QueuedGroup {
  TaskGroup group;
  std::uint32_t next_index = 0;        // First task never taken.
  std::deque<std::uint32_t> requeued;  // Taken, not run and put back.
  std::string placement_key;
  // Place in the queue; null while no task waits.
  PlacementQueue* queue = nullptr;
  // The team's count of started tasks at the submission, plus the job's tasks
  // times kPassingFactor.
  std::uint64_t deadline_in_starts = 0;
};

// Jobs of one team and placement: if the first cannot run, none can.
// A job is passed only by jobs that were submitted before its team started this
// many times its number of tasks. With 1, single tasks at 95% load waited 8.9
// times the ideal time; 10 was as good as 30. See docs/placement.md.
constexpr std::uint64_t kPassingFactor = 10;

// Served by `due`: a small job passes large ones for a bounded time.
struct PlacementQueue {
  std::string key;
  std::map<std::pair<std::uint64_t, JobId>, QueuedGroup*> jobs;
};

// Start-time fair queueing: a team's next task starts at virtual time `start`,
// and each task moves it on by 1 / weight.
struct TeamQueue {
  std::string team;
  double start_tag = 0;
  std::uint64_t started = 0;             // Tasks taken so far.
  std::list<PlacementQueue> placements;  // With waiting jobs only.
  std::unordered_map<std::string, std::list<PlacementQueue>::iterator> by_key;
};

struct PriorityQueue {
  std::unordered_map<std::string, TeamQueue> teams;
  std::set<std::pair<double, TeamQueue*>> waiting;  // By start.
  double virtual_time = 0;
  double credit = 0;  // One task of this class goes first at 1.
};

// Not copyable, because queues point to each other.
struct TaskQueue {
  TaskQueue() = default;
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  std::array<PriorityQueue, kPriorityCount> classes;
  std::unordered_map<JobId, QueuedGroup> jobs;
  std::size_t waiting = 0;  // Number of waiting tasks.
};

// The least share of task starts that a class gets while it has work and more
// urgent classes do, too. Urgent needs none.
constexpr std::array<double, kPriorityCount> kMinimumShare = {0, 0.1, 0.05};

// Thread safety of all functions: one thread at a time.

// Adds the tasks 0 to task_count - 1 of a new job.
void EnqueueGroup(TaskQueue* queue, TaskGroup group);

// Puts back a task that was taken and surely did not run.
// Precondition: its job has not been removed.
void RequeueTask(TaskQueue* queue, QueuedTask task);

// Drops all waiting tasks of a job at once, without a visit to each: the cost
// is logarithmic in the jobs of its team and placement. The job may be unknown.
void RemoveGroup(TaskQueue* queue, JobId job);

// Takes the next task whose placement `acquire` accepts. `acquire` must take
// the resources when it accepts; it is called at most once for each team and
// placement of a priority, however many jobs wait. With `team_allowed`, which
// says whether a team has quota left, a refusal by `acquire` counts for the
// placement in all teams. Placements of one team take turns.
std::optional<QueuedTask> DequeueTask(
    TaskQueue* queue, const std::function<bool(const TaskGroup&)>& acquire,
    const std::function<bool(const std::string& team)>& team_allowed = {});

// Waiting tasks of one team and placement.
struct WaitingDemand {
  std::string team;
  Placement placement;
  std::size_t tasks = 0;
};

// Returns the waiting tasks by priority, team and placement, most urgent first:
// at most `max_demands` entries, each counted up to `max_tasks`, so the cost is
// bounded however many jobs wait.
std::vector<WaitingDemand> ListWaiting(const TaskQueue& queue,
                                       std::size_t max_demands,
                                       std::size_t max_tasks);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_TASK_QUEUE_H_
