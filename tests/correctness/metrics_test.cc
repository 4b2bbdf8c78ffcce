// Tests the quantiles, the limits of labels and the Prometheus text format.

#include "sequoiapath/state/metrics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace sequoiapath {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

JobSample Measure(std::string_view service) {
  return {.service = service,
          .team = "refund-office",
          .response_time = std::chrono::milliseconds(150),
          .ideal = std::chrono::milliseconds(100),
          .tasks = 2,
          .messages = 3};
}

// Guards against estimating quantiles of few values by P-square: its markers
// report the third smallest of 11 values as the median.
TEST(MetricsTest, QuantilesOfFewValuesAreExact) {
  Summary summary;
  EXPECT_TRUE(std::isnan(EstimateQuantile(summary, 0)));
  for (int i = 1; i <= 11; ++i) Observe(&summary, i, kStart);
  EXPECT_EQ(EstimateQuantile(summary, 0), 6);
  EXPECT_EQ(EstimateQuantile(summary, 2), 11);
}

TEST(MetricsTest, QuantilesOfManyValuesAreClose) {
  Summary summary;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (int i = 0; i < 100'000; ++i) Observe(&summary, uniform(random), kStart);
  EXPECT_NEAR(EstimateQuantile(summary, 0), 0.5, 0.02);
  EXPECT_NEAR(EstimateQuantile(summary, 2), 0.99, 0.005);
}

// Quantiles over the whole run time of a process would hide a change of the
// load, so old values must expire.
TEST(MetricsTest, OldValuesLeaveTheQuantilesButNotTheSum) {
  Summary summary;
  for (int i = 0; i < 200; ++i) Observe(&summary, 100, kStart);
  Observe(&summary, 1, kStart + std::chrono::minutes(30));
  EXPECT_EQ(EstimateQuantile(summary, 3), 1);
  EXPECT_EQ(summary.count, 201u);
  EXPECT_EQ(summary.sum, 20'001);
}

// Many or long service names must not make the metrics grow without limit.
TEST(MetricsTest, LabelsAreBoundedInNumberAndLength) {
  Metrics metrics;
  for (int i = 0; i < 10'000; ++i) {
    CountJob(&metrics, Measure(std::string(5000, 'x') + std::to_string(i)),
             kStart);
    CountJob(&metrics, Measure(std::to_string(i)), kStart);
  }
  EXPECT_LE(metrics.by_service.size(), metrics.limits.max_labels + 1);
  EXPECT_GT(metrics.by_service["other"].complete, 9'000u);
  EXPECT_LT(RenderMetrics(metrics, {}).size(), 200'000u);
}

TEST(MetricsTest, RendersFailuresByVerdictAndReason) {
  Metrics metrics;
  const Failure failure{Verdict::kMayHaveRun, Reason::kWorkerSilent,
                        RetryAdvice::kNever, std::nullopt, ""};
  JobSample job = Measure("a\"b\\c\nd");
  job.failure = &failure;
  CountJob(&metrics, job, kStart);
  const std::string text = RenderMetrics(metrics, {.generation = 9});
  EXPECT_NE(text.find("sequoiapath_failed_jobs_total{verdict=\"may_have_run\","
                      "reason=\"worker_silent\"} 1\n"),
            std::string::npos);
  EXPECT_NE(text.find(R"(service="a\"b\\c\nd",outcome="failed"} 1)"),
            std::string::npos);
  EXPECT_NE(text.find("\nsequoiapath_config_generation 9\n"),
            std::string::npos);
  EXPECT_EQ(metrics.response_over_ideal.count, 0u);
}

}  // namespace
}  // namespace sequoiapath
