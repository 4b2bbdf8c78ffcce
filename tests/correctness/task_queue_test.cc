// Tests the order of the task queue: priorities with minimum shares, teams by
// weight, and a single acquire call for all jobs with the same placement.

#include "sequoiapath/coordination/task_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace sequoiapath {
namespace {

bool AcceptAll(const TaskGroup& /*group*/) { return true; }

void Add(TaskQueue* queue, JobId job, const std::string& team, double weight,
         Priority priority, std::uint32_t tasks) {
  EnqueueGroup(queue, {job, team, weight, priority, {}, tasks});
}

// Dequeues up to `count` tasks and returns their number by job.
std::map<JobId, int> DequeueTasks(TaskQueue* queue, int count) {
  std::map<JobId, int> dequeued;
  for (int i = 0; i < count; ++i) {
    const auto task = DequeueTask(queue, AcceptAll);
    if (!task) break;
    ++dequeued[task->job];
  }
  return dequeued;
}

// Guards against a bulk job that waits without a bound, or that starts more
// tasks than its minimum share while more urgent jobs wait.
TEST(TaskQueueTest, LowerPrioritiesGetTheirMinimumShare) {
  TaskQueue queue;
  Add(&queue, 1, "a", 1, Priority::kUrgent, 1000);
  Add(&queue, 2, "a", 1, Priority::kNormal, 1000);
  Add(&queue, 3, "a", 1, Priority::kBulk, 1000);
  const auto dequeued = DequeueTasks(&queue, 400);
  EXPECT_NEAR(dequeued.at(2), 40, 4);
  EXPECT_NEAR(dequeued.at(3), 20, 3);
}

// Guards against task starts that are not in proportion to the teams' weights.
TEST(TaskQueueTest, TeamsShareByWeight) {
  TaskQueue queue;
  Add(&queue, 1, "a", 3, Priority::kNormal, 1000);
  Add(&queue, 2, "b", 1, Priority::kNormal, 1000);
  EXPECT_NEAR(DequeueTasks(&queue, 400).at(1), 300, 2);
}

// Guards against a burst of starts by a team that was idle before, which would
// delay the tasks of the other teams.
TEST(TaskQueueTest, TeamThatWasIdleGetsNoBurst) {
  TaskQueue queue;
  Add(&queue, 1, "a", 1, Priority::kNormal, 1000);
  DequeueTasks(&queue, 200);
  Add(&queue, 2, "b", 1, Priority::kNormal, 1000);
  EXPECT_NEAR(DequeueTasks(&queue, 100).at(1), 50, 2);
}

// Guards against a team getting more than its share by submitting one job after
// the other, so that none of its tasks waits in between.
TEST(TaskQueueTest, TeamWithoutWaitingTasksKeepsItsStartTag) {
  TaskQueue queue;
  Add(&queue, 1, "a", 1, Priority::kNormal, 1000);
  int of_b = 0;
  for (JobId job = 2; job < 102; ++job) {
    Add(&queue, job, "b", 1, Priority::kNormal, 1);
    const auto task = DequeueTask(&queue, AcceptAll);
    of_b += task->job != 1 ? 1 : 0;
  }
  EXPECT_NEAR(of_b, 50, 2);
}

// Guards against a single task that waits for a large job of its team, and
// against a large job that never ends because many single tasks overtake it.
TEST(TaskQueueTest, SmallJobsOvertakeALargeOneForABoundedTime) {
  TaskQueue queue;
  Add(&queue, 1, "a", 1, Priority::kNormal, 100);
  Add(&queue, 2, "a", 1, Priority::kNormal, 1);
  EXPECT_EQ(DequeueTask(&queue, AcceptAll)->job, 2U);
  int of_large = 0;
  // The large job is overtaken by 100 * kPassingFactor starts at most; 200 more
  // starts let it end.
  for (JobId job = 3; job < 1203; ++job) {
    Add(&queue, job, "a", 1, Priority::kNormal, 1);
    of_large += DequeueTask(&queue, AcceptAll)->job == 1 ? 1 : 0;
  }
  EXPECT_EQ(of_large, 100);
}

// Guards against a cost that grows with the number of jobs whose placement has
// no free worker.
TEST(TaskQueueTest, ManyJobsOfARefusedPlacementCostOneAttempt) {
  TaskQueue queue;
  for (JobId job = 0; job < 10'000; ++job) {
    EnqueueGroup(&queue, {job,
                          job % 2 == 0 ? "a" : "b",
                          1,
                          Priority::kNormal,
                          {{.cores = 4}, {}},
                          5});
  }
  EnqueueGroup(&queue, {10'000, "c", 1, Priority::kNormal, {}, 1});
  int attempts = 0;
  const auto acquire = [&attempts](const TaskGroup& group) {
    ++attempts;
    return group.team == "c";
  };
  const auto task =
      DequeueTask(&queue, acquire, [](const std::string&) { return true; });
  ASSERT_TRUE(task.has_value());
  EXPECT_EQ(task->job, 10'000U);
  EXPECT_LE(attempts, 2);
}

// Guards against a wrong number of waiting tasks after tasks were requeued and
// their job was removed, also when it is removed twice.
TEST(TaskQueueTest, RemovalAndReturnKeepTheCount) {
  TaskQueue queue;
  Add(&queue, 1, "a", 1, Priority::kNormal, 2);
  Add(&queue, 2, "a", 1, Priority::kNormal, 2);
  DequeueTasks(&queue, 4);
  EXPECT_EQ(queue.waiting, 0U);
  RequeueTask(&queue, {1, 1});
  EXPECT_EQ(queue.waiting, 1U);
  EXPECT_EQ(DequeueTask(&queue, AcceptAll)->index, 1U);
  RequeueTask(&queue, {1, 0});
  RemoveGroup(&queue, 1);
  RemoveGroup(&queue, 1);
  EXPECT_EQ(queue.waiting, 0U);
  EXPECT_FALSE(DequeueTask(&queue, AcceptAll).has_value());
}

// Guards against borrow requests that do not cover the needs of the waiting
// tasks, and against a cost that grows with the number of waiting jobs.
TEST(TaskQueueTest, WaitingTasksAreListedByTeamAndBounded) {
  TaskQueue queue;
  Add(&queue, 1, "a", 1, Priority::kNormal, 5);
  Add(&queue, 2, "a", 1, Priority::kNormal, 3);
  Add(&queue, 3, "b", 1, Priority::kUrgent, 1000);
  Add(&queue, 4, "b", 1, Priority::kUrgent, 1000);
  const auto demands = ListWaiting(queue, 10, 500);
  ASSERT_EQ(demands.size(), 2U);
  EXPECT_EQ(demands[0].team, "b");
  EXPECT_EQ(demands[0].tasks, 1000U);
  EXPECT_EQ(demands[1].team, "a");
  EXPECT_EQ(demands[1].tasks, 8U);
  EXPECT_EQ(ListWaiting(queue, 1, 500).size(), 1U);
}

}  // namespace
}  // namespace sequoiapath
