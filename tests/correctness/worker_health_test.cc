// Guards the choice of workers: outliers are ejected, common failures are not
// blamed on workers, and readmission needs a successful trial.

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

// Ends one task on each of `workers` workers; a worker below `bad` fails it.
void Round(WorkerHealth* health, int workers, int bad, TimePoint now) {
  for (int i = 0; i < workers; ++i) {
    RecordTaskEnd(health, Name(i),
                  i < bad ? TaskEnd::kFailed : TaskEnd::kSucceeded,
                  /*trial=*/false, now);
  }
}

TEST(WorkerHealthTest, EjectsOutlierAndReadmitsItAfterTrial) {
  WorkerHealth health;
  for (int i = 0; i < 10; ++i) Round(&health, 10, 1, kStart);
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

// A job with bad payloads fails everywhere; its failures must eject nobody.
TEST(WorkerHealthTest, CommonFailuresEjectNobody) {
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
    // Chance alone may look like an outlier once in a long while.
    EXPECT_LE(greatest, 1U) << "failing share " << failing;
  }
}

// Many bad workers must not take away the capacity.
TEST(WorkerHealthTest, EjectsAtMostAFifth) {
  WorkerHealth health;
  for (int i = 0; i < 50; ++i) Round(&health, 10, 4, kStart);
  EXPECT_EQ(EjectedWorkers(health), 2U);
  WorkerHealth few;
  for (int i = 0; i < 50; ++i) Round(&few, 4, 1, kStart);
  EXPECT_EQ(EjectedWorkers(few), 0U);
}

// A refusing worker must not get the same tasks again at once.
TEST(WorkerHealthTest, AvoidsRefusingWorkerForAGrowingTime) {
  WorkerHealth health;
  TimePoint now = kStart;
  Duration previous{0};
  for (int i = 0; i < 5; ++i) {
    RecordTaskEnd(&health, "w0", TaskEnd::kNotStarted, false, now);
    // Refused together with the first one.
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

TEST(WorkerHealthTest, LeavingWorkerGetsNoTask) {
  WorkerHealth health;
  RecordLeaving(&health, "w0", kStart);
  EXPECT_FALSE(IsEligible(health, "w0", true, kStart + seconds(60)));
  ForgetWorker(&health, "w0");
  EXPECT_TRUE(IsEligible(health, "w0", true, kStart + seconds(60)));
}

// Only an answer to a request sent after the fault shows that the path works.
TEST(ConnectionHealthTest, OnlyALaterRequestClearsTheSuspicion) {
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

// Returns the retries that are allowed in ten seconds at a rate of starts.
int RetriesInTenSeconds(int starts_per_ms) {
  RetryBudget budget;
  int retries = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    for (int i = 0; i < starts_per_ms; ++i) RecordStart(&budget);
    while (TakeRetry(&budget, kStart + milliseconds(ms))) ++retries;
  }
  return retries;
}

// Refusing workers must not multiply the messages.
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
