#include "overload_pass.h"

#include <algorithm>
#include <map>

#include "job_progress.h"
#include "task_placement.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kShortestRetryAfter{500};
constexpr milliseconds kLongestRetryAfter{5000};

Work WaitingWork(const ScheduledJob& job) {
  Work work = 0;
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    const JobStep& step = job.job.steps[s];
    work += static_cast<double>(job.steps[s].waiting) *
            static_cast<double>(step.demand.milli_cores) *
            static_cast<double>(step.estimate.count());
  }
  return work;
}

// The queued jobs of one service, in the order of the queue.
struct ServiceQueue {
  std::vector<ScheduledJob*> in_time;
  std::vector<ScheduledJob*> late;
  double demand = 0;  // Sum of the demands of the waiting tasks.
  double tasks = 0;
};

std::map<std::string, ServiceQueue> SplitQueue(const TaskScheduler& scheduler) {
  std::map<std::string, ServiceQueue> queues;
  for (const auto& [key, job] : scheduler.queue) {
    ServiceQueue& queue = queues[job->job.service];
    (key.lateness == Lateness::kInTime ? queue.in_time : queue.late)
        .push_back(job);
    for (std::size_t s = 0; s < job->steps.size(); ++s) {
      const auto waiting = static_cast<double>(job->steps[s].waiting);
      queue.tasks += waiting;
      queue.demand +=
          waiting * static_cast<double>(job->job.steps[s].demand.milli_cores);
    }
  }
  return queues;
}

// Appends the jobs to delay and returns the work of those that are not delayed.
Work DecideDelays(const TaskScheduler& scheduler, const ServiceQueue& queue,
                  const WorkRates& rates, TimePoint now,
                  std::vector<ScheduledJob*>* delayed) {
  std::vector<WaitingJob> waiting;
  std::vector<bool> may_delay;
  Work work = 0;
  for (const ScheduledJob* job : queue.in_time) {
    waiting.push_back(
        {.priority = job->job.priority,
         .size = job->size,
         .rest = WaitingWork(*job),
         .latest_start = job->objective - RemainingCriticalPath(*job),
         .started = job->any_started});
    may_delay.push_back(
        MayDelay(scheduler.overload, KindOf(job->job), job->size));
    work += waiting.back().rest;
  }
  for (const std::size_t i :
       ChooseDelayedJobs(waiting, may_delay, rates.capacity, now)) {
    delayed->push_back(queue.in_time[i]);
    work -= waiting[i].rest;
  }
  return work;
}

// Appends the late jobs that cannot end before their callers stop waiting, with
// the given work before them. Returns the work of all jobs that stay. Later
// arrivals are not counted, because a burst may end at any moment.
Work FindHopeless(const ServiceQueue& queue, Work ahead, double capacity,
                  TimePoint now, std::vector<ScheduledJob*>* hopeless) {
  for (ScheduledJob* job : queue.late) {
    if (!job->any_started) {
      const Duration wait = DrainTime(ahead, {capacity, 0});
      const Duration left = job->expires - now - ShortestRunTime(job->job);
      if (wait > left) {
        hopeless->push_back(job);
        continue;
      }
    }
    ahead += WaitingWork(*job);
  }
  return ahead;
}

}  // namespace

std::pair<std::string, int> KindOf(const StepJob& job) {
  return {job.service, job.priority};
}

Work TotalWork(const StepJob& job) {
  Work work = 0;
  for (const JobStep& step : job.steps) {
    work += static_cast<double>(step.count) *
            static_cast<double>(step.demand.milli_cores) *
            static_cast<double>(step.estimate.count());
  }
  return std::max(work, 1.0);
}

OverloadDecisions DecideOverload(TaskScheduler* scheduler, TimePoint now) {
  UpdateArrivalRate(&scheduler->overload, now);
  OverloadDecisions decisions;
  Duration drain{0};
  for (const auto& [service, queue] : SplitQueue(*scheduler)) {
    if (queue.tasks <= 0) continue;
    const auto mean_demand =
        static_cast<std::int64_t>(queue.demand / queue.tasks);
    const WorkRates rates{
        WholeTaskMilliCores(*scheduler, service, mean_demand, now),
        scheduler->overload.arrival_rate};
    // Without a usable worker nothing is known of the room: the workers may
    // come back, or a takeover has just begun.
    if (rates.capacity <= 0) continue;
    Work ahead =
        DecideDelays(*scheduler, queue, rates, now, &decisions.delayed);
    ahead =
        FindHopeless(queue, ahead, rates.capacity, now, &decisions.hopeless);
    drain = std::max(drain, DrainTime(ahead, rates));
  }
  decisions.retry_after =
      std::clamp(std::chrono::duration_cast<milliseconds>(
                     std::min<Duration>(drain, kLongestRetryAfter)),
                 kShortestRetryAfter, kLongestRetryAfter);
  return decisions;
}

}  // namespace sequoiapath::internal
