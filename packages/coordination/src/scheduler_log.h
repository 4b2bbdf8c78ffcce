// Declares the functions that queue the scheduler's log entries.

#ifndef SEQUOIAPATH_COORDINATION_SCHEDULER_LOG_H_
#define SEQUOIAPATH_COORDINATION_SCHEDULER_LOG_H_

#include <cstdint>
#include <string>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Queues a log entry as an action.
void LogEvent(TaskScheduler* scheduler, const char* event, std::string worker,
              std::string job, std::string detail);

// Returns the fields of a log entry that name a run of a task.
std::string Describe(const TaskName& task, std::uint32_t run);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_SCHEDULER_LOG_H_
