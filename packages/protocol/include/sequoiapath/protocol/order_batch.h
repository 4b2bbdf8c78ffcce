// Defines the batches in which a scheduler sends orders through another daemon,
// the relay, and in which the relay returns the workers' replies.
//
// A scheduler on a slow link sends thousands of orders a second through relays,
// so the tasks have a compact form: a job id of 16 hexadecimal digits takes
// nine bytes, and workers are named once for each batch.

#ifndef SEQUOIAPATH_PROTOCOL_ORDER_BATCH_H_
#define SEQUOIAPATH_PROTOCOL_ORDER_BATCH_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"

namespace sequoiapath {

// A run of a task.
struct CompactRun {
  std::uint64_t job = 0;  // The job id as a number, if `other_job` is empty.
  std::string other_job;  // A job id that is not 16 hexadecimal digits.
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t run = 0;
};

// A start order without the job's text, which the relay adds.
struct RelayedStart {
  std::uint64_t id = 0;      // Of the order; increases within a process.
  std::uint32_t worker = 0;  // Index into OrderBatch::workers.
  CompactRun run;
  // Number of the job's latest submission that the scheduler has.
  std::uint64_t submission = 0;
  std::int64_t lease_end = 0;  // In ms, on the worker's clock.
  // Estimated time until the lease ends. The relay does not know that clock.
  std::chrono::milliseconds lease_left{0};
  FencingToken fence = 0;
};

struct RelayedStop {
  std::uint64_t id = 0;
  std::uint32_t worker = 0;
  CompactRun run;
  FencingToken fence = 0;
};

struct RelayedRenewal {
  std::uint64_t id = 0;
  std::uint32_t worker = 0;
  std::int64_t lease_end = 0;  // In ms, on the worker's clock.
  FencingToken fence = 0;
  std::uint64_t last_seen_end = 0;
  std::chrono::milliseconds wait{0};
};

// The orders that a scheduler sends through one relay at a time.
struct OrderBatch {
  std::string scheduler;  // VM of the sender.
  std::uint64_t scheduler_incarnation = 0;
  std::uint64_t relay_incarnation = 0;  // Of the process that must execute it.
  DaemonTime sent_at;                   // On the sender's clock.
  std::vector<std::string> workers;
  std::vector<RelayedStart> starts;
  std::vector<RelayedStop> stops;
  std::vector<RelayedRenewal> renewals;
};

// What became of an order. The rejections have the order of OrderRejection.
enum class RelayedOutcome {
  kAccepted = 0,
  kStaleFence = 1,
  kOldRun = 2,
  kLeaseExpired = 3,
  kNoCapacity = 4,
  kUnhealthy = 5,
  kOtherWorker = 6,
  kInvalid = 7,
  kUnanswered = 8,  // The worker may have received it.
  kNotSent = 9,     // The worker could not be reached.
  kRefused = 10,    // The worker's address refused the connection.
  kDropped = 11,    // The relay has not sent it.
};

struct RelayedReply {
  std::uint64_t id = 0;
  RelayedOutcome outcome = RelayedOutcome::kUnanswered;
  std::int64_t clock = 0;  // Of the worker, in ms; if it accepted the order.
};

struct RelayedEnd {
  std::uint64_t number = 0;
  CompactRun run;
  RunOutcome outcome = RunOutcome::kOther;
};

// A worker's report, the reply to an accepted renewal.
struct RelayedReport {
  std::uint64_t id = 0;
  std::int64_t clock = 0;
  std::int64_t started_at_ms = 0;
  std::vector<CompactRun> running;
  std::vector<RelayedEnd> ended;
  std::optional<Resources> capacity;
};

// The replies that a relay returns to a scheduler at a time.
struct OrderReplies {
  std::uint64_t scheduler_incarnation = 0;  // Of the process that sent them.
  std::vector<RelayedReply> replies;
  std::vector<RelayedReport> reports;
};

// Converts a run to its compact form and back. Thread-safe.
CompactRun ToCompactRun(const TaskName& task, std::uint32_t run);
TaskName TaskOf(const CompactRun& run);

// Converts a worker's reply to a start or stop order. Thread-safe.
RelayedReply ToRelayedReply(std::uint64_t id, const OrderReply& reply);
OrderReply ToOrderReply(const RelayedReply& reply);

// Converts a worker's reply to a renewal that it has not accepted. An accepted
// one is converted with ToRelayedReport. Thread-safe.
RelayedReply ToRelayedReply(std::uint64_t id, const RenewReply& reply);
RenewReply ToRenewReply(const RelayedReply& reply);

// Converts a worker's report. Thread-safe.
RelayedReport ToRelayedReport(std::uint64_t id, const WorkerReport& report);
WorkerReport ToWorkerReport(const RelayedReport& report);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_ORDER_BATCH_H_
