// Defines OrderSender, which sends a scheduler's orders to workers, directly or
// through relays, and records their replies.
//
// An order through a relay has an id. Without a reply within its time it counts
// as unanswered, as a direct order does: the worker may have executed it. If
// its batch was certainly not sent or not taken, it counts as not sent.
//
// Thread safety: loop thread only.

#ifndef SEQUOIAPATH_STATE_ORDER_SENDER_H_
#define SEQUOIAPATH_STATE_ORDER_SENDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "order_clients.h"
#include "sequoiapath/coordination/relay_policy.h"
#include "sequoiapath/coordination/task_scheduler.h"
#include "sequoiapath/protocol/order_batch.h"
#include "sequoiapath/state/relay_access.h"

namespace sequoiapath::internal {

// An order that was given to a relay and has no reply yet.
struct RelayedOrder {
  std::variant<SendStart, SendStop, SendRenewal> action;
  std::string relay;  // VM.
  TimerId timeout = 0;
};

struct OrderSender {
  EventLoop* loop = nullptr;
  WorkerCodec codec;
  TaskScheduler* scheduler = nullptr;
  OrderClients* clients = nullptr;
  std::function<void()> on_reply;  // Called after a reply was recorded.
  RelayAccess access;              // Without functions: no relays.
  bool relaying = false;           // Renewals and stops go through relays.
  RelayRoutes routes;
  std::vector<RelayCandidate> candidates;
  TimePoint candidates_found_at;
  std::unordered_map<std::uint64_t, RelayedOrder> relayed;  // By order id.
  std::uint64_t next_order = 1;
  std::map<std::string, OrderBatch> batches;       // Not sent yet; by relay.
  std::map<std::string, TimePoint> batch_sent_at;  // The latest one; by relay.
  RelayCounts counts;
};

// Send one order each. Precondition: the scheduler's job or worker of the order
// has not changed since the order was queued.
void SendOrderOf(OrderSender* sender, const SendStart& action);
void SendOrderOf(OrderSender* sender, const SendStop& action);
void SendOrderOf(OrderSender* sender, const SendRenewal& action);

// Decides again whether the orders go through relays. Must be called at
// intervals.
void UpdateRelaying(OrderSender* sender);

// Applies the replies that a relay has returned.
void ApplyOrderReplies(OrderSender* sender, const OrderReplies& replies);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ORDER_SENDER_H_
