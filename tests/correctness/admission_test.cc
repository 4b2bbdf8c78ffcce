// Tests the admission decision: under overload a job is refused before it
// starts; a job is admitted if there are too few data to decide. Also tests the
// run time estimates on which the decision is based.

#include "sequoiapath/coordination/admission.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RunTimeEstimates Observed(const std::string& service, Duration run_time,
                          int samples) {
  RunTimeEstimates estimates;
  for (int i = 0; i < samples; ++i) {
    RecordRunTime(&estimates, service, run_time);
  }
  return estimates;
}

// Returns 80 waiting tasks. At 100 ms each on 8 slots they take one second.
WaitingWork SecondOfWork(Priority priority) {
  WaitingWork work;
  AddWaiting(&work, priority, "check", "clerks", 80);
  return work;
}

AdmissionRequest Request() {
  return {.service = "check",
          .team = "clerks",
          .priority = Priority::kNormal,
          .tasks = 1,
          .deadline = milliseconds(1050),
          .slots_in_use = 8,
          .saturated = true};
}

// Guards against the start of a job that is expected to exceed its deadline,
// and against a refusal of one that is expected to meet it.
TEST(AdmissionTest, RefusesJobThatCannotEndInTime) {
  const auto estimates = Observed("check", milliseconds(100), 100);
  const WaitingWork work = SecondOfWork(Priority::kNormal);
  const auto wait = ExpectedWait(work, estimates, Request());
  ASSERT_TRUE(wait.has_value());
  EXPECT_EQ(*wait, seconds(1));
  const auto refused = DecideAdmission({}, work, estimates, Request());
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->reason, Reason::kOverloaded);
  EXPECT_EQ(refused->verdict, Verdict::kNotRun);
  EXPECT_EQ(refused->retry_after, milliseconds(50));
  AdmissionRequest later_deadline = Request();
  later_deadline.deadline = milliseconds(1100);
  EXPECT_FALSE(
      DecideAdmission({}, work, estimates, later_deadline).has_value());
}

// Guards against a refusal because of waiting tasks of a less urgent priority,
// which do not delay the job.
TEST(AdmissionTest, LowerPrioritiesDoNotDelay) {
  const auto estimates = Observed("check", milliseconds(100), 100);
  const WaitingWork work = SecondOfWork(Priority::kBulk);
  EXPECT_FALSE(DecideAdmission({}, work, estimates, Request()).has_value());
}

// Guards against a refusal without overload: after a start with too few samples
// of the run time, during a burst that has not been dispatched yet, and on an
// idle VM.
TEST(AdmissionTest, AdmitsJobWithoutEnoughData) {
  const WaitingWork work = SecondOfWork(Priority::kNormal);
  const auto few = Observed("check", seconds(5), 19);
  EXPECT_FALSE(DecideAdmission({}, work, few, Request()).has_value());
  const auto many = Observed("check", seconds(5), 100);
  EXPECT_TRUE(DecideAdmission({}, work, many, Request()).has_value());
  AdmissionRequest burst = Request();
  burst.saturated = false;
  EXPECT_FALSE(DecideAdmission({}, work, many, burst).has_value());
  AdmissionRequest idle = Request();
  idle.slots_in_use = 0;
  EXPECT_FALSE(DecideAdmission({}, work, many, idle).has_value());
}

// Guards against a team whose waiting tasks fill the queue, so that the jobs of
// other teams are refused.
TEST(AdmissionTest, BoundsWaitingTasksInTotalAndPerTeam) {
  const AdmissionLimits limits{.max_waiting_tasks = 100,
                               .max_waiting_tasks_per_team = 80};
  WaitingWork work = SecondOfWork(Priority::kNormal);
  AdmissionRequest request = Request();
  const auto refused = DecideAdmission(limits, work, {}, request);
  ASSERT_TRUE(refused.has_value());
  EXPECT_TRUE(refused->retry_after.has_value());
  request.team = "drivers";
  request.tasks = 20;
  EXPECT_FALSE(DecideAdmission(limits, work, {}, request).has_value());
  request.tasks = 21;
  EXPECT_TRUE(DecideAdmission(limits, work, {}, request).has_value());
  RemoveWaiting(&work, Priority::kNormal, "check", "clerks", 80);
  EXPECT_EQ(work.total, 0U);
  EXPECT_TRUE(work.by_team.empty());
}

// Guards against estimates that differ from the mean and deviation of steady
// run times, or that do not follow a lasting change.
TEST(RunTimeEstimateTest, FollowsMeanAndDeviation) {
  RunTimeEstimates estimates;
  for (int i = 0; i < 1000; ++i) {
    RecordRunTime(&estimates, "check", milliseconds(i % 2 == 0 ? 90 : 110));
  }
  const auto steady = FindEstimate(estimates, "check");
  ASSERT_TRUE(steady.has_value());
  EXPECT_NEAR(static_cast<double>(steady->mean / milliseconds(1)), 100, 2);
  EXPECT_NEAR(static_cast<double>(steady->deviation / milliseconds(1)), 10, 2);
  for (int i = 0; i < 200; ++i) {
    RecordRunTime(&estimates, "check", milliseconds(500));
  }
  EXPECT_GT(FindEstimate(estimates, "check")->mean, milliseconds(490));
  EXPECT_FALSE(FindEstimate(estimates, "refund").has_value());
}

}  // namespace
}  // namespace sequoiapath
