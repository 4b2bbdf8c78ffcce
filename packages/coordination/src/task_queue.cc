#include "sequoiapath/coordination/task_queue.h"

#include <iterator>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

bool HasWaiting(const QueuedGroup& queued) {
  return !queued.returned.empty() ||
         queued.next_index < queued.group.task_count;
}

std::size_t WaitingIn(const QueuedGroup& queued) {
  return queued.returned.size() + (queued.group.task_count - queued.next_index);
}

std::uint32_t TakeIndex(QueuedGroup* queued) {
  if (queued->returned.empty()) return queued->next_index++;
  const std::uint32_t index = queued->returned.front();
  queued->returned.pop_front();
  return index;
}

}  // namespace
}  // namespace internal

void EnqueueGroup(TaskQueue* queue, TaskGroup group) {
  queue->waiting += group.task_count;
  const JobId job = group.job;
  auto& groups = queue->classes[static_cast<std::size_t>(group.priority)];
  groups.push_back({std::move(group), 0, {}});
  queue->by_job[job] = std::prev(groups.end());
}

void ReturnTask(TaskQueue* queue, QueuedTask task) {
  queue->by_job.at(task.job)->returned.push_back(task.index);
  ++queue->waiting;
}

void RemoveGroup(TaskQueue* queue, JobId job) {
  const auto it = queue->by_job.find(job);
  if (it == queue->by_job.end()) return;
  const auto group = it->second;
  queue->waiting -= internal::WaitingIn(*group);
  queue->classes[static_cast<std::size_t>(group->group.priority)].erase(group);
  queue->by_job.erase(it);
}

std::optional<QueuedTask> TakeNext(
    TaskQueue* queue, const std::function<bool(const TaskGroup&)>& acquire) {
  for (auto& groups : queue->classes) {
    for (QueuedGroup& queued : groups) {
      if (!internal::HasWaiting(queued) || !acquire(queued.group)) continue;
      --queue->waiting;
      return QueuedTask{queued.group.job, internal::TakeIndex(&queued)};
    }
  }
  return std::nullopt;
}

}  // namespace sequoiapath
