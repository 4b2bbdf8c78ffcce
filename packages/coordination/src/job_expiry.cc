#include "job_expiry.h"

#include "evacuated_workers.h"

namespace sequoiapath::internal {

bool MustEnd(const TaskScheduler& scheduler, const ScheduledJob& job,
             TimePoint now) {
  // A job with started tasks may be almost done, so it ends only once its
  // caller has stopped waiting.
  if (job.any_started) return now >= job.expires;
  return now + ShortestRunTime(job.job) >= job.expires ||
         CheckEvacuation(scheduler, job.job).has_value();
}

StepJobAnswer ExpiryAnswer(const TaskScheduler& scheduler,
                           const ScheduledJob& job) {
  constexpr std::chrono::milliseconds kNoDelay{0};
  if (job.any_started) {
    return {StepJobOutcome::kExpired, "deadline_exceeded", kNoDelay};
  }
  if (NeedsEvacuatedWorker(scheduler, job)) return EvacuatedAnswer();
  return {StepJobOutcome::kRefused, "overloaded", kNoDelay};
}

}  // namespace sequoiapath::internal
