// Tests the history of crashes: merging, counting, forgetting and the selection
// of the records that another daemon lacks.

#include "sequoiapath/coordination/crash_history.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kMany = 100;

TaskCrash Crash(const std::string& job, std::uint32_t index,
                const std::string& worker, std::int64_t started_at_ms = 1) {
  return {.task = {job, 0, index},
          .worker = worker,
          .started_at_ms = started_at_ms};
}

// Guards against a count that rises when two daemons report the same crash, or
// when one repeats its message.
TEST(CrashHistoryTest, SameCrashCountsOnce) {
  CrashHistory history;
  EXPECT_TRUE(AddCrash(&history, Crash("j", 0, "w1"), "", kStart));
  EXPECT_FALSE(AddCrash(&history, Crash("j", 0, "w1"), "a/1", kStart));
  EXPECT_EQ(CrashCount(history, {"j", 0, 0}), 1u);
  EXPECT_EQ(history.records.size(), 1u);
}

// Guards against a second crash of a worker that is taken for the first one
// because the worker kept its id.
TEST(CrashHistoryTest, CrashOfTheNextProcessOfAWorkerCounts) {
  CrashHistory history;
  AddCrash(&history, Crash("j", 0, "w1", 1), "", kStart);
  AddCrash(&history, Crash("j", 0, "w1", 2), "", kStart);
  EXPECT_EQ(CrashCount(history, {"j", 0, 0}), 2u);
}

// Guards against a job that is given up because each of two tasks has crashed
// one worker.
TEST(CrashHistoryTest, CrashesOfOtherTasksDoNotAddUp) {
  CrashHistory history;
  AddCrash(&history, Crash("j", 0, "w1"), "", kStart);
  AddCrash(&history, Crash("j", 1, "w2"), "", kStart);
  AddCrash(&history, Crash("k", 0, "w3"), "", kStart);
  EXPECT_TRUE(HasCrashes(history, "j"));
  EXPECT_FALSE(HasCrashes(history, "i"));
  EXPECT_EQ(FindTaskToGiveUp(history, "j"), nullptr);
  TaskCrash alone = Crash("j", 1, "w4");
  alone.alone = true;
  AddCrash(&history, alone, "", kStart);
  ASSERT_NE(FindTaskToGiveUp(history, "j"), nullptr);
  EXPECT_EQ(FindTaskToGiveUp(history, "j")->index, 1u);
  EXPECT_EQ(FindTaskToGiveUp(history, "k"), nullptr);
}

// Guards against a healthy task that is given up because it ran beside other
// tasks that crashed workers.
TEST(CrashHistoryTest, TaskThatNeverRanAloneIsGivenUpAfterThreeCrashes) {
  CrashHistory history;
  AddCrash(&history, Crash("j", 0, "w1"), "", kStart);
  AddCrash(&history, Crash("j", 0, "w2"), "", kStart);
  EXPECT_EQ(FindTaskToGiveUp(history, "j"), nullptr);
  AddCrash(&history, Crash("j", 0, "w3"), "", kStart);
  EXPECT_NE(FindTaskToGiveUp(history, "j"), nullptr);
}

// Guards against a healthy task that is given up for crashes of workers on
// which it had not started, and against starts without end if no start of a
// task that crashes workers is ever acknowledged.
TEST(CrashHistoryTest, CrashBeforeTheStartWasAcknowledgedCountsLess) {
  CrashHistory history;
  TaskCrash unconfirmed = Crash("j", 0, "w1");
  unconfirmed.confirmed = false;
  unconfirmed.alone = true;
  AddCrash(&history, unconfirmed, "", kStart);
  EXPECT_EQ(CrashCount(history, {"j", 0, 0}), 1u);
  TaskCrash confirmed = Crash("j", 0, "w2");
  confirmed.alone = true;
  AddCrash(&history, confirmed, "", kStart);
  EXPECT_EQ(FindTaskToGiveUp(history, "j"), nullptr);
  for (const char* worker : {"w3", "w4"}) {
    EXPECT_EQ(FindTaskToGiveUp(history, "j"), nullptr);
    unconfirmed.worker = worker;
    AddCrash(&history, unconfirmed, "", kStart);
  }
  EXPECT_NE(FindTaskToGiveUp(history, "j"), nullptr);
}

