#include "sequoiapath/coordination/task_queue.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

using Acquire = std::function<bool(const TaskGroup&)>;
using TeamAllowed = std::function<bool(const std::string&)>;

// Keys of the placements that were refused during one call of DequeueTask.
struct Refusals {
  std::unordered_set<std::string> placements;
};

std::size_t CountWaiting(const QueuedGroup& queued) {
  return queued.requeued.size() + (queued.group.task_count - queued.next_index);
}

std::uint32_t DequeueIndex(QueuedGroup* queued) {
  if (queued->requeued.empty()) return queued->next_index++;
  const std::uint32_t index = queued->requeued.front();
  queued->requeued.pop_front();
  return index;
}

std::string PlacementKey(const Placement& placement) {
  return fmt::format("{}|{}|{}|{}", placement.demand.cores,
                     placement.demand.memory_mb, placement.demand.accelerators,
                     fmt::join(placement.places, ","));
}

PriorityQueue* PriorityQueueOf(TaskQueue* queue, const QueuedGroup& queued) {
  return &queue->classes[static_cast<std::size_t>(queued.group.priority)];
}

void Link(TaskQueue* queue, QueuedGroup* queued) {
  PriorityQueue* priority = PriorityQueueOf(queue, *queued);
  TeamQueue& team = priority->teams[queued->group.team];
  if (team.placements.empty()) {
    team.team = queued->group.team;
    team.start_tag = std::max(team.start_tag, priority->virtual_time);
    priority->waiting.insert({team.start_tag, &team});
  }
  auto [it, added] = team.by_key.try_emplace(queued->placement_key);
  if (added) {
    team.placements.push_back({queued->placement_key, {}});
    it->second = std::prev(team.placements.end());
  }
  queued->queue = &*it->second;
  if (queued->deadline_in_starts == 0) {
    queued->deadline_in_starts =
        team.started + kPassingFactor * queued->group.task_count;
  }
  queued->queue->jobs[{queued->deadline_in_starts, queued->group.job}] = queued;
}

void Unlink(TaskQueue* queue, QueuedGroup* queued) {
  PriorityQueue* priority = PriorityQueueOf(queue, *queued);
  TeamQueue& team = priority->teams.at(queued->group.team);
  queued->queue->jobs.erase({queued->deadline_in_starts, queued->group.job});
  if (queued->queue->jobs.empty()) {
    const auto it = team.by_key.find(queued->placement_key);
    team.placements.erase(it->second);
    team.by_key.erase(it);
  }
  queued->queue = nullptr;
  if (team.placements.empty()) priority->waiting.erase({team.start_tag, &team});
}

// Records the start of a task: increases the team's start tag and moves the
// placement of the task to the end of the team's list.
void RecordStart(PriorityQueue* priority, TeamQueue* team,
                 QueuedGroup* queued) {
  priority->waiting.erase({team->start_tag, team});
  // The start tag is at least the virtual time, so that a team whose tasks
  // could not start for a while gets no burst of starts afterwards.
  const double start = std::max(team->start_tag, priority->virtual_time);
  priority->virtual_time = start;
  team->start_tag = start + 1 / std::max(queued->group.weight, 1e-6);
  priority->waiting.insert({team->start_tag, team});
  ++team->started;
  const auto placement = team->by_key.at(queued->placement_key);
  team->placements.splice(team->placements.end(), team->placements, placement);
}

QueuedTask DequeueFrom(TaskQueue* queue, PriorityQueue* priority,
                       TeamQueue* team, QueuedGroup* queued) {
  RecordStart(priority, team, queued);
  --queue->waiting;
  const QueuedTask task{queued->group.job, DequeueIndex(queued)};
  if (CountWaiting(*queued) == 0) Unlink(queue, queued);
  return task;
}

// Returns a job of the team for which `acquire` returned true, or null.
QueuedGroup* AcquireInTeam(TeamQueue* team, const Acquire& acquire,
                           const TeamAllowed& team_allowed,
                           Refusals* refusals) {
  bool checked = false;
  for (PlacementQueue& placement : team->placements) {
    if (refusals->placements.contains(placement.key)) continue;
    if (!checked && team_allowed && !team_allowed(team->team)) return nullptr;
    checked = true;
    QueuedGroup* first = placement.jobs.begin()->second;
    if (acquire(first->group)) return first;
    if (team_allowed) refusals->placements.insert(placement.key);
  }
  return nullptr;
}

