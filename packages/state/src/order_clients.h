// Defines OrderClients, a daemon's connections to workers for start, stop and
// renewal orders. A daemon uses the same ones for its own orders as a scheduler
// and for those that it relays.
//
// Thread safety: loop thread only.

#ifndef SEQUOIAPATH_STATE_ORDER_CLIENTS_H_
#define SEQUOIAPATH_STATE_ORDER_CLIENTS_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath::internal {

// An order to a worker.
struct OrderCall {
  HttpRequest request;
  Duration timeout{0};  // Of the reply, from when the order is sent.
  // Until when the order may wait for a connection.
  TimePoint latest_send;
  // Whether the order may still be sent, asked when it is sent. Not set: it
  // may.
  std::function<bool()> may_send;
  HttpCallback callback;  // Called once, after SendOrder has returned.
};

// The connections to one worker's address.
struct OrderClient {
  Endpoint endpoint;
  std::unique_ptr<HttpClient> http;
  std::deque<OrderCall> waiting;  // In limited mode, for a connection.
};

struct OrderClients {
  EventLoop* loop = nullptr;
  // Limits the connections to each worker and queues the orders that wait for
  // one. Otherwise an order without a free connection fails at once.
  bool limited = false;
  std::map<std::string, std::shared_ptr<OrderClient>> workers;
};

// Creates the worker's client, or replaces it if the worker's address changed.
void UpdateOrderClient(OrderClients* clients, const WorkerDescription& worker);

// Removes the clients of the workers for which `is_unused` is true.
void RemoveOrderClients(
    OrderClients* clients,
    const std::function<bool(const std::string& worker)>& is_unused);

// Begins or ends the limit of two connections to each worker, one for the
// renewal, whose reply the worker delays, and one for other orders.
void SetLimited(OrderClients* clients, bool limited);

// Sends an order to a worker. Returns false if the worker is not known; the
// callback is not called then. An order that is not sent in time, or that may
// not be sent any more, fails with kNoConnection or kCancelled and
// may_have_been_sent == false.
bool SendOrder(OrderClients* clients, const std::string& worker,
               OrderCall call);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ORDER_CLIENTS_H_
