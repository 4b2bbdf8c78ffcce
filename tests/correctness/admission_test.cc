// Guards the admission decision: overload is refused before a start, and
// nothing is refused without evidence.

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

// 80 tasks of 100 ms wait for 8 busy slots: one second of work.
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
  AdmissionRequest patient = Request();
  patient.deadline = milliseconds(1100);
  EXPECT_FALSE(DecideAdmission({}, work, estimates, patient).has_value());
}

// Bulk work behind an urgent job must not count as its wait.
TEST(AdmissionTest, LowerPrioritiesDoNotDelay) {
  const auto estimates = Observed("check", milliseconds(100), 100);
  const WaitingWork work = SecondOfWork(Priority::kBulk);
  EXPECT_FALSE(DecideAdmission({}, work, estimates, Request()).has_value());
}

// A cold start, a burst that was not dispatched yet and an idle VM are no
// evidence of overload.
TEST(AdmissionTest, AdmitsOnTooLittleEvidence) {
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

// One team's backlog must not use up the queue of the others.
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

// 2% of slow tasks must show in the estimate without dominating it.
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
