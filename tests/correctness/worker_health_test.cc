// Tests which workers may receive tasks: outliers are ejected, failures that
// all workers share eject none, and an ejected worker is readmitted only after
// a successful trial. Also tests ConnectionHealth and RetryBudget.

#include "sequoiapath/coordination/worker_health.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>

#include "sequoiapath/coordination/connection_health.h"
#include "sequoiapath/coordination/retry_budget.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::string Name(int worker) { return fmt::format("w{}", worker); }

// Ends one task on each of `workers` workers. The task fails on the first
// `failing` workers and succeeds on the others.
void EndOneTaskEach(WorkerHealth* health, int workers, int failing,
                    TimePoint now) {
  for (int i = 0; i < workers; ++i) {
    RecordTaskEnd(health, Name(i),
                  i < failing ? TaskEnd::kFailed : TaskEnd::kSucceeded,
                  /*trial=*/false, now);
  }
}

TEST(WorkerHealthTest, EjectsOutlierAndReadmitsItAfterTrial) {
  WorkerHealth health;
  for (int i = 0; i < 10; ++i) EndOneTaskEach(&health, 10, 1, kStart);
  EXPECT_EQ(EjectedWorkers(health), 1U);
  EXPECT_FALSE(IsEligible(health, "w0", true, kStart));
  EXPECT_TRUE(IsEligible(health, "w1", false, kStart));
  const TimePoint due = kStart + health.limits.first_ejection;
  EXPECT_FALSE(IsEligible(health, "w0", /*idempotent=*/false, due));
  ASSERT_TRUE(IsEligible(health, "w0", /*idempotent=*/true, due));
  EXPECT_EQ(NextEligibility(health, kStart), due);
  ASSERT_TRUE(RecordTaskSent(&health, "w0"));
  EXPECT_FALSE(IsEligible(health, "w0", true, due)) << "a second trial";
  // A failed trial doubles the time to the next one.
  RecordTaskEnd(&health, "w0", TaskEnd::kFailed, /*trial=*/true, due);
  const TimePoint second = due + 2 * health.limits.first_ejection;
  EXPECT_FALSE(IsEligible(health, "w0", true, second - milliseconds(1)));
  ASSERT_TRUE(IsEligible(health, "w0", true, second));
  ASSERT_TRUE(RecordTaskSent(&health, "w0"));
  RecordTaskEnd(&health, "w0", TaskEnd::kSucceeded, /*trial=*/true, second);
  EXPECT_TRUE(IsEligible(health, "w0", false, second));
}

// Guards against ejecting workers because of a job with bad payloads, whose
// tasks fail on every worker.
TEST(WorkerHealthTest, CommonFailuresEjectNoWorker) {
  for (const double failing : {0.2, 0.5, 0.9, 1.0}) {
    std::mt19937_64 random(11);
    std::bernoulli_distribution fails(failing);
    WorkerHealth health;
    std::size_t greatest = 0;
    for (int i = 0; i < 5000; ++i) {
      const TimePoint now = kStart + milliseconds(4) * i;
      RecordTaskEnd(&health, Name(i % 50),
                    fails(random) ? TaskEnd::kFailed : TaskEnd::kSucceeded,
                    false, now);
      greatest = std::max(greatest, EjectedWorkers(health));
    }
    // Random failures may look like an outlier in rare cases.
    EXPECT_LE(greatest, 1U) << "failing share " << failing;
  }
}

// Guards against a loss of capacity by ejecting too many workers when many of
// them fail.
TEST(WorkerHealthTest, EjectsAtMostAFifth) {
  WorkerHealth health;
  for (int i = 0; i < 50; ++i) EndOneTaskEach(&health, 10, 4, kStart);
  EXPECT_EQ(EjectedWorkers(health), 2U);
  WorkerHealth few;
  for (int i = 0; i < 50; ++i) EndOneTaskEach(&few, 4, 1, kStart);
  EXPECT_EQ(EjectedWorkers(few), 0U);
}

