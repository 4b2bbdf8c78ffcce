#include "scheduler_log.h"

#include <fmt/format.h>

#include <utility>

namespace sequoiapath::internal {

void LogEvent(TaskScheduler* scheduler, const char* event, std::string worker,
              std::string job, std::string detail) {
  scheduler->actions.push_back(SchedulerLogEntry{
      event, std::move(worker), std::move(job), std::move(detail)});
}

std::string Describe(const TaskName& task, std::uint32_t run) {
  return fmt::format("task={}.{} run={}", task.step, task.index, run);
}

}  // namespace sequoiapath::internal
