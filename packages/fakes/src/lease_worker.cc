#include "sequoiapath/fakes/lease_worker.h"

#include <algorithm>

namespace sequoiapath::fakes {
namespace internal {
namespace {

void EndRun(LeaseWorker* worker, const TaskName& task, RunOutcome outcome) {
  const auto node = worker->running.extract(task);
  if (node.empty()) return;
  const std::uint32_t run = node.mapped().run;
  std::uint32_t& highest = worker->highest_run[task];
  highest = std::max(highest, run);
  worker->ended.push_back({++worker->last_end_number, task, run, outcome});
}

bool RejectsFence(LeaseWorker* worker, FencingToken fence) {
  if (fence < worker->fence) return true;
  worker->fence = fence;
  return false;
}

void ExtendLease(LeaseWorker* worker, WorkerTime end) {
  const WorkerTime granted = std::min(end, worker->now + worker->longest_lease);
  worker->lease_end = std::max(worker->lease_end, granted);
}

}  // namespace
}  // namespace internal

std::size_t Advance(LeaseWorker* worker, WorkerTime now) {
  const std::uint64_t before = worker->last_end_number;
  worker->now = now;
  std::vector<TaskName> done;
  std::vector<TaskName> stopped;
  for (const auto& [task, run] : worker->running) {
    if (run.stops_at) {
      if (*run.stops_at <= now) stopped.push_back(task);
    } else if (!run.never_completes &&
               run.completes_at <= std::min(now, worker->lease_end)) {
      done.push_back(task);
    }
  }
  for (const TaskName& task : done) {
    const bool fails = worker->running.at(task).fails;
    internal::EndRun(worker, task,
                     fails ? RunOutcome::kFailed : RunOutcome::kDone);
  }
  for (const TaskName& task : stopped) {
    internal::EndRun(worker, task, RunOutcome::kStopped);
  }
  while (now > worker->lease_end && !worker->running.empty()) {
    internal::EndRun(worker, worker->running.begin()->first,
                     RunOutcome::kLeaseExpired);
  }
  return worker->last_end_number - before;
}

OrderReply Start(LeaseWorker* worker, const StartOrder& order,
                 LeaseWorkerRun run) {
  if (internal::RejectsFence(worker, order.fence)) {
    return OrderRejection::kStaleFence;
  }
  const auto existing = worker->running.find(order.task);
  if (existing != worker->running.end() && existing->second.run == order.run) {
    return OrderAccepted{worker->now};
  }
  const auto highest = worker->highest_run.find(order.task);
  const bool is_old_run =
      highest != worker->highest_run.end() && order.run <= highest->second;
  if (order.lease_end > worker->now) {
    internal::ExtendLease(worker, order.lease_end);
  }
  if (is_old_run || existing != worker->running.end()) {
    return OrderRejection::kOldRun;
  }
  if (order.lease_end <= worker->now) return OrderRejection::kLeaseExpired;
  run.run = order.run;
  run.spec = order.spec;
  worker->running.emplace(order.task, std::move(run));
  return OrderAccepted{worker->now};
}

OrderReply Stop(LeaseWorker* worker, const StopOrder& order) {
  if (internal::RejectsFence(worker, order.fence)) {
    return OrderRejection::kStaleFence;
  }
  const auto existing = worker->running.find(order.task);
  if (existing != worker->running.end() && existing->second.run <= order.run) {
    if (worker->stop_time.count() == 0) {
      internal::EndRun(worker, order.task, RunOutcome::kStopped);
    } else if (!existing->second.stops_at) {
      existing->second.stops_at = worker->now + worker->stop_time;
    }
  }
  std::uint32_t& highest = worker->highest_run[order.task];
  highest = std::max(highest, order.run);
  return OrderAccepted{worker->now};
}

RenewReply Renew(LeaseWorker* worker, const RenewOrder& order) {
  if (internal::RejectsFence(worker, order.fence)) {
    return OrderRejection::kStaleFence;
  }
  internal::ExtendLease(worker, order.lease_end);
  std::erase_if(worker->ended, [&](const EndedTask& end) {
    return end.number <= order.last_seen_end;
  });
  WorkerReport report;
  report.clock = worker->now;
  report.started_at_ms = worker->started_at_ms;
  report.ended = worker->ended;
  report.capacity = worker->capacity;
  for (const auto& [task, run] : worker->running) {
    report.running.push_back({task, run.run});
  }
  return report;
}

void Restart(LeaseWorker* worker) {
  LeaseWorker restarted;
  restarted.longest_lease = worker->longest_lease;
  restarted.stop_time = worker->stop_time;
  restarted.capacity = worker->capacity;
  restarted.started_at_ms = worker->started_at_ms + 1;
  *worker = std::move(restarted);
}

}  // namespace sequoiapath::fakes
