#include "daemon_confirmations.h"

#include <algorithm>
#include <string>

namespace sequoiapath::internal {
namespace {

// Returns when the daemon was last confirmed; `now` without a daemon.
TimePoint ConfirmationOf(const TaskScheduler& scheduler,
                         const std::string& origin, TimePoint now) {
  if (origin.empty()) return now;
  const auto found = scheduler.confirmations.find(origin);
  return found == scheduler.confirmations.end() ? TimePoint{} : found->second;
}

// Returns the oldest confirmation among the daemons whose jobs run on the
// worker; `now` if there is none.
TimePoint OldestConfirmation(const TaskScheduler& scheduler,
                             const WorkerRuns& worker, TimePoint now) {
  TimePoint oldest = now;
  for (const auto& [task, run] : worker.runs) {
    // A run whose job has been cancelled may go on until its stop arrives, so
    // the daemon that the run was started for counts.
    const auto job = scheduler.jobs.find(task.job);
    const std::string& origin =
        job == scheduler.jobs.end() ? run.origin : job->second.origin;
    oldest = std::min(oldest, ConfirmationOf(scheduler, origin, now));
  }
  return oldest;
}

}  // namespace

bool IsDaemonConfirmed(const TaskScheduler& scheduler, const ScheduledJob& job,
                       TimePoint now) {
  return now - ConfirmationOf(scheduler, job.origin, now) <=
         scheduler.times.daemon_timeout;
}

WorkerTime ConfirmedLeaseEnd(const TaskScheduler& scheduler,
                             const WorkerRuns& worker,
                             const ScheduledJob* starting, TimePoint now) {
  const WorkerTime usual = NextLeaseEnd(worker, scheduler.times.lease, now);
  if (!worker.clock_known) return usual;
  TimePoint oldest = OldestConfirmation(scheduler, worker, now);
  if (starting != nullptr) {
    oldest = std::min(oldest, ConfirmationOf(scheduler, starting->origin, now));
  }
  const WorkerTime limit =
      EstimateClock(worker, oldest + scheduler.times.confirmed_lease);
  return std::clamp(limit, WorkerTime(0), usual);
}

}  // namespace sequoiapath::internal
