// Defines the orders that a scheduler sends to workers that run tasks under
// leases, and the workers' replies.

#ifndef SEQUOIAPATH_PROTOCOL_WORKER_ORDER_H_
#define SEQUOIAPATH_PROTOCOL_WORKER_ORDER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

// A time on a worker's steady clock.
using WorkerTime = std::chrono::milliseconds;

// Fencing token of a scheduler. A worker rejects orders whose token is lower
// than the highest it has received, so that a former scheduler has no effect.
using FencingToken = std::uint64_t;

// Identifies one task of a job.
struct TaskName {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskName&, const TaskName&) = default;
  friend bool operator<(const TaskName& a, const TaskName& b) {
    return std::tie(a.job, a.step, a.index) < std::tie(b.job, b.step, b.index);
  }
};

// A worker's own record in the store.
struct WorkerDescription {
  std::string id;
  std::string service;
  std::string address;  // "address:port".
  std::string data_centre;
  Resources capacity;
  std::uint32_t slots = 0;  // Zero: no limit beyond the capacity.
  std::vector<std::string> labels;
  bool draining = false;
  std::int64_t started_at_ms = 0;   // Unix time of the process's start.
  std::optional<WorkerTime> clock;  // When the worker wrote the record.
  // For how long the worker stays slow after the record or after its start.
  std::chrono::milliseconds cold_left{0};
};

struct StartOrder {
  TaskName task;
  std::uint32_t run = 0;
  std::string spec;
  WorkerTime lease_end{0};
  FencingToken fence = 0;
  std::string worker;  // Id of the worker that must receive the order.
};

struct StopOrder {
  TaskName task;
  std::uint32_t run = 0;
  FencingToken fence = 0;
  std::string worker;
};

// Extends the leases of all tasks that run on a worker and requests a report on
// them.
struct RenewOrder {
  std::uint64_t id = 0;  // Matches the reply to its order; not sent.
  WorkerTime lease_end{0};
  FencingToken fence = 0;
  // Number of the last end that the scheduler has processed. The worker no
  // longer reports ends up to this number.
  std::uint64_t last_seen_end = 0;
  // Maximum time for which the worker delays its reply until a task ends.
  std::chrono::milliseconds wait{0};
  std::string worker;
};

struct RunningTask {
  TaskName task;
  std::uint32_t run = 0;
};

enum class RunOutcome {
  kDone,
  kFailed,        // The task failed, or the worker made it fail.
  kStopped,       // Stopped by an order.
  kLeaseExpired,  // Stopped at the end of its lease.
  kOther,
};

struct EndedTask {
  // Consecutive number of the end on its worker.
  std::uint64_t number = 0;
  TaskName task;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kOther;
};

struct WorkerReport {
  WorkerTime clock{0};
  std::int64_t started_at_ms = 0;  // Zero if the reply does not contain it.
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  std::optional<Resources> capacity;  // Not set if the reply has none.
};

// Reason why a worker rejected an order. A rejected order has no effect.
enum class OrderRejection {
  kStaleFence,    // The worker has received a higher fencing token.
  kOldRun,        // A run of the task with this or a higher number ended.
  kLeaseExpired,  // The lease of the order has ended.
  kNoCapacity,    // The task's demand exceeds the free capacity.
  kUnhealthy,     // The worker is overloaded or unhealthy.
  kOtherWorker,   // The address now belongs to another worker.
  kInvalid,
};

// Returns a short name for logs. Thread-safe.
const char* ToString(OrderRejection rejection);

// Returns a short name for logs. Thread-safe.
const char* ToString(RunOutcome outcome);

// States that no reply to an order was received. If the order may have been
// sent, the worker may have executed it or may still execute it.
struct OrderUnanswered {
  bool may_have_been_sent = true;
  bool refused = false;  // The worker's address refused the connection.
  // A relay or the way to it is the cause, so it says nothing of the worker.
  bool by_relay = false;
  const char* cause = "";  // Short name for logs.
};

struct OrderAccepted {
  WorkerTime clock{0};
};

using OrderReply = std::variant<OrderAccepted, OrderRejection, OrderUnanswered>;
using RenewReply = std::variant<WorkerReport, OrderRejection, OrderUnanswered>;

// The functions that encode orders and decode replies for one kind of worker.
// All functions are free of I/O and state. Thread-safe.
struct WorkerCodec {
  HttpRequest (*encode_start)(const StartOrder& order);
  HttpRequest (*encode_stop)(const StopOrder& order);
  HttpRequest (*encode_renew)(const RenewOrder& order);
  OrderReply (*decode_order_reply)(const HttpResult& result);
  RenewReply (*decode_renew_reply)(const HttpResult& result);
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_WORKER_ORDER_H_
