// Tests that the resources of a run count as used until a report of the worker
// shows that the run ended or can no longer start. Otherwise the scheduler
// starts more runs than the worker has capacity for.

#include "sequoiapath/coordination/worker_runs.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const TaskName kTask{"5c0e7a21d94b36f8", 0, 1};

WorkerRuns MakeWorker() {
  WorkerRuns worker;
  worker.description.id = "w1";
  worker.description.capacity = {16'000, 32'768, 0};
  worker.clock = WorkerTime(10'000);
  worker.clock_received_at = kStart;
  worker.clock_known = true;
  worker.started_at_ms = 7;
  return worker;
}

WorkerRun MakeRun(RunState state) {
  WorkerRun run;
  run.run = 1;
  run.demand = {6'000, 64, 0};
  run.state = state;
  run.lease_end = WorkerTime(10'950);
  run.ordered_at = kStart;
  run.confirmed_running_at = kStart;
  return run;
}

WorkerReport Report(WorkerTime clock) {
  WorkerReport report;
  report.clock = clock;
  report.started_at_ms = 7;
  return report;
}

TEST(WorkerRunsTest, ResourcesAreUsedFromTheStartOrderOn) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kStarting));
  EXPECT_EQ(FreeCapacity(worker).milli_cores, 10'000);
}

TEST(WorkerRunsTest, ListedEndFreesResourcesOnce) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kRunning));
  WorkerReport report = Report(WorkerTime(10'100));
  report.ended.push_back({4, kTask, 1, RunOutcome::kDone});
  const auto ended = ApplyReport(&worker, report, kStart + milliseconds(50),
                                 kStart + milliseconds(100));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].known);
  EXPECT_EQ(FreeCapacity(worker).milli_cores, 16'000);
  EXPECT_EQ(worker.last_seen_end, 4U);
  // The worker lists the end again until a renewal acknowledges it.
  EXPECT_TRUE(ApplyReport(&worker, report, kStart + milliseconds(60),
                          kStart + milliseconds(110))
                  .empty());
}

// Guards against ending a run because of a report that is older than the run:
// the report answers a renewal that was sent before the worker confirmed the
// run.
TEST(WorkerRunsTest, OldReportDoesNotEndANewRun) {
  WorkerRuns worker = MakeWorker();
  WorkerRun run = MakeRun(RunState::kRunning);
  run.confirmed_running_at = kStart + milliseconds(50);
  AddRun(&worker, kTask, run);
  EXPECT_TRUE(ApplyReport(&worker, Report(WorkerTime(10'050)),
                          kStart + milliseconds(20), kStart + milliseconds(60))
                  .empty());
  EXPECT_EQ(worker.runs.size(), 1U);
  EXPECT_EQ(ApplyReport(&worker, Report(WorkerTime(10'200)),
                        kStart + milliseconds(60), kStart + milliseconds(200))
                .size(),
            1U);
}

// Guards against freeing the resources of a start order that may still arrive.
// Without a reply, they are used until the run was stopped or the lease in the
// order has expired on the worker's clock.
TEST(WorkerRunsTest, UnansweredStartIsStoppedBeforeItsResourcesAreFree) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kUnknown));
  EXPECT_TRUE(ApplyReport(&worker, Report(WorkerTime(10'450)),
                          kStart + milliseconds(400),
                          kStart + milliseconds(450))
                  .empty());
  EXPECT_EQ(TakeRunsToStop(&worker).size(), 1U);
  EXPECT_TRUE(TakeRunsToStop(&worker).empty());
  EXPECT_EQ(FreeCapacity(worker).milli_cores, 10'000);
  worker.runs.at(kTask).stop_in_flight = false;
  worker.runs.at(kTask).stopped_at = kStart + milliseconds(460);
  EXPECT_EQ(ApplyReport(&worker, Report(WorkerTime(10'500)),
                        kStart + milliseconds(470), kStart + milliseconds(500))
                .size(),
            1U);
}

// Guards against occupying the resources of an unanswered start order after the
// worker can no longer accept it.
TEST(WorkerRunsTest, UnansweredStartIsOverAfterItsLease) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kUnknown));
  EXPECT_EQ(ApplyReport(&worker, Report(WorkerTime(10'951)),
                        kStart + milliseconds(900), kStart + milliseconds(1000))
                .size(),
            1U);
}

// Guards against freeing the resources of an unanswered start order when the
// worker restarts: the new process has a clock of its own and could accept it.
TEST(WorkerRunsTest, UnansweredStartOutlivesARestartOfTheWorker) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kUnknown));
  AddRun(&worker, TaskName{"5c0e7a21d94b36f8", 0, 2},
         MakeRun(RunState::kRunning));
  WorkerReport report = Report(WorkerTime(50));
  report.started_at_ms = 8;
  const auto ended = ApplyReport(&worker, report, kStart + milliseconds(50),
                                 kStart + milliseconds(100));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].task.index, 2U);
  EXPECT_EQ(worker.runs.count(kTask), 1U);
  EXPECT_EQ(TakeRunsToStop(&worker).size(), 1U);
}

