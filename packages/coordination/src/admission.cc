#include "sequoiapath/coordination/admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

using Milliseconds = std::chrono::milliseconds;

// Bounds of the time after which a caller may retry. Before the minimum has
// passed, the queue has hardly changed, so a retry would be refused again.
constexpr auto kMinRetryAfter = Milliseconds(50);
constexpr auto kMaxRetryAfter = Milliseconds(60'000);
// Used when a bound on waiting tasks is exceeded and there is no estimate of
// the wait.
constexpr auto kDefaultRetryAfter = Milliseconds(1000);

void SubtractCount(std::map<std::string, std::size_t>* counts,
                   const std::string& key, std::size_t tasks) {
  const auto it = counts->find(key);
  SEQUOIAPATH_ASSERT(it != counts->end() && it->second >= tasks,
                     "{} waiting tasks of {} are removed, but {} are counted",
                     tasks, key, it == counts->end() ? 0 : it->second);
  it->second -= tasks;
  if (it->second == 0) counts->erase(it);
}

Failure MakeOverloadedFailure(Duration retry_after, std::string detail) {
  return {Verdict::kNotRun, Reason::kOverloaded, RetryAdvice::kNewSequence,
          std::clamp(std::chrono::ceil<Milliseconds>(retry_after),
                     kMinRetryAfter, kMaxRetryAfter),
          std::move(detail)};
}

std::optional<Failure> CheckWaitingLimits(const AdmissionLimits& limits,
                                          const WaitingWork& work,
                                          const AdmissionRequest& request,
                                          Duration retry_after) {
  if (work.total + request.tasks > limits.max_waiting_tasks) {
    return MakeOverloadedFailure(
        retry_after,
        fmt::format("{} tasks are waiting and the job adds {}; {} are allowed",
                    work.total, request.tasks, limits.max_waiting_tasks));
  }
  const auto team = work.by_team.find(request.team);
  const std::size_t waiting = team == work.by_team.end() ? 0 : team->second;
  if (waiting + request.tasks > limits.max_waiting_tasks_per_team) {
    return MakeOverloadedFailure(
        retry_after,
        fmt::format("{} tasks of team {} are waiting and the job adds {}; {} "
                    "are allowed",
                    waiting, request.team, request.tasks,
                    limits.max_waiting_tasks_per_team));
  }
  return std::nullopt;
}

}  // namespace
}  // namespace internal

void AddWaiting(WaitingWork* work, Priority priority,
                const std::string& service, const std::string& team,
                std::size_t tasks) {
  if (tasks == 0) return;
  work->by_service[static_cast<std::size_t>(priority)][service] += tasks;
  work->by_team[team] += tasks;
  work->total += tasks;
}

void RemoveWaiting(WaitingWork* work, Priority priority,
                   const std::string& service, const std::string& team,
                   std::size_t tasks) {
  if (tasks == 0) return;
  internal::SubtractCount(&work->by_service[static_cast<std::size_t>(priority)],
                          service, tasks);
  internal::SubtractCount(&work->by_team, team, tasks);
  work->total -= tasks;
}

std::optional<Duration> ExpectedWait(const WaitingWork& work,
                                     const RunTimeEstimates& estimates,
                                     const AdmissionRequest& request) {
  if (!request.saturated || request.slots_in_use == 0) return std::nullopt;
  Duration waiting_run_time{0};
  for (std::size_t i = 0; i <= static_cast<std::size_t>(request.priority);
       ++i) {
    for (const auto& [service, tasks] : work.by_service[i]) {
      // Tasks without an estimate of their run time count as zero, which can
      // only lower the expected wait.
      const auto estimate = FindEstimate(estimates, service);
      if (!estimate) continue;
      waiting_run_time += estimate->mean * static_cast<std::int64_t>(tasks);
    }
  }
  return waiting_run_time / static_cast<std::int64_t>(request.slots_in_use);
}

std::optional<Failure> DecideAdmission(const AdmissionLimits& limits,
                                       const WaitingWork& work,
                                       const RunTimeEstimates& estimates,
                                       const AdmissionRequest& request) {
  const auto wait = ExpectedWait(work, estimates, request);
  if (auto failure = internal::CheckWaitingLimits(
          limits, work, request, wait.value_or(internal::kDefaultRetryAfter))) {
    return failure;
  }
  // Without waiting work, a job is admitted even if the mean run time of its
  // service exceeds the deadline. If such jobs were refused, no task of the
  // service would run, and the estimate could not decrease after a slow period.
  const auto estimate = FindEstimate(estimates, request.service);
  if (!wait || *wait == Duration::zero() || !estimate) return std::nullopt;
  const Duration total_run_time =
      estimate->mean * static_cast<std::int64_t>(request.tasks) /
      static_cast<std::int64_t>(request.slots_in_use);
  const Duration run = std::max(estimate->mean, total_run_time);
  if (*wait + run <= request.deadline) return std::nullopt;
  return internal::MakeOverloadedFailure(
      *wait + run - request.deadline,
      fmt::format("expected wait of {} ms plus run time of {} ms exceeds the "
                  "deadline, which is {} ms from now",
                  std::chrono::ceil<internal::Milliseconds>(*wait).count(),
                  std::chrono::ceil<internal::Milliseconds>(run).count(),
                  std::chrono::floor<internal::Milliseconds>(request.deadline)
                      .count()));
}

}  // namespace sequoiapath
