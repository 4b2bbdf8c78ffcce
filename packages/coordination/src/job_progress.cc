#include "job_progress.h"

#include <algorithm>
#include <vector>

namespace sequoiapath::internal {

using std::chrono::milliseconds;

bool IsReady(const ScheduledJob& job, std::size_t step) {
  const auto& after = job.job.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    return job.steps[earlier].unfinished == 0;
  });
}

milliseconds RemainingCriticalPath(const ScheduledJob& job) {
  std::vector<milliseconds> path_length(job.steps.size());
  milliseconds longest(0);
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    milliseconds before(0);
    for (const std::uint32_t earlier : job.job.steps[s].after) {
      before = std::max(before, path_length[earlier]);
    }
    path_length[s] = before;
    if (job.steps[s].waiting > 0) path_length[s] += job.job.steps[s].estimate;
    longest = std::max(longest, path_length[s]);
  }
  return longest;
}

std::size_t StartOrderBytes(const TaskScheduler& scheduler,
                            const ScheduledJob& job) {
  return scheduler.link.sizes.start_without_spec + job.job.spec.size();
}

std::size_t WaitingOrderBytes(const TaskScheduler& scheduler,
                              const ScheduledJob& job) {
  std::size_t tasks = 0;
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    if (IsReady(job, s)) tasks += job.steps[s].waiting;
  }
  return tasks * StartOrderBytes(scheduler, job);
}

}  // namespace sequoiapath::internal
