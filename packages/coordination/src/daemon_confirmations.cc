#include "daemon_confirmations.h"

#include <algorithm>
#include <string>

namespace sequoiapath::internal {
namespace {

// Returns when the job's daemon was last confirmed; `now` for a job without a
// daemon.
TimePoint ConfirmationOf(const TaskScheduler& scheduler,
                         const ScheduledJob& job, TimePoint now) {
  if (job.origin.empty()) return now;
  const auto found = scheduler.confirmations.find(job.origin);
  return found == scheduler.confirmations.end() ? TimePoint{} : found->second;
}

// Returns the oldest confirmation among the daemons whose jobs run on the
// worker; `now` if there is none.
TimePoint OldestConfirmation(const TaskScheduler& scheduler,
                             const WorkerRuns& worker, TimePoint now) {
  TimePoint oldest = now;
  for (const auto& [task, run] : worker.runs) {
    const auto job = scheduler.jobs.find(task.job);
    if (job == scheduler.jobs.end()) continue;
    oldest = std::min(oldest, ConfirmationOf(scheduler, job->second, now));
  }
  return oldest;
}

}  // namespace

bool IsDaemonConfirmed(const TaskScheduler& scheduler, const ScheduledJob& job,
                       TimePoint now) {
  return now - ConfirmationOf(scheduler, job, now) <=
         scheduler.times.daemon_timeout;
}

WorkerTime ConfirmedLeaseEnd(const TaskScheduler& scheduler,
                             const WorkerRuns& worker,
                             const ScheduledJob* starting, TimePoint now) {
  const WorkerTime usual = NextLeaseEnd(worker, scheduler.times.lease, now);
  if (!worker.clock_known) return usual;
  TimePoint oldest = OldestConfirmation(scheduler, worker, now);
  if (starting != nullptr) {
    oldest = std::min(oldest, ConfirmationOf(scheduler, *starting, now));
  }
  const WorkerTime limit =
      EstimateClock(worker, oldest + scheduler.times.confirmed_lease);
  return std::clamp(limit, WorkerTime(0), usual);
}

}  // namespace sequoiapath::internal
