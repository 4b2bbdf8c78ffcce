// Tests that a pass of the scheduler over a long queue is short. A scheduler
// whose passes take longer reads heartbeats and submissions late.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>
#include <vector>

#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/coordination/worker_health.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr FencingToken kSchedulerFence = 1000;
constexpr int kWorkers = 350;
constexpr int kJobs = 1000;
// Half of the interval between two sweeps of the scheduler.
constexpr double kLongestPassMs = 5;

std::string WorkerId(int i) { return fmt::format("booking-desk-{:05}", i); }

WorkerDescription Worker(int i) {
  WorkerDescription worker;
  worker.id = WorkerId(i);
  worker.service = "desk";
  worker.address = fmt::format("127.0.0.1:{}", 1000 + i);
  worker.data_centre = "heredia";
  worker.capacity = {32'000, 128'000, 0};
  return worker;
}

StepJob Job(int i) {
  StepJob job;
  job.id = fmt::format("5c0e7a21{:08x}", i);
  job.service = "desk";
  job.max_attempts = 2;
  job.stretch = 100;
  job.remaining = milliseconds(60'000);
  JobStep step;
  step.count = 1;
  step.demand = {14'000, 64, 0};
  step.estimate = milliseconds(200);
  job.steps = {step};
  return job;
}

// Answers the renewals of all workers at `now`, except of `silent`.
void AnswerRenewals(TaskScheduler* scheduler, const std::string& silent,
                    TimePoint now) {
  for (const SchedulerAction& action : TakeActions(scheduler)) {
    const auto* renewal = std::get_if<SendRenewal>(&action);
    if (renewal == nullptr || renewal->worker == silent) continue;
    WorkerReport report;
    report.clock = WorkerTime(1000);
    RecordRenewalReply(scheduler, renewal->worker, renewal->order, report, now);
  }
}

TaskScheduler MakeScheduler(const std::string& silent) {
  TaskScheduler scheduler;
  for (int i = 0; i < kWorkers; ++i) {
    UpdateWorker(&scheduler, Worker(i), kStart);
  }
  BeginScheduling(&scheduler, kSchedulerFence, kStart);
  RunScheduler(&scheduler, kStart);
  AnswerRenewals(&scheduler, silent, kStart);
  RunScheduler(&scheduler, kStart);
  SetWorkersListedAt(&scheduler, kStart + milliseconds(1));
  return scheduler;
}

// Returns the processor time of the shortest of some passes that place tasks.
double ShortestPassMs(TaskScheduler* scheduler) {
  constexpr int kPasses = 10;
  double shortest = 1e9;
  TimePoint now = kStart + milliseconds(1);
  for (int i = 0; i < kPasses; ++i) {
    now += milliseconds(25);
    scheduler->placement_needed = true;
    const std::clock_t begin = std::clock();
    RunScheduler(scheduler, now);
    const std::clock_t spent = std::clock() - begin;
    shortest = std::min(shortest, 1e3 * static_cast<double>(spent) /
                                      static_cast<double>(CLOCKS_PER_SEC));
  }
  return shortest;
}

// Guards against a look at all workers for each job that waits for the workers'
// reports. After connections between daemons were reset, all jobs wait.
TEST(SchedulerCostTest, JobsThatWaitForReports) {
  const std::string silent = WorkerId(kWorkers - 1);
  TaskScheduler scheduler = MakeScheduler(silent);
  std::vector<std::string> former;
  former.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) former.push_back(WorkerId(i));
  for (int i = 0; i < kJobs; ++i) {
    StepJob job = Job(i);
    job.generation = 1;
    job.former_workers = former;
    SubmitJob(&scheduler, std::move(job), kStart, "");
  }
  const double pass = ShortestPassMs(&scheduler);
  fmt::print("ms per pass: {:.2f}\n", pass);
  EXPECT_EQ(scheduler.counts.starts, 0U);
  EXPECT_LT(pass, kLongestPassMs);
}

// Guards against a look at all workers for each waiting task while the workers
// with free capacity are avoided because they have failed tasks.
TEST(SchedulerCostTest, JobsThatWaitForHealthyWorkers) {
  TaskScheduler scheduler = MakeScheduler("");
  const TimePoint later = kStart + std::chrono::seconds(5);
  for (int i = 0; i < kWorkers; ++i) {
    RecordTaskEnd(&scheduler.health, WorkerId(i), TaskEnd::kNotStarted, false,
                  later);
  }
  for (int i = 0; i < kJobs; ++i) {
    SubmitJob(&scheduler, Job(i), kStart, "");
  }
  ASSERT_EQ(scheduler.queue.size(), static_cast<std::size_t>(kJobs));
  const double pass = ShortestPassMs(&scheduler);
  fmt::print("ms per pass: {:.2f}\n", pass);
  EXPECT_EQ(scheduler.counts.starts, 0U);
  EXPECT_LT(pass, kLongestPassMs);
}

}  // namespace
}  // namespace sequoiapath
