#include "sequoiapath/transport/connection_limits.h"

namespace sequoiapath {
namespace internal {
namespace {

// The order in which phases are closed to make room.
int ClosingRank(ConnectionPhase phase) {
  switch (phase) {
    case ConnectionPhase::kIdle:
      return 0;
    case ConnectionPhase::kHeaders:
      return 1;
    case ConnectionPhase::kWriting:
      return 2;
    case ConnectionPhase::kBody:
      return 3;
    case ConnectionPhase::kPending:
      return 4;
  }
  return 4;
}

bool Exceeds(std::size_t value, std::size_t limit) {
  return limit > 0 && value > limit;
}

bool Exceeds(Duration value, Duration limit) {
  return limit > Duration::zero() && value > limit;
}

// Returns whether a period has ended in which the body made too little
// progress. Starts the next period after one with enough progress.
bool IsBodySlow(const ConnectionLimits& limits, TimePoint now,
                ConnectionRecord* record) {
  const Duration period = now - record->period_began;
  if (!Exceeds(period, limits.header_timeout)) return false;
  const std::uint64_t bytes =
      record->latest.bytes_read - record->period_bytes_read;
  const auto seconds = std::chrono::duration<double>(period).count();
  if (static_cast<double>(bytes) < kMinBytesPerSecond * seconds) return true;
  record->period_began = now;
  record->period_bytes_read = record->latest.bytes_read;
  return false;
}

}  // namespace
}  // namespace internal

std::string_view ToString(CloseReason reason) {
  constexpr std::array<std::string_view, kCloseReasonCount> kNames{
      "body_too_large",
      "headers_too_large",
      "slow_headers",
      "slow_body",
      "idle",
      "unread_response",
      "too_many_connections",
      "connection_share",
      "budget"};
  return kNames[static_cast<std::size_t>(reason)];
}

void AddSample(const ConnectionSample& sample, TimePoint now,
               ConnectionRecord* record) {
  const ConnectionSample& former = record->latest;
  const bool next_request = sample.requests != former.requests;
  const bool wrote = sample.phase == ConnectionPhase::kWriting &&
                     sample.bytes_written != former.bytes_written;
  if (sample.phase != former.phase || next_request || wrote) {
    record->phase_began = now;
    record->period_began = now;
    record->period_bytes_read = sample.bytes_read;
  }
  record->latest = sample;
}

std::optional<CloseReason> CheckConnection(const ConnectionLimits& limits,
                                           TimePoint now,
                                           ConnectionRecord* record) {
  const ConnectionSample& sample = record->latest;
  const Duration age = now - record->phase_began;
  if (sample.phase == ConnectionPhase::kPending) return std::nullopt;
  if (internal::Exceeds(sample.held_bytes, limits.max_connection_bytes)) {
    return CloseReason::kConnectionShare;
  }
  switch (sample.phase) {
    case ConnectionPhase::kIdle:
      // h2o closes idle HTTP/2 connections itself.
      if (!sample.http2 && internal::Exceeds(age, limits.idle_timeout)) {
        return CloseReason::kIdle;
      }
      return std::nullopt;
    case ConnectionPhase::kHeaders:
      if (internal::Exceeds(sample.held_bytes, limits.max_header_bytes)) {
        return CloseReason::kHeadersTooLarge;
      }
      if (internal::Exceeds(age, limits.header_timeout)) {
        return CloseReason::kSlowHeaders;
      }
      return std::nullopt;
    case ConnectionPhase::kBody:
      if (internal::IsBodySlow(limits, now, record)) {
        return CloseReason::kSlowBody;
      }
      return std::nullopt;
    case ConnectionPhase::kWriting:
      if (internal::Exceeds(age, limits.idle_timeout)) {
        return CloseReason::kUnreadResponse;
      }
      return std::nullopt;
    case ConnectionPhase::kPending:
      return std::nullopt;
  }
  return std::nullopt;
}

bool IsClosedBefore(const ConnectionRecord& a, const ConnectionRecord& b) {
  const int rank_a = internal::ClosingRank(a.latest.phase);
  const int rank_b = internal::ClosingRank(b.latest.phase);
  if (rank_a != rank_b) return rank_a < rank_b;
  if (a.latest.phase == ConnectionPhase::kBody) {
    const std::uint64_t read_a = a.latest.bytes_read - a.period_bytes_read;
    const std::uint64_t read_b = b.latest.bytes_read - b.period_bytes_read;
    if (read_a != read_b) return read_a < read_b;
  }
  return a.phase_began < b.phase_began;
}

}  // namespace sequoiapath
