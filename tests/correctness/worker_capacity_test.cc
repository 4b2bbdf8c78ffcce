// Guards against starts beyond a capacity that has shrunk: the capacity of an
// outdated record or report must not count, and neither must that of a former
// process of the worker.

#include "sequoiapath/coordination/worker_capacity.h"

#include <gtest/gtest.h>

#include <optional>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kProcess = 70;  // Start time of the worker's process.
const Resources kLarge{16'000, 32'768, 2};
const Resources kSmall{4'000, 8'192, 0};

// A worker whose record was written by the process that started at
// `started_at_ms`, when its clock was `clock`.
WorkerRuns MakeWorker(const Resources& capacity,
                      std::optional<WorkerTime> clock = std::nullopt,
                      std::int64_t started_at_ms = kProcess) {
  WorkerRuns worker;
  worker.description.id = "w1";
  worker.description.capacity = capacity;
  worker.description.started_at_ms = started_at_ms;
  worker.description.clock = clock;
  return worker;
}

void Report(WorkerRuns* worker, WorkerTime clock,
            std::optional<Resources> capacity,
            std::int64_t started_at_ms = kProcess) {
  WorkerReport report;
  report.clock = clock;
  report.started_at_ms = started_at_ms;
  report.capacity = capacity;
  ApplyReport(worker, report, kStart + clock, kStart + clock);
}

TEST(WorkerCapacityTest, RecordCountsWithoutACapacityInTheReports) {
  WorkerRuns worker = MakeWorker(kLarge);
  EXPECT_EQ(CurrentCapacity(worker), kLarge);
  Report(&worker, WorkerTime(100), std::nullopt);
  EXPECT_EQ(CurrentCapacity(worker), kLarge);
  worker.description.capacity = kSmall;
  EXPECT_EQ(CurrentCapacity(worker), kSmall);
}

// Guards against a capacity that is known only from the store, which may be
// unavailable.
TEST(WorkerCapacityTest, ReportShrinksAndGrowsTheCapacity) {
  WorkerRuns worker = MakeWorker(kLarge);
  Report(&worker, WorkerTime(100), kSmall);
  EXPECT_EQ(CurrentCapacity(worker), kSmall);
  EXPECT_EQ(FreeCapacity(worker), kSmall);
  Report(&worker, WorkerTime(200), kLarge);
  EXPECT_EQ(CurrentCapacity(worker), kLarge);
}

TEST(WorkerCapacityTest, NewerOfRecordAndReportCounts) {
  WorkerRuns worker = MakeWorker(kLarge, WorkerTime(90));
  Report(&worker, WorkerTime(100), kSmall);
  EXPECT_EQ(CurrentCapacity(worker), kSmall);
  worker.description.clock = WorkerTime(110);
  EXPECT_EQ(CurrentCapacity(worker), kLarge);
  worker.description.capacity = kSmall;
  Report(&worker, WorkerTime(120), kLarge);
  EXPECT_EQ(CurrentCapacity(worker), kLarge);
}

// Guards against a capacity from an earlier report that replaces the one in a
// later record. The record has no clock, so their order is not known.
TEST(WorkerCapacityTest, SmallerCapacityCountsIfTheOrderIsUnknown) {
  WorkerRuns worker = MakeWorker(kLarge);
  Report(&worker, WorkerTime(100), Resources{16'000, 8'192, 2});
  Report(&worker, WorkerTime(200), std::nullopt);
  worker.description.capacity = {4'000, 32'768, 0};
  EXPECT_EQ(CurrentCapacity(worker), (Resources{4'000, 8'192, 0}));
}

// Guards against a capacity that a former process of the worker has reported,
// and against an older process's record that replaces a report.
TEST(WorkerCapacityTest, CapacityOfAFormerProcessDoesNotCount) {
  WorkerRuns worker = MakeWorker(kSmall, WorkerTime(90'000));
  Report(&worker, WorkerTime(91'000), kLarge);
  Report(&worker, WorkerTime(50), std::nullopt, kProcess + 1);
  EXPECT_EQ(CurrentCapacity(worker), kSmall);
  Report(&worker, WorkerTime(100), kLarge, kProcess + 1);
  EXPECT_EQ(CurrentCapacity(worker), kLarge);
  worker.description.capacity = kLarge;
  Report(&worker, WorkerTime(150), kSmall, kProcess + 1);
  EXPECT_EQ(CurrentCapacity(worker), kSmall);
}

// Guards against a restart that only the record shows so far.
TEST(WorkerCapacityTest, RecordOfALaterProcessShrinksTheCapacity) {
  WorkerRuns worker = MakeWorker(kLarge, WorkerTime(90'000));
  Report(&worker, WorkerTime(91'000), kLarge);
  worker.description =
      MakeWorker(kSmall, WorkerTime(5), kProcess + 1).description;
  EXPECT_EQ(CurrentCapacity(worker), kSmall);
}

// Guards against a start on a worker that uses more than its capacity, and
// against freeing the resources of a run that is being stopped.
TEST(WorkerCapacityTest, ShrunkWorkerHasNegativeFreeCapacity) {
  const TaskName task{"5c0e7a21d94b36f8", 0, 1};
  WorkerRuns worker = MakeWorker(kLarge);
  WorkerRun run;
  run.run = 1;
  run.demand = {6'000, 64, 1};
  run.state = RunState::kRunning;
  run.stopped_at = kStart;
  AddRun(&worker, task, run);
  WorkerReport report;
  report.clock = WorkerTime(100);
  report.started_at_ms = kProcess;
  report.capacity = kSmall;
  report.running.push_back({task, 1});
  ApplyReport(&worker, report, kStart + milliseconds(10),
              kStart + milliseconds(100));
  EXPECT_EQ(FreeCapacity(worker), (Resources{-2'000, 8'128, -1}));
  EXPECT_FALSE(Fits({1, 1, 0}, FreeCapacity(worker)));
}

}  // namespace
}  // namespace sequoiapath
