#include "sequoiapath/coordination/overload_policy.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Part of the value of a mean job that does not depend on its work.
constexpr double kFixedValue = 0.3;
constexpr double kLargestCountedSize = 4;
// A job counts as large above this multiple of the mean of its kind.
constexpr double kLargeSize = 1.5;
constexpr double kLargestDelayedShare = 0.5;
// Weight of the latest job in the mean of its kind.
constexpr double kMeanSmoothing = 0.02;
// What remains of the counts of large jobs after each arrival of one.
constexpr double kCountDecay = 0.98;

// Time in which the arrival rate follows a change.
constexpr std::chrono::duration<double> kRateSmoothingTime{0.5};

// Orders the jobs that may be delayed: the first one costs callers least.
using DelayKey = std::pair<double, std::size_t>;

DelayKey MakeDelayKey(const WaitingJob& job, std::size_t index) {
  return {ValueDensity(job.size), index};
}

// Returns whether the job starts in time after `work` of other jobs.
bool StartsInTime(const WaitingJob& job, Work work, double milli_cores,
                  TimePoint now) {
  const std::chrono::duration<double, std::milli> wait(work / milli_cores);
  return now + std::chrono::duration_cast<Duration>(wait) <= job.latest_start;
}

}  // namespace
}  // namespace internal

bool CallsForOverloadPolicy(const RouteTable& routes) {
  std::set<std::pair<std::string, int>> ranks;
  return std::any_of(
      routes.routes.begin(), routes.routes.end(), [&ranks](const Route& route) {
        return !ranks.emplace(route.service, route.priority).second;
      });
}

double RecordArrival(OverloadPolicy* policy,
                     const std::pair<std::string, int>& kind, Work work) {
  const auto [mean, added] = policy->mean_work.try_emplace(kind, work);
  if (!added) {
    mean->second += internal::kMeanSmoothing * (work - mean->second);
  }
  policy->arrived += work;
  const double size = work / mean->second;
  if (size > internal::kLargeSize) {
    SizeShares& shares = policy->large_jobs[kind];
    shares.jobs = shares.jobs * internal::kCountDecay + 1;
    shares.delayed *= internal::kCountDecay;
  }
  return size;
}

void UpdateArrivalRate(OverloadPolicy* policy, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - policy->rate_updated_at;
  if (elapsed.count() <= 0) return;
  const std::chrono::duration<double, std::milli> elapsed_ms = elapsed;
  const double rate = policy->arrived / elapsed_ms.count();
  const double weight = std::min(1.0, elapsed / internal::kRateSmoothingTime);
  policy->arrival_rate += weight * (rate - policy->arrival_rate);
  policy->arrived = 0;
  policy->rate_updated_at = now;
}

Duration DrainTime(Work queued, const WorkRates& rates) {
  if (queued <= 0) return Duration::zero();
  const double spare = rates.capacity - rates.arriving;
  if (spare <= 0) return Duration::max();
  const std::chrono::duration<double, std::milli> time(queued / spare);
  if (time > Duration::max()) return Duration::max();
  return std::chrono::duration_cast<Duration>(time);
}

void RecordDelay(OverloadPolicy* policy,
                 const std::pair<std::string, int>& kind, double size) {
  if (size > internal::kLargeSize) policy->large_jobs[kind].delayed += 1;
}

bool MayDelay(const OverloadPolicy& policy,
              const std::pair<std::string, int>& kind, double size) {
  if (size <= internal::kLargeSize) return true;
  const auto shares = policy.large_jobs.find(kind);
  if (shares == policy.large_jobs.end()) return true;
  return shares->second.delayed <
         internal::kLargestDelayedShare * shares->second.jobs;
}

double ValueDensity(double size) {
  const double value =
      internal::kFixedValue + (1 - internal::kFixedValue) *
                                  std::min(size, internal::kLargestCountedSize);
  return value / size;
}

std::vector<std::size_t> ChooseDelayedJobs(const std::vector<WaitingJob>& jobs,
                                           const std::vector<bool>& may_delay,
                                           double milli_cores, TimePoint now) {
  std::vector<std::size_t> delayed;
  std::set<internal::DelayKey> candidates;
  Work ahead = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    // A job is never delayed for one of a lower priority.
    if (i > 0 && jobs[i].priority != jobs[i - 1].priority) candidates.clear();
    if (!jobs[i].started && may_delay[i]) {
      candidates.insert(internal::MakeDelayKey(jobs[i], i));
    }
    ahead += jobs[i].rest;
    while (!candidates.empty() &&
           !internal::StartsInTime(jobs[i], ahead - jobs[i].rest, milli_cores,
                                   now)) {
      const std::size_t victim = candidates.begin()->second;
      candidates.erase(candidates.begin());
      delayed.push_back(victim);
      ahead -= jobs[victim].rest;
      if (victim == i) break;
    }
  }
  return delayed;
}

}  // namespace sequoiapath