// Guards against sending tasks immediately to a worker that has just refused
// them.
TEST(WorkerHealthTest, AvoidsRefusingWorkerForAGrowingTime) {
  WorkerHealth health;
  TimePoint now = kStart;
  Duration previous{0};
  for (int i = 0; i < 5; ++i) {
    RecordTaskEnd(&health, "w0", TaskEnd::kNotStarted, false, now);
    // A second refusal at the same time does not double the avoidance time.
    RecordTaskEnd(&health, "w0", TaskEnd::kNotStarted, false, now);
    ASSERT_FALSE(IsEligible(health, "w0", true, now));
    const auto next = NextEligibility(health, now);
    ASSERT_TRUE(next.has_value());
    EXPECT_GT(*next - now, previous);
    previous = *next - now;
    now = *next;
    EXPECT_TRUE(IsEligible(health, "w0", true, now));
  }
  RecordTaskEnd(&health, "w0", TaskEnd::kSucceeded, false, now);
  RecordTaskEnd(&health, "w0", TaskEnd::kNotStarted, false, now);
  EXPECT_EQ(NextEligibility(health, now), now + health.limits.first_avoidance);
}

// Guards against sending tasks to a worker that has announced that it is
// leaving.
TEST(WorkerHealthTest, LeavingWorkerGetsNoTask) {
  WorkerHealth health;
  RecordLeaving(&health, "w0", kStart);
  EXPECT_FALSE(IsEligible(health, "w0", true, kStart + seconds(60)));
  ForgetWorker(&health, "w0");
  EXPECT_TRUE(IsEligible(health, "w0", true, kStart + seconds(60)));
}

// Guards against trusting a broken connection again too early: only the answer
// to a request that was sent after the failure shows that the worker is
// reachable.
TEST(ConnectionHealthTest, OnlyALaterRequestClearsASuspectWorker) {
  ConnectionHealth health;
  RecordBrokenConnection(&health, "w0", kStart);
  EXPECT_TRUE(ConnectionsAllowTask(health, "w0", /*idempotent=*/true));
  RecordAnswer(&health, "w0", kStart - milliseconds(1));
  EXPECT_FALSE(ConnectionsAllowTask(health, "w0", /*idempotent=*/false));
  ASSERT_EQ(TakeDueProbes(&health, kStart).size(), 1U);
  EXPECT_TRUE(TakeDueProbes(&health, kStart).empty()) << "a second probe";
  EndProbe(&health, "w0", kStart + seconds(1));
  EXPECT_EQ(NextProbe(health), kStart + milliseconds(1250));
  RecordAnswer(&health, "w0", kStart + milliseconds(1));
  EXPECT_TRUE(ConnectionsAllowTask(health, "w0", /*idempotent=*/false));
  EXPECT_FALSE(NextProbe(health).has_value());
}

// Returns the number of retries that the budget allows in ten seconds with
// `starts_per_ms` starts per millisecond.
int RetriesInTenSeconds(int starts_per_ms) {
  RetryBudget budget;
  int retries = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    for (int i = 0; i < starts_per_ms; ++i) RecordStart(&budget);
    while (TakeRetry(&budget, kStart + milliseconds(ms))) ++retries;
  }
  return retries;
}

// Guards against retries that multiply the messages when workers refuse tasks.
TEST(RetryBudgetTest, AllowsATenthOfStartsAndAtLeastTenPerSecond) {
  EXPECT_NEAR(RetriesInTenSeconds(0), 100, 15);
  EXPECT_NEAR(RetriesInTenSeconds(1), 1000, 15);
  EXPECT_NEAR(RetriesInTenSeconds(5), 5000, 15);
  RetryBudget budget;
  while (TakeRetry(&budget, kStart)) continue;
  const Duration wait = TimeToNextRetry(&budget, kStart);
  EXPECT_EQ(wait, milliseconds(100));
  EXPECT_TRUE(TakeRetry(&budget, kStart + wait));
}

}  // namespace
}  // namespace sequoiapath
