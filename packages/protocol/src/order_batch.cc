#include "sequoiapath/protocol/order_batch.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::size_t kNumericIdLength = 16;
constexpr int kIdBase = 16;

bool IsLowerHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

// Returns the number whose 16 digits are the job id, or nothing for other ids.
std::optional<std::uint64_t> NumericId(std::string_view job) {
  if (job.size() != kNumericIdLength ||
      !std::all_of(job.begin(), job.end(), IsLowerHexDigit)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  std::from_chars(job.data(), job.data() + job.size(), number, kIdBase);
  return number;
}

RelayedOutcome OutcomeOf(OrderRejection rejection) {
  return static_cast<RelayedOutcome>(
      static_cast<int>(RelayedOutcome::kStaleFence) +
      static_cast<int>(rejection));
}

RelayedOutcome OutcomeOf(const OrderUnanswered& unanswered) {
  if (unanswered.may_have_been_sent) return RelayedOutcome::kUnanswered;
  if (unanswered.by_relay) return RelayedOutcome::kDropped;
  return unanswered.refused ? RelayedOutcome::kRefused
                            : RelayedOutcome::kNotSent;
}

std::optional<OrderRejection> RejectionOf(RelayedOutcome outcome) {
  if (outcome < RelayedOutcome::kStaleFence ||
      outcome > RelayedOutcome::kInvalid) {
    return std::nullopt;
  }
  return static_cast<OrderRejection>(
      static_cast<int>(outcome) -
      static_cast<int>(RelayedOutcome::kStaleFence));
}

OrderUnanswered UnansweredOf(RelayedOutcome outcome) {
  OrderUnanswered unanswered;
  unanswered.may_have_been_sent = outcome == RelayedOutcome::kUnanswered ||
                                  outcome == RelayedOutcome::kAccepted;
  unanswered.refused = outcome == RelayedOutcome::kRefused;
  unanswered.by_relay = outcome == RelayedOutcome::kDropped;
  unanswered.cause = unanswered.by_relay ? "dropped_by_relay" : "at_relay";
  return unanswered;
}

}  // namespace
}  // namespace internal

CompactRun ToCompactRun(const TaskName& task, std::uint32_t run) {
  CompactRun compact;
  compact.step = task.step;
  compact.index = task.index;
  compact.run = run;
  if (const auto number = internal::NumericId(task.job)) {
    compact.job = *number;
  } else {
    compact.other_job = task.job;
  }
  return compact;
}

TaskName TaskOf(const CompactRun& run) {
  std::string job =
      run.other_job.empty() ? fmt::format("{:016x}", run.job) : run.other_job;
  return {std::move(job), run.step, run.index};
}

RelayedReply ToRelayedReply(std::uint64_t id, const OrderReply& reply) {
  if (const auto* accepted = std::get_if<OrderAccepted>(&reply)) {
    return {id, RelayedOutcome::kAccepted, accepted->clock.count()};
  }
  if (const auto* rejection = std::get_if<OrderRejection>(&reply)) {
    return {id, internal::OutcomeOf(*rejection), 0};
  }
  return {id, internal::OutcomeOf(std::get<OrderUnanswered>(reply)), 0};
}

OrderReply ToOrderReply(const RelayedReply& reply) {
  if (reply.outcome == RelayedOutcome::kAccepted) {
    return OrderAccepted{WorkerTime(reply.clock)};
  }
  if (const auto rejection = internal::RejectionOf(reply.outcome)) {
    return *rejection;
  }
  return internal::UnansweredOf(reply.outcome);
}

RelayedReply ToRelayedReply(std::uint64_t id, const RenewReply& reply) {
  if (const auto* rejection = std::get_if<OrderRejection>(&reply)) {
    return {id, internal::OutcomeOf(*rejection), 0};
  }
  const auto* unanswered = std::get_if<OrderUnanswered>(&reply);
  return {id,
          internal::OutcomeOf(unanswered == nullptr ? OrderUnanswered{}
                                                    : *unanswered),
          0};
}

RenewReply ToRenewReply(const RelayedReply& reply) {
  if (const auto rejection = internal::RejectionOf(reply.outcome)) {
    return *rejection;
  }
  return internal::UnansweredOf(reply.outcome);
}

RelayedReport ToRelayedReport(std::uint64_t id, const WorkerReport& report) {
  RelayedReport relayed;
  relayed.id = id;
  relayed.clock = report.clock.count();
  relayed.started_at_ms = report.started_at_ms;
  relayed.capacity = report.capacity;
  for (const RunningTask& row : report.running) {
    relayed.running.push_back(ToCompactRun(row.task, row.run));
  }
  for (const EndedTask& row : report.ended) {
    relayed.ended.push_back(
        {row.number, ToCompactRun(row.task, row.run), row.outcome});
  }
  return relayed;
}

WorkerReport ToWorkerReport(const RelayedReport& report) {
  WorkerReport worker;
  worker.clock = WorkerTime(report.clock);
  worker.started_at_ms = report.started_at_ms;
  worker.capacity = report.capacity;
  for (const CompactRun& run : report.running) {
    worker.running.push_back({TaskOf(run), run.run});
  }
  for (const RelayedEnd& end : report.ended) {
    worker.ended.push_back(
        {end.number, TaskOf(end.run), end.run.run, end.outcome});
  }
  return worker;
}

}  // namespace sequoiapath
