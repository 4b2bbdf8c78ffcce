// Defines the orders to workers that run tasks under leases, and their replies.

#ifndef SEQUOIAPATH_PROTOCOL_WORKER_ORDER_H_
#define SEQUOIAPATH_PROTOCOL_WORKER_ORDER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

// A time on a worker's own steady clock.
using WorkerTime = std::chrono::milliseconds;

// Orders schedulers of one worker: a worker rejects orders with a lower value
// than the highest that it has seen.
using FencingToken = std::uint64_t;

// Names one task of a job.
struct TaskName {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskName&, const TaskName&) = default;
  friend bool operator<(const TaskName& a, const TaskName& b) {
    return std::tie(a.job, a.step, a.index) < std::tie(b.job, b.step, b.index);
  }
};

// A worker as it announces itself.
struct WorkerDescription {
  std::string id;
  std::string service;
  std::string address;  // "address:port".
  std::string data_centre;
  Resources capacity;
  std::uint32_t slots = 0;  // Zero: no limit beyond the capacity.
  std::vector<std::string> labels;
  bool draining = false;
  std::int64_t started_at_ms = 0;  // Unix time; changes when it restarts.
};

struct StartOrder {
  TaskName task;
  std::uint32_t run = 0;
  std::string spec;
  WorkerTime lease_end{0};
  FencingToken fence = 0;
  std::string worker;  // Id of the intended worker.
};

struct StopOrder {
  TaskName task;
  std::uint32_t run = 0;
  FencingToken fence = 0;
  std::string worker;
};

// Extends the leases of all that runs on a worker and asks what runs there.
struct RenewOrder {
  std::uint64_t id = 0;  // Tells the replies to several holds apart; not sent.
  WorkerTime lease_end{0};
  FencingToken fence = 0;
  std::uint64_t last_seen_end = 0;    // Ends up to this number are forgotten.
  std::chrono::milliseconds wait{0};  // The reply waits so long for an end.
  std::string worker;
};

struct RunningTask {
  TaskName task;
  std::uint32_t run = 0;
};

enum class RunOutcome {
  kDone,
  kFailed,        // By its own fault or the worker's.
  kStopped,       // By an order.
  kLeaseExpired,  // Its lease ended.
  kOther,
};

struct EndedTask {
  std::uint64_t number = 0;  // Grows by one for each end of the worker.
  TaskName task;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kOther;
};

struct WorkerReport {
  WorkerTime clock{0};
  std::int64_t started_at_ms = 0;  // Zero if the reply does not say.
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

// Why a worker did not carry out an order. Nothing was done in each case.
enum class OrderRejection {
  kStaleFence,    // Another scheduler has used a higher fencing token.
  kOldRun,        // A run with this or a higher number ended there.
  kLeaseExpired,  // The lease's end has passed.
  kNoCapacity,    // It does not fit.
  kUnhealthy,     // The worker is overloaded or unhealthy.
  kOtherWorker,   // The address belongs to another worker now.
  kInvalid,
};

// Returns a short name for logs. Thread-safe.
const char* ToString(OrderRejection rejection);

// Returns a short name for logs. Thread-safe.
const char* ToString(RunOutcome end);

// No reply came, so the order may have been or may still be carried out,
// unless it was never sent.
struct OrderUnanswered {
  bool may_have_been_sent = true;
};

struct OrderAccepted {
  WorkerTime clock{0};
};

using OrderReply = std::variant<OrderAccepted, OrderRejection, OrderUnanswered>;
using RenewReply = std::variant<WorkerReport, OrderRejection, OrderUnanswered>;

// How orders are written for, and replies read from, one kind of worker. The
// functions do no I/O and keep no state. Thread-safe.
struct WorkerCodec {
  HttpRequest (*encode_start)(const StartOrder& order);
  HttpRequest (*encode_stop)(const StopOrder& order);
  HttpRequest (*encode_renew)(const RenewOrder& order);
  OrderReply (*decode_order_reply)(const HttpResult& result);
  RenewReply (*decode_renew_reply)(const HttpResult& result);
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_WORKER_ORDER_H_
