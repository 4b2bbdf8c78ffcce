#include "sequoiapath/coordination/worker_runs.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/coordination/worker_capacity.h"

namespace sequoiapath {
namespace internal {
namespace {

// Returns the longest time until a worker's clock has advanced by `left` and
// the runs whose leases end then have ended.
Duration LongestTime(std::chrono::milliseconds left, const LeaseTimes& times) {
  const auto longest = std::chrono::duration<double, std::milli>(
      static_cast<double>(left.count()) / (1 - times.clock_drift));
  return std::chrono::ceil<std::chrono::milliseconds>(longest) +
         times.expiry_margin;
}

const RunningTask* FindRunning(const WorkerReport& report,
                               const TaskName& task) {
  const auto found =
      std::find_if(report.running.begin(), report.running.end(),
                   [&](const RunningTask& row) { return row.task == task; });
  return found == report.running.end() ? nullptr : &*found;
}

// Appends the ends that the report lists for the first time. The worker repeats
// an end until a renewal acknowledges its number.
void ApplyEnds(WorkerRuns* worker, const WorkerReport& report,
               std::vector<EndedRun>* ended) {
  std::uint64_t last = worker->last_seen_end;
  for (const EndedTask& row : report.ended) {
    if (row.number <= worker->last_seen_end) continue;
    last = std::max(last, row.number);
    const auto found = worker->runs.find(row.task);
    if (found != worker->runs.end() && found->second.run == row.run) {
      ended->push_back(
          {row.task, RemoveRun(worker, row.task), row.outcome, true});
      continue;
    }
    WorkerRun unrecorded;
    unrecorded.run = row.run;
    ended->push_back({row.task, unrecorded, row.outcome, false});
  }
  worker->last_seen_end = last;
}

void AddOrphan(WorkerRuns* worker, const RunningTask& row, TimePoint now) {
  WorkerRun orphan;
  orphan.run = row.run;
  orphan.state = RunState::kRunning;
  orphan.orphan = true;
  orphan.ordered_at = now;
  orphan.confirmed_running_at = now;
  worker->runs.emplace(row.task, orphan);
  ++worker->orphans;
}

void ApplyRunning(WorkerRuns* worker, const WorkerReport& report,
                  TimePoint now) {
  for (const RunningTask& row : report.running) {
    const auto found = worker->runs.find(row.task);
    if (found == worker->runs.end()) {
      AddOrphan(worker, row, now);
      continue;
    }
    WorkerRun& run = found->second;
    if (row.run != run.run || run.state == RunState::kRunning) continue;
    run.confirmed_running_at = now;
    if (run.state == RunState::kUnknown) run.state = RunState::kRunning;
  }
}

// Returns whether a run that the report does not list has ended or can no
// longer start. Returns false if the worker may still accept its start order,
// or if the run may have started after the worker wrote the report.
bool CannotBeRunning(const WorkerRun& run, const WorkerReport& report,
                     TimePoint sent_at) {
  if (run.stopped_at && *run.stopped_at < sent_at) return true;
  switch (run.state) {
    case RunState::kRunning:
      return run.confirmed_running_at < sent_at;
    case RunState::kUnknown:
      return report.clock > run.lease_end && run.ordered_at < sent_at;
    case RunState::kStarting:
      return false;
  }
  return false;
}

// Removes the runs that the report shows to have ended by not listing them, and
// appends them to `ended`.
void EndUnlistedRuns(WorkerRuns* worker, const WorkerReport& report,
                     TimePoint sent_at, std::vector<EndedRun>* ended) {
  std::vector<TaskName> ended_tasks;
  for (auto& [task, run] : worker->runs) {
    if (FindRunning(report, task) != nullptr) continue;
    if (CannotBeRunning(run, report, sent_at)) {
      ended_tasks.push_back(task);
    } else if (run.state == RunState::kUnknown) {
      // Once the worker has accepted a stop order for the run, it rejects the
      // run's start order if that arrives later.
      run.stop_wanted = true;
    }
  }
  for (const TaskName& task : ended_tasks) {
    ended->push_back(
        {task, RemoveRun(worker, task), RunOutcome::kLeaseExpired, true});
  }
}

}  // namespace
}  // namespace internal

const char* ToString(ClaimState state) {
  switch (state) {
    case ClaimState::kUnclaimed:
      return "unclaimed";
    case ClaimState::kClaimed:
      return "claimed";
    case ClaimState::kForeign:
      return "foreign";
  }
  return "unknown";
}

WorkerTime EstimateClock(const WorkerRuns& worker, TimePoint now) {
  return worker.clock + std::chrono::floor<std::chrono::milliseconds>(
                            now - worker.clock_received_at);
}

WorkerTime NextLeaseEnd(const WorkerRuns& worker, const LeaseTimes& times,
                        TimePoint now) {
  if (!worker.clock_known) return WorkerTime(0);
  return EstimateClock(worker, now) + times.lease;
}

TimePoint LatestRunExpiry(const WorkerRuns& worker, const LeaseTimes& times,
                          TimePoint now) {
  if (!worker.clock_known) return now + times.foreign_run_lifetime;
  const TimePoint own_leases_end =
      worker.clock_received_at +
      internal::LongestTime(worker.last_lease_end - worker.clock, times);
  return std::max(own_leases_end, worker.former_leases_end);
}

Duration LongestLeaseTime(const LeaseTimes& times) {
  return internal::LongestTime(times.lease, times);
}

bool ShowsRestart(const WorkerRuns& worker, const WorkerReport& report) {
  return worker.started_at_ms != 0 && report.started_at_ms != 0 &&
         worker.started_at_ms != report.started_at_ms;
}

bool RecordIsOfReportedProcess(const WorkerRuns& worker) {
  const std::int64_t recorded = worker.description.started_at_ms;
  return recorded == 0 || worker.started_at_ms == 0 ||
         recorded == worker.started_at_ms;
}

Resources FreeCapacity(const WorkerRuns& worker) {
  Resources free = CurrentCapacity(worker);
  free -= worker.used;
  return free;
}

void AddRun(WorkerRuns* worker, const TaskName& task, const WorkerRun& run) {
  worker->used += run.demand;
  const bool added = worker->runs.emplace(task, run).second;
  assert(added);
  static_cast<void>(added);
}

WorkerRun RemoveRun(WorkerRuns* worker, const TaskName& task) {
  const auto found = worker->runs.find(task);
  assert(found != worker->runs.end());
  WorkerRun run = std::move(found->second);
  worker->runs.erase(found);
  worker->used -= run.demand;
  if (run.orphan) --worker->orphans;
  return run;
}

void AdoptRun(WorkerRuns* worker, const TaskName& task, const JobStep& step) {
  WorkerRun& run = worker->runs.at(task);
  if (!run.orphan) return;
  run.orphan = false;
  run.stop_wanted = false;
  run.demand = step.demand;
  run.estimate = step.estimate;
  worker->used += step.demand;
  --worker->orphans;
}

std::vector<EndedRun> ApplyReport(WorkerRuns* worker,
                                  const WorkerReport& report, TimePoint sent_at,
                                  TimePoint now) {
  std::vector<EndedRun> ended;
  if (ShowsRestart(*worker, report)) ResetForNewProcess(worker);
  if (report.started_at_ms != 0) worker->started_at_ms = report.started_at_ms;
  worker->clock = report.clock;
  worker->clock_received_at = now;
  worker->clock_known = true;
  if (report.capacity) {
    worker->reported_capacity =
        ReportedCapacity{*report.capacity, report.clock};
  }
  worker->latest_run_expiry.reset();
  internal::ApplyEnds(worker, report, &ended);
  internal::ApplyRunning(worker, report, now);
  internal::EndUnlistedRuns(worker, report, sent_at, &ended);
  return ended;
}

std::vector<TaskName> TakeRunsToStop(WorkerRuns* worker) {
  std::vector<TaskName> stops;
  for (auto& [task, run] : worker->runs) {
    if (!run.stop_wanted || run.stop_in_flight || run.stopped_at ||
        run.state == RunState::kStarting) {
      continue;
    }
    run.stop_in_flight = true;
    stops.push_back(task);
  }
  return stops;
}

std::vector<EndedRun> EndExpiredRuns(WorkerRuns* worker, TimePoint now) {
  std::vector<EndedRun> ended;
  if (!worker->latest_run_expiry || now < *worker->latest_run_expiry) {
    return ended;
  }
  worker->latest_run_expiry.reset();
  while (!worker->runs.empty()) {
    const TaskName task = worker->runs.begin()->first;
    ended.push_back(
        {task, RemoveRun(worker, task), RunOutcome::kLeaseExpired, true});
  }
  return ended;
}

void ResetForNewProcess(WorkerRuns* worker) {
  for (auto& [task, run] : worker->runs) {
    if (run.state == RunState::kRunning) continue;
    // The new process has a clock of its own, so it may accept a start order
    // whose lease has expired on the clock of the previous process.
    run.state = RunState::kUnknown;
    run.lease_end = WorkerTime::max();
    run.stop_wanted = true;
  }
  // Once the new process has received an order with the raised fencing token,
  // it rejects late orders that were sent to the previous process.
  worker->fence =
      RaiseFencingToken(worker->fence, std::chrono::milliseconds(1));
  worker->last_seen_end = 0;
  worker->last_lease_end = WorkerTime(0);
  worker->clock_known = false;
  worker->reported_capacity.reset();
  worker->speed = 1;
  worker->slow_until = {};
  worker->blocked_until = {};
}

}  // namespace sequoiapath
