#include "sequoiapath/coordination/worker_runs.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "sequoiapath/coordination/scheduler_election.h"

namespace sequoiapath {
namespace internal {
namespace {

const RunningTask* FindRunning(const WorkerReport& report,
                               const TaskName& task) {
  const auto found =
      std::find_if(report.running.begin(), report.running.end(),
                   [&](const RunningTask& row) { return row.task == task; });
  return found == report.running.end() ? nullptr : &*found;
}

// Takes over the ends that were not seen before.
void ApplyEnds(WorkerRuns* worker, const WorkerReport& report,
               std::vector<RunEnded>* ended) {
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
    WorkerRun unknown;
    unknown.run = row.run;
    ended->push_back({row.task, unknown, row.outcome, false});
  }
  worker->last_seen_end = last;
}

void AddOrphan(WorkerRuns* worker, const RunningTask& row, TimePoint now) {
  WorkerRun orphan;
  orphan.run = row.run;
  orphan.state = RunState::kRunning;
  orphan.orphan = true;
  orphan.ordered_at = now;
  orphan.confirmed_at = now;
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
    if (row.run == run.run && run.state == RunState::kUnknown) {
      run.state = RunState::kRunning;
      run.confirmed_at = now;
    }
  }
}

// Says whether a run that the report does not list is surely not there and will
// never be.
bool IsSurelyGone(const WorkerRun& run, const WorkerReport& report,
                  TimePoint sent_at) {
  if (run.stopped_at && *run.stopped_at < sent_at) return true;
  switch (run.state) {
    case RunState::kRunning:
      return run.confirmed_at < sent_at;
    case RunState::kUnknown:
      return report.clock > run.lease_end && run.ordered_at < sent_at;
    case RunState::kStarting:
      return false;
  }
  return false;
}

void FindVanished(WorkerRuns* worker, const WorkerReport& report,
                  TimePoint sent_at, std::vector<RunEnded>* ended) {
  std::vector<TaskName> gone;
  for (auto& [task, run] : worker->runs) {
    if (FindRunning(report, task) != nullptr) continue;
    if (IsSurelyGone(run, report, sent_at)) {
      gone.push_back(task);
    } else if (run.state == RunState::kUnknown) {
      // A stopped run is rejected when its start order arrives late.
      run.stop_wanted = true;
    }
  }
  for (const TaskName& task : gone) {
    ended->push_back(
        {task, RemoveRun(worker, task), RunOutcome::kLeaseExpired, true});
  }
}

}  // namespace
}  // namespace internal

WorkerTime EstimateClock(const WorkerRuns& worker, TimePoint now) {
  return worker.clock +
         std::chrono::floor<std::chrono::milliseconds>(now - worker.clock_at);
}

WorkerTime NextLeaseEnd(const WorkerRuns& worker, const LeaseTimes& times,
                        TimePoint now) {
  if (!worker.clock_known) return WorkerTime(0);
  return EstimateClock(worker, now) + times.lease;
}

TimePoint LapseTime(const WorkerRuns& worker, const LeaseTimes& times,
                    TimePoint now) {
  if (!worker.clock_known) return now + times.foreign_slack;
  const auto left = worker.last_lease_end - worker.clock;
  const auto longest = std::chrono::duration<double, std::milli>(
      static_cast<double>(left.count()) / (1 - times.clock_drift));
  return worker.clock_at +
         std::chrono::ceil<std::chrono::milliseconds>(longest) +
         times.end_slack;
}

Resources FreeRoom(const WorkerRuns& worker) {
  Resources room = worker.description.capacity;
  room -= worker.used;
  return room;
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
  const WorkerRun run = found->second;
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

std::vector<RunEnded> ApplyReport(WorkerRuns* worker,
                                  const WorkerReport& report, TimePoint sent_at,
                                  TimePoint now) {
  std::vector<RunEnded> ended;
  const bool restarted = worker->started_at_ms != 0 &&
                         report.started_at_ms != 0 &&
                         worker->started_at_ms != report.started_at_ms;
  if (restarted) DisownFormerProcess(worker);
  if (report.started_at_ms != 0) worker->started_at_ms = report.started_at_ms;
  worker->clock = report.clock;
  worker->clock_at = now;
  worker->clock_known = true;
  worker->lapse_at.reset();
  internal::ApplyEnds(worker, report, &ended);
  internal::ApplyRunning(worker, report, now);
  internal::FindVanished(worker, report, sent_at, &ended);
  return ended;
}

std::vector<TaskName> TakeStops(WorkerRuns* worker) {
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

std::vector<RunEnded> EndLapsedRuns(WorkerRuns* worker, TimePoint now) {
  std::vector<RunEnded> ended;
  if (!worker->lapse_at || now < *worker->lapse_at) return ended;
  worker->lapse_at.reset();
  while (!worker->runs.empty()) {
    const TaskName task = worker->runs.begin()->first;
    ended.push_back(
        {task, RemoveRun(worker, task), RunOutcome::kLeaseExpired, true});
  }
  return ended;
}

void DisownFormerProcess(WorkerRuns* worker) {
  for (auto& [task, run] : worker->runs) {
    if (run.state == RunState::kRunning) continue;
    // The new process counts its clock anew and could accept the order.
    run.state = RunState::kUnknown;
    run.lease_end = WorkerTime::max();
    run.stop_wanted = true;
  }
  // Orders to the former process that arrive late are rejected from the next
  // order on.
  worker->fence = RaiseFence(worker->fence, std::chrono::milliseconds(1));
  worker->last_seen_end = 0;
  worker->last_lease_end = WorkerTime(0);
  worker->clock_known = false;
}

}  // namespace sequoiapath
