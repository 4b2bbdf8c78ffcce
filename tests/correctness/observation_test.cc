// Guards against answers that are not counted exactly once, and late or failed
// answers that are missing in the late log or recorded there without their
// summary.

#include "sequoiapath/state/observation.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

AnsweredJob Job(milliseconds response_time, milliseconds longest_run) {
  AnsweredJob job;
  job.team = "depot-clerks";
  job.service = "label-check";
  job.tasks = 2;
  job.response_time = response_time;
  job.deadline = milliseconds(15'000);
  job.observed.messages = 2;
  ObserveTask(&job.observed, longest_run);
  ObserveTask(&job.observed, milliseconds(1));
  return job;
}

TEST(ObservationTest, IdealIsTheLongestTaskAndPromptAnswersAreNotLogged) {
  Observer observer;
  ObserveAnswer(&observer, Job(milliseconds(150), milliseconds(100)),
                {"r1", JobResults{}}, TimePoint(), {});
  EXPECT_TRUE(observer.late_log.entries.empty());
  EXPECT_DOUBLE_EQ(observer.metrics.response_over_ideal.sum, 1.5);
  EXPECT_EQ(observer.metrics.by_team["depot-clerks"].complete, 1u);
}

TEST(ObservationTest, LateAndFailedAnswersAreLoggedWithTheirText) {
  Observer observer;
  ObserveAnswer(&observer, Job(milliseconds(900), milliseconds(100)),
                {"late", JobResults{}}, TimePoint(), {});
  AnsweredJob refused = Job(milliseconds(1), milliseconds(0));
  refused.callers_gone = 1;
  ObserveAnswer(&observer, refused,
                {"refused",
                 Failure{Verdict::kNotRun, Reason::kOverloaded,
                         RetryAdvice::kNewSequence, milliseconds(70), "queue"}},
                TimePoint(), {});
  ASSERT_EQ(observer.late_log.entries.size(), 2u);
  EXPECT_EQ(observer.late_log.entries[0].answer_summary, "200 complete");
  EXPECT_FALSE(observer.late_log.entries[0].verdict.has_value());
  EXPECT_EQ(observer.late_log.entries[1].answer_summary,
            "429 not_run, overloaded, retry new_sequence after 70 ms");
  EXPECT_EQ(observer.late_log.entries[1].callers_gone, 1u);
  EXPECT_EQ(observer.metrics.by_service["label-check"].late, 1u);
}

}  // namespace
}  // namespace sequoiapath
