// Defines OrderRelay, which executes the orders of a scheduler on another
// daemon and returns the workers' replies to it in batches.
//
// It keeps the texts of the jobs that this daemon has submitted without them
// and adds each to the start orders of its job.
//
// Thread safety: loop thread only.

#ifndef SEQUOIAPATH_STATE_ORDER_RELAY_H_
#define SEQUOIAPATH_STATE_ORDER_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "order_clients.h"
#include "sequoiapath/coordination/relay_policy.h"
#include "sequoiapath/protocol/order_batch.h"

namespace sequoiapath::internal {

// The text of a job that was submitted without it.
struct KeptSpec {
  std::string spec;
  std::string scheduler;         // VM.
  std::uint64_t submission = 0;  // The latest one.
};

struct OrderRelay {
  EventLoop* loop = nullptr;
  WorkerCodec codec;
  OrderClients* clients = nullptr;
  // Returns whether the job has no answer yet and its latest submission went to
  // the scheduler on this VM.
  std::function<bool(const std::string& job, const std::string& scheduler)>
      is_submitted_to;
  // Sends replies to the scheduler on this VM.
  std::function<void(const std::string& scheduler, OrderReplies replies)> send;
  std::unordered_map<std::string, KeptSpec> specs;  // By job.
  RelayedFences fences;
  // Not sent yet; by the VM and incarnation of the scheduler.
  std::map<std::pair<std::string, std::uint64_t>, OrderReplies> replies;
  std::map<std::string, TimePoint> batch_sent_at;  // The latest; by scheduler.
  std::uint64_t executed = 0;                      // Orders received.
  std::uint64_t dropped = 0;  // Of these, not sent to the worker.
};

// Keeps the text of a job that is submitted without it, and forgets it when the
// submission has ended. A later submission of the job replaces an earlier one.
void KeepSpec(OrderRelay* relay, const std::string& job, KeptSpec kept);
void ForgetSpec(OrderRelay* relay, const std::string& job,
                std::uint64_t submission);

// Executes a batch of orders. Each order gets one reply. Precondition: the
// batch is current (see IsCurrentBatch).
void ExecuteOrders(OrderRelay* relay, const OrderBatch& batch);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ORDER_RELAY_H_
