// Tests that the cost of acquiring units grows more slowly than the number of
// workers.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <deque>

#include "sequoiapath/coordination/share_ledger.h"

namespace sequoiapath {
namespace {

std::vector<WorkerSpec> MakeWorkers(int count) {
  std::vector<WorkerSpec> workers(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    WorkerSpec& worker = workers[static_cast<std::size_t>(i)];
    worker.name = fmt::format("worker-{}", i);
    worker.data_centre = "dc";
    worker.rack = fmt::format("rack-{}", i / 8);
    worker.accelerators = 1;
  }
  return workers;
}

// Returns the mean time in ns of one AcquireUnits and one ReleaseUnits while
// 90% of the slots are in use.
double NanosecondsPerAcquire(int workers) {
  ShareLedger ledger;
  SetWorkers(&ledger, MakeWorkers(workers));
  const TimePoint now{std::chrono::hours(1)};
  const auto eligible = [](const std::string&) { return true; };
  std::deque<HeldUnits> held;
  for (int i = 0; i < workers * 72 / 10; ++i) {
    held.push_back(*AcquireUnits(&ledger, "team", {}, now, eligible));
  }
  constexpr int kRounds = 20'000;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    held.push_back(*AcquireUnits(&ledger, "team", {}, now, eligible));
    ReleaseUnits(&ledger, held.front());
    held.pop_front();
  }
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - begin;
  return spent.count() / kRounds;
}

// Guards against a scan of all workers for each task. With a scan, the cost at
// 4200 workers would be 84 times the cost at 50.
TEST(AcquireCostTest, GrowsSlowerThanTheNumberOfWorkers) {
  const double small = NanosecondsPerAcquire(50);
  const double middle = NanosecondsPerAcquire(260);
  const double large = NanosecondsPerAcquire(4200);
  fmt::print(
      "ns per acquire and release: 50 workers {:.0f}, 260 {:.0f}, "
      "4200 {:.0f}\n",
      small, middle, large);
  EXPECT_LT(large, 20 * small);
}

}  // namespace
}  // namespace sequoiapath
