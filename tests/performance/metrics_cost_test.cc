// Tests the cost of metrics on the hot path.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <string>

#include "sequoiapath/state/late_log.h"
#include "sequoiapath/state/metrics.h"

namespace sequoiapath {
namespace {

// Counting a task runs on the event loop's thread for each task. The limit is
// about ten times the measured cost, to allow for load on shared machines.
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

// Both texts are rendered on the event loop's thread, which delays requests by
// the rendering time.
TEST(MetricsCostTest, RenderingAFullStateTakesLessThanHundredMilliseconds) {
  Metrics metrics;
  LateLog late_log;
  for (int i = 0; i < 2000; ++i) {
    const std::string name = "service-" + std::to_string(i);
    CountJob(&metrics, {.service = name, .team = name}, TimePoint());
    LateEntry entry;
    entry.request_id = name;
    entry.answer_summary = std::string(60, 'x');
    AddLateEntry(&late_log, entry);
  }
  const auto begin = std::chrono::steady_clock::now();
  const std::size_t metrics_bytes = RenderMetrics(metrics, {}).size();
  const auto middle = std::chrono::steady_clock::now();
  const std::size_t late_bytes = EncodeLateLog(late_log, 1000).size();
  const auto end = std::chrono::steady_clock::now();
  using Milliseconds = std::chrono::duration<double, std::milli>;
  std::printf("metrics %zu bytes %.2f ms, late log %zu bytes %.2f ms\n",
              metrics_bytes, Milliseconds(middle - begin).count(), late_bytes,
              Milliseconds(end - middle).count());
  EXPECT_LT(end - begin, std::chrono::milliseconds(100));
}

}  // namespace
}  // namespace sequoiapath
