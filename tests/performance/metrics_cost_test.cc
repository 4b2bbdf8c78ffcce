// Guards the cost of metrics on the hot path.

#include <gtest/gtest.h>

#include <chrono>

#include "sequoiapath/state/metrics.h"

namespace sequoiapath {
namespace {

// The bound is about ten times the measured cost, for shared machines.
TEST(MetricsCostTest, CountingATaskTakesLessThanFiveMicroseconds) {
  constexpr int kCount = 200'000;
  Metrics metrics;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kCount; ++i) {
    CountTask(&metrics, std::chrono::microseconds(i % 1000),
              std::chrono::milliseconds(50 + i % 950), begin);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - begin;
  RecordProperty("nanoseconds_per_task",
                 static_cast<int>(elapsed.count() / kCount));
  std::printf("%.0f ns per task\n", elapsed.count() / kCount);
  EXPECT_LT(elapsed.count() / kCount, 5000);
}

}  // namespace
}  // namespace sequoiapath