std::optional<QueuedTask> DequeueFromPriority(TaskQueue* queue,
                                              PriorityQueue* priority,
                                              const Acquire& acquire,
                                              const TeamAllowed& team_allowed,
                                              Refusals* refusals) {
  for (const auto& [start_tag, team] : priority->waiting) {
    QueuedGroup* queued = AcquireInTeam(team, acquire, team_allowed, refusals);
    if (queued != nullptr) return DequeueFrom(queue, priority, team, queued);
  }
  return std::nullopt;
}

// Adds to each priority with waiting tasks its minimum share of one start, and
// subtracts the start from the priority `served`.
void UpdateCredits(TaskQueue* queue, std::size_t served) {
  // The credit is bounded, so that a priority whose tasks could not start for a
  // while gets no burst of starts. The bound is above 1, so that a priority
  // with a full credit loses none while another one with a full credit is
  // served.
  constexpr double kMaxCredit = 2;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    PriorityQueue& priority = queue->classes[i];
    const double credit = priority.credit + kMinimumShare[i];
    priority.credit =
        priority.waiting.empty() ? 0 : std::min(kMaxCredit, credit);
  }
  PriorityQueue& charged = queue->classes[served];
  charged.credit = std::max(0.0, charged.credit - 1);
}

// Returns the priorities in the order of service: those with a full credit
// first, and the most urgent first among those with and without.
std::array<std::size_t, kPriorityCount> ServiceOrder(const TaskQueue& queue) {
  std::array<std::size_t, kPriorityCount> order{};
  for (std::size_t i = 0; i < kPriorityCount; ++i) order[i] = i;
  // The floating-point sum of twenty shares of 0.05 is slightly below 1.
  constexpr double kFullCredit = 1 - 1e-9;
  std::stable_partition(order.begin(), order.end(), [&queue](std::size_t i) {
    return queue.classes[i].credit >= kFullCredit;
  });
  return order;
}

}  // namespace
}  // namespace internal

void EnqueueGroup(TaskQueue* queue, TaskGroup group) {
  const JobId job = group.job;
  const auto [it, added] = queue->jobs.try_emplace(job);
  SEQUOIAPATH_ASSERT(added, "job {} is already in the queue", job);
  QueuedGroup& queued = it->second;
  queued.group = std::move(group);
  queued.placement_key = internal::PlacementKey(queued.group.placement);
  queue->waiting += queued.group.task_count;
  if (queued.group.task_count > 0) internal::Link(queue, &queued);
}

void RequeueTask(TaskQueue* queue, QueuedTask task) {
  QueuedGroup& queued = queue->jobs.at(task.job);
  queued.requeued.push_back(task.index);
  ++queue->waiting;
  if (queued.queue == nullptr) internal::Link(queue, &queued);
}

void RemoveGroup(TaskQueue* queue, JobId job) {
  const auto it = queue->jobs.find(job);
  if (it == queue->jobs.end()) return;
  queue->waiting -= internal::CountWaiting(it->second);
  if (it->second.queue != nullptr) internal::Unlink(queue, &it->second);
  queue->jobs.erase(it);
}

std::optional<QueuedTask> DequeueTask(
    TaskQueue* queue, const std::function<bool(const TaskGroup&)>& acquire,
    const std::function<bool(const std::string& team)>& team_allowed) {
  internal::Refusals refusals;
  for (const std::size_t i : internal::ServiceOrder(*queue)) {
    const auto task = internal::DequeueFromPriority(
        queue, &queue->classes[i], acquire, team_allowed, &refusals);
    if (!task) continue;
    internal::UpdateCredits(queue, i);
    return task;
  }
  return std::nullopt;
}

std::vector<WaitingDemand> ListWaiting(const TaskQueue& queue,
                                       std::size_t max_demands,
                                       std::size_t max_tasks) {
  std::vector<WaitingDemand> demands;
  for (const PriorityQueue& priority : queue.classes) {
    for (const auto& [start_tag, team] : priority.waiting) {
      for (const PlacementQueue& placement : team->placements) {
        if (demands.size() == max_demands) return demands;
        WaitingDemand demand{team->team, {}, 0};
        for (const auto& [deadline, group] : placement.jobs) {
          demand.placement = group->group.placement;
          demand.tasks += group->group.task_count - group->next_index +
                          group->requeued.size();
          if (demand.tasks >= max_tasks) break;
        }
        if (demand.tasks > 0) demands.push_back(std::move(demand));
      }
    }
  }
  return demands;
}

}  // namespace sequoiapath
