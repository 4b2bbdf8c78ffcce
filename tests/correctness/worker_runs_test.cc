// Guards the account of a worker's room: a run holds its room until the
// worker's lists show that it ended or can never start.

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
  worker.clock_at = kStart;
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
  run.confirmed_at = kStart;
  return run;
}

WorkerReport Report(WorkerTime clock) {
  WorkerReport report;
  report.clock = clock;
  report.started_at_ms = 7;
  return report;
}

TEST(WorkerRunsTest, RoomIsTakenFromTheStartOrderOn) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kStarting));
  EXPECT_EQ(FreeRoom(worker).milli_cores, 10'000);
}

TEST(WorkerRunsTest, ListedEndFreesTheRoomOnce) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kRunning));
  WorkerReport report = Report(WorkerTime(10'100));
  report.ended.push_back({4, kTask, 1, RunOutcome::kDone});
  const auto ended = ApplyReport(&worker, report, kStart + milliseconds(50),
                                 kStart + milliseconds(100));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].known);
  EXPECT_EQ(FreeRoom(worker).milli_cores, 16'000);
  EXPECT_EQ(worker.last_seen_end, 4U);
  // The worker repeats the end until it is told that it was seen.
  EXPECT_TRUE(ApplyReport(&worker, report, kStart + milliseconds(60),
                          kStart + milliseconds(110))
                  .empty());
}

// A reply to a hold that was sent before the run was confirmed may be older
// than the run.
TEST(WorkerRunsTest, OldReportDoesNotEndANewRun) {
  WorkerRuns worker = MakeWorker();
  WorkerRun run = MakeRun(RunState::kRunning);
  run.confirmed_at = kStart + milliseconds(50);
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

// An order without a reply may still arrive: its room is held until it was
// stopped or its lease has ended on the worker's clock.
TEST(WorkerRunsTest, UnansweredStartIsStoppedBeforeItsRoomIsFree) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kUnknown));
  EXPECT_TRUE(ApplyReport(&worker, Report(WorkerTime(10'450)),
                          kStart + milliseconds(400),
                          kStart + milliseconds(450))
                  .empty());
  EXPECT_EQ(TakeStops(&worker).size(), 1U);
  EXPECT_TRUE(TakeStops(&worker).empty());
  EXPECT_EQ(FreeRoom(worker).milli_cores, 10'000);
  worker.runs.at(kTask).stop_in_flight = false;
  worker.runs.at(kTask).stopped_at = kStart + milliseconds(460);
  EXPECT_EQ(ApplyReport(&worker, Report(WorkerTime(10'500)),
                        kStart + milliseconds(470), kStart + milliseconds(500))
                .size(),
            1U);
}

TEST(WorkerRunsTest, UnansweredStartIsOverAfterItsLease) {
  WorkerRuns worker = MakeWorker();
  AddRun(&worker, kTask, MakeRun(RunState::kUnknown));
  EXPECT_EQ(ApplyReport(&worker, Report(WorkerTime(10'951)),
                        kStart + milliseconds(900), kStart + milliseconds(1000))
                .size(),
            1U);
}

// The new process counts its clock anew, so the old order could be accepted.
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
  EXPECT_EQ(TakeStops(&worker).size(), 1U);
}

// A restarted worker may accept a start before its first list arrives. If that
// run were taken for lost, the task would start a second time.
TEST(WorkerRunsTest, RunThatANewProcessAcceptedOutlivesTheRestart) {
  WorkerRuns worker = MakeWorker();
  WorkerRun run = MakeRun(RunState::kRunning);
  run.confirmed_at = kStart + milliseconds(60);
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

// An order to the former process may arrive seconds late, when its run was long
// taken for ended; the new process would start it beyond its room.
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
  EXPECT_EQ(FreeRoom(worker).milli_cores, 10'000);
}

// A lapse is concluded only when even a slow clock has passed the lease.
TEST(WorkerRunsTest, LapseAllowsForASlowClock) {
  WorkerRuns worker = MakeWorker();
  worker.last_lease_end = WorkerTime(10'950);
  const TimePoint lapse = LapseTime(worker, LeaseTimes{}, kStart);
  EXPECT_GE(lapse - kStart, milliseconds(970));
  AddRun(&worker, kTask, MakeRun(RunState::kRunning));
  worker.lapse_at = lapse;
  EXPECT_TRUE(EndLapsedRuns(&worker, lapse - milliseconds(1)).empty());
  EXPECT_EQ(EndLapsedRuns(&worker, lapse).size(), 1U);
  EXPECT_EQ(FreeRoom(worker).milli_cores, 16'000);
}

}  // namespace
}  // namespace sequoiapath
