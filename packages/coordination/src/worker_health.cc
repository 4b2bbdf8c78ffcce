#include "sequoiapath/coordination/worker_health.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sequoiapath {
namespace internal {
namespace {

// Consecutive failures that FailsMoreThanPeers requires. One or two failures
// are too few to indicate a faulty worker.
constexpr std::uint32_t kFailuresInRow = 3;
// Standard errors by which an outlier's failure ratio must exceed the median of
// its peers. With two, a healthy worker that runs a job with bad payloads would
// be ejected by chance in about one of forty comparisons.
constexpr double kStandardErrors = 3;
constexpr std::uint32_t kMaxDoublings = 16;

Duration Backoff(Duration first, Duration longest, std::uint32_t repeats) {
  const auto factor = std::int64_t{1} << std::min(repeats, kMaxDoublings);
  return std::min(first * factor, longest);
}

void AdvanceWindow(const WorkerHealthLimits& limits, WorkerRecord* record,
                   TimePoint now) {
  const Duration age = now - record->window_start;
  if (age < limits.window) return;
  record->windows[1] =
      age < 2 * limits.window ? record->windows[0] : TaskCounts{};
  record->windows[0] = {};
  record->window_start = now;
}

TaskCounts TotalCounts(const WorkerRecord& record) {
  return {record.windows[0].succeeded + record.windows[1].succeeded,
          record.windows[0].failed + record.windows[1].failed};
}

std::uint32_t SampleCount(const TaskCounts& counts) {
  return counts.succeeded + counts.failed;
}

double FailureRatio(const TaskCounts& counts) {
  return static_cast<double>(counts.failed) / SampleCount(counts);
}

// Returns the median failure ratio of the other workers; nothing if fewer than
// `min_peers` of them have enough samples. The median limits the influence of
// workers that fail quickly: they end the most tasks and would dominate a ratio
// of pooled counts.
std::optional<double> MedianPeerRatio(const WorkerHealth& health,
                                      const std::string& worker) {
  std::vector<double> ratios;
  for (const auto& [name, record] : health.workers) {
    const TaskCounts counts = TotalCounts(record);
    if (name == worker || record.ejected ||
        SampleCount(counts) < health.limits.min_samples) {
      continue;
    }
    ratios.push_back(FailureRatio(counts));
  }
  if (ratios.size() < health.limits.min_peers) return std::nullopt;
  const auto middle =
      ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

bool IsOutlier(const WorkerHealth& health, const std::string& worker,
               const WorkerRecord& record) {
  const TaskCounts counts = TotalCounts(record);
  if (SampleCount(counts) < health.limits.min_samples) return false;
  const double ratio = FailureRatio(counts);
  if (ratio < health.limits.min_ratio) return false;
  const auto peers = MedianPeerRatio(health, worker);
  if (!peers) return false;
  const double standard_error =
      std::sqrt(*peers * (1 - *peers) / SampleCount(counts));
  return ratio - *peers >
         std::max(health.limits.min_excess, kStandardErrors * standard_error);
}

bool MayEject(const WorkerHealth& health) {
  const double allowed = health.limits.max_ejected_share *
                         static_cast<double>(health.workers.size());
  return static_cast<double>(EjectedWorkers(health) + 1) <= allowed;
}

void Eject(const WorkerHealthLimits& limits, WorkerRecord* record,
           TimePoint now) {
  record->ejected = true;
  record->next_trial =
      now + Backoff(limits.first_ejection, limits.longest_ejection,
                    record->ejections_in_row++);
}

void Readmit(WorkerRecord* record) {
  record->ejected = false;
  record->windows = {};
  record->failures_in_row = 0;
}

void EndTrial(WorkerHealth* health, WorkerRecord* record, TaskEnd end,
              TimePoint now) {
  record->trial_running = false;
  if (end == TaskEnd::kSucceeded) Readmit(record);
  if (end == TaskEnd::kFailed) Eject(health->limits, record, now);
}

void RecordNotStarted(const WorkerHealthLimits& limits, WorkerRecord* record,
                      TimePoint now) {
  // Tasks that the worker refused at about the same time count as one refusal,
  // so that the avoidance time doubles only once for them.
  if (now < record->avoid_until) return;
  record->avoid_until =
      now + Backoff(limits.first_avoidance, limits.longest_avoidance,
                    record->not_started_in_row++);
}

void CountEnd(const WorkerHealthLimits& limits, WorkerRecord* record,
              bool succeeded, TimePoint now) {
  AdvanceWindow(limits, record, now);
  record->not_started_in_row = 0;
  if (succeeded) {
    ++record->windows[0].succeeded;
    record->failures_in_row = 0;
    return;
  }
  ++record->windows[0].failed;
  ++record->failures_in_row;
}

}  // namespace
}  // namespace internal

bool IsEligible(const WorkerHealth& health, const std::string& worker,
                bool idempotent, TimePoint now) {
  const auto it = health.workers.find(worker);
  if (it == health.workers.end()) return true;
  const WorkerRecord& record = it->second;
  if (now < record.avoid_until || now < record.leaving_until) return false;
  if (!record.ejected) return true;
  return idempotent && !record.trial_running && now >= record.next_trial;
}

bool RecordTaskSent(WorkerHealth* health, const std::string& worker) {
  const auto it = health->workers.find(worker);
  if (it == health->workers.end() || !it->second.ejected) return false;
  it->second.trial_running = true;
  return true;
}

void RecordTaskEnd(WorkerHealth* health, const std::string& worker, TaskEnd end,
                   bool trial, TimePoint now) {
  WorkerRecord& record = health->workers[worker];
  if (trial && record.ejected) {
    internal::EndTrial(health, &record, end, now);
  }
  if (end == TaskEnd::kInconclusive) return;
  if (end == TaskEnd::kNotStarted) {
    internal::RecordNotStarted(health->limits, &record, now);
    return;
  }
  internal::CountEnd(health->limits, &record, end == TaskEnd::kSucceeded, now);
  if (end == TaskEnd::kFailed && !record.ejected &&
      internal::IsOutlier(*health, worker, record) &&
      internal::MayEject(*health)) {
    internal::Eject(health->limits, &record, now);
  }
  // The next ejection lasts `first_ejection` again only after a readmitted
  // worker has completed `min_samples` tasks successfully.
  if (end == TaskEnd::kSucceeded && !record.ejected &&
      internal::TotalCounts(record).succeeded >= health->limits.min_samples) {
    record.ejections_in_row = 0;
  }
}

void RecordLeaving(WorkerHealth* health, const std::string& worker,
                   TimePoint now) {
  health->workers[worker].leaving_until =
      now + health->limits.leaving_avoidance;
}

bool FailsMoreThanPeers(const WorkerHealth& health, const std::string& worker) {
  const auto it = health.workers.find(worker);
  if (it == health.workers.end() ||
      it->second.failures_in_row < internal::kFailuresInRow) {
    return false;
  }
  return internal::MedianPeerRatio(health, worker).value_or(0) <
         health.limits.min_ratio;
}

std::optional<TimePoint> NextEligibility(const WorkerHealth& health,
                                         TimePoint now) {
  std::optional<TimePoint> next;
  for (const auto& [name, record] : health.workers) {
    TimePoint at = std::max(record.avoid_until, record.leaving_until);
    if (record.ejected && !record.trial_running) {
      at = std::max(at, record.next_trial);
    }
    if (at > now) next = std::min(next.value_or(at), at);
  }
  return next;
}

void ForgetWorker(WorkerHealth* health, const std::string& worker) {
  health->workers.erase(worker);
}

std::size_t EjectedWorkers(const WorkerHealth& health) {
  return static_cast<std::size_t>(
      std::count_if(health.workers.begin(), health.workers.end(),
                    [](const auto& entry) { return entry.second.ejected; }));
}

}  // namespace sequoiapath
