#include "former_runs.h"

#include <fmt/format.h>

#include <optional>
#include <string>

#include "scheduler_log.h"

namespace sequoiapath::internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReportCheckInterval = milliseconds(20);

// Why a worker may have runs of a job that are not known.
struct MissingReport {
  std::string worker;
  const char* reason = "";
};

// Returns why the worker may have runs of the job that former schedulers
// started and that it has not reported; null if it has reported all of them.
// Only a report that was requested after the submission counts: a scheduler
// whose token a worker rejects may raise the token and use the worker again,
// which this scheduler notices with its next renewal.
const char* MissingReportReason(const WorkerRuns& worker,
                                const ScheduledJob& job) {
  if (worker.claim != ClaimState::kClaimed) return "not_claimed";
  if (worker.unanswered_renewals > 0) return "unreachable";
  return worker.report_sent_at >= job.submitted ? nullptr : "old_report";
}

// Returns the first report that is missing to know all runs of the job that
// former schedulers started; nothing if all of them are known.
std::optional<MissingReport> FindMissingReport(const TaskScheduler& scheduler,
                                               const ScheduledJob& job) {
  // A former scheduler may have used a worker that has registered only lately.
  if (scheduler.workers_listed_at < job.submitted) {
    return MissingReport{"", "old_worker_list"};
  }
  // The store entry of a partitioned worker lapses, and the worker is removed
  // here although it may still hold runs that the other side of the partition
  // started.
  for (const std::string& id : job.job.former_workers) {
    if (!scheduler.workers.contains(id)) return MissingReport{id, "unknown"};
  }
  for (const auto& [id, worker] : scheduler.workers) {
    const char* reason = MissingReportReason(worker, job);
    if (reason != nullptr) return MissingReport{id, reason};
  }
  return std::nullopt;
}

void LogEndOfWait(TaskScheduler* scheduler, const ScheduledJob& job,
                  const std::optional<MissingReport>& missing, TimePoint now) {
  const MissingReport first = missing.value_or(MissingReport{});
  LogEvent(
      scheduler, "former_runs_resolved", first.worker, job.job.id,
      fmt::format("basis={} missing={} waited_ms={} generation={} "
                  "former_fence={} former_workers={} workers={} list_age_ms={}",
                  missing ? "leases_ended" : "reports", first.reason,
                  (now - job.submitted) / milliseconds(1), job.job.generation,
                  job.job.former_fence, job.job.former_workers.size(),
                  scheduler->workers.size(),
                  (now - scheduler->workers_listed_at) / milliseconds(1)));
}

}  // namespace

bool MayStartTasks(TaskScheduler* scheduler, ScheduledJob* job, TimePoint now) {
  if (job->former_runs_known) return true;
  const bool leases_ended = now >= job->former_leases_end;
  if (!leases_ended && now < job->next_report_check) return false;
  job->next_report_check = now + kReportCheckInterval;
  const std::optional<MissingReport> missing =
      FindMissingReport(*scheduler, *job);
  if (missing && !leases_ended) return false;
  LogEndOfWait(scheduler, *job, missing, now);
  job->former_runs_known = true;
  return true;
}

}  // namespace sequoiapath::internal
