#include "former_runs.h"

#include <fmt/format.h>

#include <optional>
#include <string>

#include "scheduler_log.h"

namespace sequoiapath::internal {
namespace {

using std::chrono::milliseconds;

// Why a worker may have runs of a job that are not known.
struct MissingReport {
  std::string worker;
  const char* reason = "";
};

// Returns why the worker's reports do not show its runs at present; null if
// they do.
const char* MissingReportReason(const WorkerRuns& worker) {
  if (worker.claim != ClaimState::kClaimed) return "not_claimed";
  return worker.unanswered_renewals > 0 ? "unreachable" : nullptr;
}

// Returns the first worker that may have used the job and that this scheduler
// does not know; null if it knows all of them. Remembers that worker, so that
// the other workers are not looked up again while it stays unknown.
const std::string* FindUnknownWorker(const TaskScheduler& scheduler,
                                     ScheduledJob* job) {
  if (!job->unknown_worker.empty() &&
      !scheduler.workers.contains(job->unknown_worker)) {
    return &job->unknown_worker;
  }
  job->unknown_worker.clear();
  for (const std::string& id : job->job.former_workers) {
    if (scheduler.workers.contains(id)) continue;
    job->unknown_worker = id;
    return &job->unknown_worker;
  }
  return nullptr;
}

// Returns the first report that is missing to know all runs of the job that
// former schedulers started; nothing if all of them are known.
std::optional<MissingReport> FindMissingReport(const TaskScheduler& scheduler,
                                               const ReportSummary& reports,
                                               ScheduledJob* job) {
  // A former scheduler may have used a worker that has registered only lately.
  if (scheduler.workers_listed_at < job->submitted) {
    return MissingReport{"", "old_worker_list"};
  }
  if (reports.missing_reason != nullptr) {
    return MissingReport{reports.worker, reports.missing_reason};
  }
  // Only a report that was requested after the submission counts: a scheduler
  // whose token a worker rejects may raise the token and use the worker again,
  // which this scheduler notices with its next renewal.
  if (reports.oldest_request < job->submitted) {
    return MissingReport{reports.worker, "old_report"};
  }
  // The store entry of a partitioned worker lapses, and the worker is removed
  // here although it may still hold runs that the other side of the partition
  // started.
  const std::string* unknown = FindUnknownWorker(scheduler, job);
  if (unknown != nullptr) return MissingReport{*unknown, "unknown"};
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

ReportSummary SummarizeReports(const TaskScheduler& scheduler) {
  ReportSummary summary;
  for (const WorkerRuns* worker : scheduler.worker_list) {
    summary.missing_reason = MissingReportReason(*worker);
    if (summary.missing_reason != nullptr) {
      summary.worker = worker->description.id;
      return summary;
    }
    if (worker->report_sent_at < summary.oldest_request) {
      summary.oldest_request = worker->report_sent_at;
      summary.worker = worker->description.id;
    }
  }
  return summary;
}

bool MayStartTasks(TaskScheduler* scheduler,
                   std::optional<ReportSummary>* reports, ScheduledJob* job,
                   TimePoint now) {
  if (job->former_runs_known) return true;
  const bool leases_ended = now >= job->former_leases_end;
  if (!*reports) *reports = SummarizeReports(*scheduler);
  const std::optional<MissingReport> missing =
      FindMissingReport(*scheduler, **reports, job);
  if (missing && !leases_ended) return false;
  LogEndOfWait(scheduler, *job, missing, now);
  job->former_runs_known = true;
  return true;
}

}  // namespace sequoiapath::internal