// Guards against daemons that disagree about giving up a task, depending on the
// order in which two schedulers reported the same crash.
TEST(CrashHistoryTest, AcknowledgedStartReplacesAnUnacknowledgedOne) {
  CrashHistory history;
  TaskCrash crash = Crash("j", 0, "w1");
  crash.confirmed = false;
  EXPECT_TRUE(AddCrash(&history, crash, "", kStart));
  crash.confirmed = true;
  crash.alone = true;
  EXPECT_TRUE(AddCrash(&history, crash, "a/1", kStart));
  EXPECT_FALSE(AddCrash(&history, crash, "a/1", kStart));
  EXPECT_EQ(CrashCount(history, {"j", 0, 0}), 1u);
  AddCrash(&history, Crash("j", 0, "w2"), "", kStart);
  EXPECT_NE(FindTaskToGiveUp(history, "j"), nullptr);
}

// Guards against a cut-off worker that counts as crashed after it has answered.
TEST(CrashHistoryTest, WithdrawnCrashDoesNotCount) {
  CrashHistory history;
  AddCrash(&history, Crash("j", 0, "w1", 1), "", kStart);
  AddCrash(&history, Crash("j", 0, "w1", 2), "", kStart);
  WithdrawCrash(&history, "w1", 2);
  EXPECT_EQ(CrashCount(history, {"j", 0, 0}), 1u);
  EXPECT_EQ(history.records.size(), 1u);
}

// Guards against memory that grows with every crash.
TEST(CrashHistoryTest, OldAndSurplusRecordsAreRemoved) {
  CrashHistory history;
  history.max_records = 2;
  AddCrash(&history, Crash("i", 0, "w1"), "", kStart);
  AddCrash(&history, Crash("j", 0, "w1"), "", kStart);
  AddCrash(&history, Crash("k", 0, "w1"), "", kStart + milliseconds(1));
  EXPECT_FALSE(HasCrashes(history, "i"));
  EXPECT_TRUE(HasCrashes(history, "j"));
  RemoveOldCrashes(&history, kStart + history.max_age + milliseconds(1));
  EXPECT_FALSE(HasCrashes(history, "j"));
  EXPECT_TRUE(HasCrashes(history, "k"));
  EXPECT_EQ(history.records.size(), 1u);
}

// Guards against records that circulate between daemons for ever: the age of a
// crash counts from its first notice, not from each message.
TEST(CrashHistoryTest, AgeIncludesTheTimeAtOtherDaemons) {
  CrashHistory history;
  TaskCrash crash = Crash("j", 0, "w1");
  crash.age = std::chrono::duration_cast<milliseconds>(history.max_age);
  EXPECT_TRUE(AddCrash(&history, crash, "a/1", kStart));
  RemoveOldCrashes(&history, kStart + milliseconds(1));
  EXPECT_FALSE(HasCrashes(history, "j"));
  crash.age += milliseconds(1);
  EXPECT_FALSE(AddCrash(&history, crash, "a/1", kStart));
}

// Guards against records that are returned to their sender, and against a
// daemon that misses records because one message cannot hold all of them.
TEST(CrashHistoryTest, EachDaemonGetsTheRecordsThatItLacks) {
  CrashHistory history;
  AddCrash(&history, Crash("i", 0, "w1"), "", kStart);
  AddCrash(&history, Crash("j", 0, "w1"), "a/1", kStart);
  AddCrash(&history, Crash("k", 0, "w1"), "", kStart);
  std::uint64_t sequence = 0;
  auto crashes =
      CrashesAfter(history, &sequence, "a/1", 1, kStart + milliseconds(7));
  ASSERT_EQ(crashes.size(), 1u);
  EXPECT_EQ(crashes[0].task.job, "i");
  EXPECT_EQ(crashes[0].age, milliseconds(7));
  crashes = CrashesAfter(history, &sequence, "a/1", kMany, kStart);
  ASSERT_EQ(crashes.size(), 1u);
  EXPECT_EQ(crashes[0].task.job, "k");
  EXPECT_TRUE(CrashesAfter(history, &sequence, "a/1", kMany, kStart).empty());
  sequence = 0;
  EXPECT_EQ(CrashesAfter(history, &sequence, "b/1", kMany, kStart).size(), 3u);
}

}  // namespace
}  // namespace sequoiapath
