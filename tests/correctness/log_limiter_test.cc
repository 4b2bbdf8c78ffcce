// Tests the limit of the log rate and the count of suppressed lines.

#include "sequoiapath/state/log_limiter.h"

#include <gtest/gtest.h>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace {

using std::chrono::seconds;
constexpr std::chrono::steady_clock::time_point kStart{seconds(1000)};

int AdmitMany(LogLimiter* limiter, int count, bool is_error,
              std::chrono::steady_clock::time_point now) {
  int admitted = 0;
  for (int i = 0; i < count; ++i) admitted += AdmitLine(limiter, is_error, now);
  return admitted;
}

TEST(LogLimiterTest, BurstThenRate) {
  LogLimiter limiter{.lines_per_second = 10,
                     .burst = 50,
                     .error_reserve = 20,
                     .tokens = 50,
                     .refilled = kStart};
  EXPECT_EQ(AdmitMany(&limiter, 1000, false, kStart), 30);
  EXPECT_EQ(AdmitMany(&limiter, 1000, false, kStart + seconds(1)), 10);
  EXPECT_EQ(limiter.suppressed, 970u + 990u);
}

// Information lines that exceed the rate limit must not suppress errors.
TEST(LogLimiterTest, ErrorsUseTheReserve) {
  LogLimiter limiter{.lines_per_second = 10,
                     .burst = 50,
                     .error_reserve = 20,
                     .tokens = 50,
                     .refilled = kStart};
  AdmitMany(&limiter, 1000, false, kStart);
  EXPECT_EQ(AdmitMany(&limiter, 1000, true, kStart), 20);
}

TEST(LogLimiterTest, SuppressedLinesAreReportedOnce) {
  LogLimiter limiter{.lines_per_second = 10,
                     .burst = 50,
                     .error_reserve = 20,
                     .tokens = 50,
                     .refilled = kStart};
  AdmitMany(&limiter, 35, false, kStart);
  EXPECT_EQ(TakeSuppressed(&limiter, kStart), 0u);
  EXPECT_EQ(TakeSuppressed(&limiter, kStart + seconds(1)), 5u);
  EXPECT_EQ(TakeSuppressed(&limiter, kStart + seconds(1)), 0u);
}

// An error that is logged repeatedly without a delay must not fill the disk.
TEST(LogLimiterTest, LogWritesABoundedNumberOfLines) {
  testing::internal::CaptureStderr();
  for (int i = 0; i < 5000; ++i) Log(LogLevel::kWarning, "flood");
  const std::string text = testing::internal::GetCapturedStderr();
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 1000);
}

}  // namespace
}  // namespace sequoiapath