// Guards against a second start of a task. A restarted worker may accept a
// start order before its first report arrives; that report does not list the
// run.
TEST(WorkerRunsTest, RunThatANewProcessAcceptedOutlivesTheRestart) {
  WorkerRuns worker = MakeWorker();
  WorkerRun run = MakeRun(RunState::kRunning);
  run.confirmed_running_at = kStart + milliseconds(60);
  AddRun(&worker, kTask, run);
  WorkerReport report = Report(WorkerTime(3));
  report.started_at_ms = 8;
  EXPECT_TRUE(ApplyReport(&worker, report, kStart + milliseconds(50),
                          kStart + milliseconds(61))
                  .empty());
  report.running.push_back({kTask, 1});
  EXPECT_TRUE(ApplyReport(&worker, report, kStart + milliseconds(70),
                          kStart + milliseconds(75))
                  .empty());
  report.running.clear();
  EXPECT_EQ(ApplyReport(&worker, report, kStart + milliseconds(80),
                        kStart + milliseconds(85))
                .size(),
            1U);
}

// Guards against exceeding the worker's capacity. A start order that was sent
// to the previous process may arrive seconds late, after its run was recorded
// as ended, and the new process would start it without a higher fencing token.
TEST(WorkerRunsTest, FenceRisesWhenTheWorkerRestarts) {
  WorkerRuns worker = MakeWorker();
  worker.fence = FencingToken{500} << 11;
  WorkerReport report = Report(WorkerTime(3));
  ApplyReport(&worker, report, kStart, kStart);
  EXPECT_EQ(worker.fence, FencingToken{500} << 11);
  report.started_at_ms = 8;
  ApplyReport(&worker, report, kStart, kStart);
  EXPECT_GT(worker.fence, FencingToken{500} << 11);
}

// Guards against ignoring the resources of a run that an earlier scheduler
// started once its job is known.
TEST(WorkerRunsTest, UnknownRunBecomesAnOrphanAndCanBeAdopted) {
  WorkerRuns worker = MakeWorker();
  WorkerReport report = Report(WorkerTime(10'100));
  report.running.push_back({kTask, 3});
  ApplyReport(&worker, report, kStart, kStart + milliseconds(100));
  EXPECT_EQ(worker.orphans, 1U);
  JobStep step;
  step.demand = {6'000, 64, 0};
  AdoptRun(&worker, kTask, step);
  EXPECT_EQ(worker.orphans, 0U);
  EXPECT_EQ(FreeCapacity(worker).milli_cores, 10'000);
}

// Guards against ending runs early: a worker whose clock runs slow ends them
// later than the lease says.
TEST(WorkerRunsTest, LatestRunExpiryAllowsForASlowClock) {
  WorkerRuns worker = MakeWorker();
  worker.last_lease_end = WorkerTime(10'950);
  const TimePoint expiry = LatestRunExpiry(worker, LeaseTimes{}, kStart);
  EXPECT_GE(expiry - kStart, milliseconds(970));
  AddRun(&worker, kTask, MakeRun(RunState::kRunning));
  worker.latest_run_expiry = expiry;
  EXPECT_TRUE(EndExpiredRuns(&worker, expiry - milliseconds(1)).empty());
  EXPECT_EQ(EndExpiredRuns(&worker, expiry).size(), 1U);
  EXPECT_EQ(FreeCapacity(worker).milli_cores, 16'000);
}

}  // namespace
}  // namespace sequoiapath
