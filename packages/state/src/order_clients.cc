#include "order_clients.h"

#include <algorithm>
#include <utility>

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// Maximum number of connections to one worker. The platform allows 64 from all
// daemons together.
constexpr std::size_t kWorkerConnections = 16;
// The same in limited mode, in which many daemons send orders to each worker.
constexpr std::size_t kLimitedWorkerConnections = 2;
// Workers close idle connections after several seconds.
constexpr Duration kWorkerIdleTimeout = std::chrono::seconds(5);
constexpr milliseconds kWorkerConnectTimeout{350};

std::size_t ConnectionLimit(const OrderClients& clients) {
  return clients.limited ? kLimitedWorkerConnections : kWorkerConnections;
}

void FailUnsent(const OrderCall& call, HttpErrorKind kind) {
  HttpError error;
  error.kind = kind;
  error.may_have_been_sent = false;
  call.callback(error);
}

void SendWaiting(OrderClients* clients,
                 const std::weak_ptr<OrderClient>& client);

// Sends an order for which a connection is free.
void SendNow(OrderClients* clients, const std::shared_ptr<OrderClient>& client,
             OrderCall call) {
  client->http->Send(
      std::move(call.request), call.timeout,
      [clients, weak = std::weak_ptr<OrderClient>(client),
       callback = std::move(call.callback)](const HttpResult& result) {
        const std::shared_ptr<OrderClient> client = weak.lock();
        // The connection can be used again after this callback has returned.
        if (client != nullptr && !client->waiting.empty()) {
          clients->loop->Schedule(Duration::zero(), [clients, weak] {
            SendWaiting(clients, weak);
          });
        }
        callback(result);
      });
}

void SendWaiting(OrderClients* clients,
                 const std::weak_ptr<OrderClient>& weak) {
  const std::shared_ptr<OrderClient> client = weak.lock();
  if (client == nullptr) return;
  while (!client->waiting.empty() &&
         client->http->BusyConnections() < ConnectionLimit(*clients)) {
    OrderCall call = std::move(client->waiting.front());
    client->waiting.pop_front();
    if (clients->loop->Now() >= call.latest_send) {
      FailUnsent(call, HttpErrorKind::kNoConnection);
    } else if (call.may_send && !call.may_send()) {
      FailUnsent(call, HttpErrorKind::kCancelled);
    } else {
      SendNow(clients, client, std::move(call));
    }
  }
}

// Fails the waiting orders whose time is over, while all connections are busy.
void FailOverdue(OrderClients* clients,
                 const std::weak_ptr<OrderClient>& weak) {
  const std::shared_ptr<OrderClient> client = weak.lock();
  if (client == nullptr) return;
  const TimePoint now = clients->loop->Now();
  std::deque<OrderCall> overdue;
  for (auto call = client->waiting.begin(); call != client->waiting.end();) {
    if (call->latest_send > now) {
      ++call;
      continue;
    }
    overdue.push_back(std::move(*call));
    call = client->waiting.erase(call);
  }
  for (const OrderCall& call : overdue) {
    FailUnsent(call, HttpErrorKind::kNoConnection);
  }
}

// Destroys a client that may be in use until the current iteration of the event
// loop ends, and fails its waiting orders.
void RetireClient(OrderClients* clients, std::shared_ptr<OrderClient> client) {
  clients->loop->Schedule(Duration::zero(), [old = std::move(client)] {
    for (const OrderCall& call : std::exchange(old->waiting, {})) {
      FailUnsent(call, HttpErrorKind::kCancelled);
    }
  });
}

}  // namespace

void UpdateOrderClient(OrderClients* clients, const WorkerDescription& worker) {
  const auto endpoint = ParseEndpoint(worker.address);
  if (!endpoint) return;
  std::shared_ptr<OrderClient>& client = clients->workers[worker.id];
  if (client != nullptr && client->endpoint == *endpoint) return;
  if (client != nullptr) RetireClient(clients, std::move(client));
  client = std::make_shared<OrderClient>();
  client->endpoint = *endpoint;
  client->http = HttpClientBuilder(clients->loop, *endpoint)
                     .MaxConnections(ConnectionLimit(*clients))
                     .IdleTimeout(kWorkerIdleTimeout)
                     .ConnectTimeout(kWorkerConnectTimeout)
                     .Build();
}

void RemoveOrderClients(
    OrderClients* clients,
    const std::function<bool(const std::string& worker)>& is_unused) {
  for (auto entry = clients->workers.begin();
       entry != clients->workers.end();) {
    if (!is_unused(entry->first)) {
      ++entry;
      continue;
    }
    RetireClient(clients, std::move(entry->second));
    entry = clients->workers.erase(entry);
  }
}

void SetLimited(OrderClients* clients, bool limited) {
  if (std::exchange(clients->limited, limited) == limited) return;
  for (const auto& [id, client] : clients->workers) {
    client->http->SetMaxConnections(ConnectionLimit(*clients));
    SendWaiting(clients, client);
  }
}

bool SendOrder(OrderClients* clients, const std::string& worker,
               OrderCall call) {
  const auto found = clients->workers.find(worker);
  if (found == clients->workers.end() || found->second == nullptr) return false;
  const std::shared_ptr<OrderClient>& client = found->second;
  const bool waits = clients->limited && (!client->waiting.empty() ||
                                          client->http->BusyConnections() >=
                                              ConnectionLimit(*clients));
  if (!waits) {
    SendNow(clients, client, std::move(call));
    return true;
  }
  const Duration left = call.latest_send - clients->loop->Now();
  client->waiting.push_back(std::move(call));
  clients->loop->Schedule(std::max(left, Duration::zero()),
                          [clients, weak = std::weak_ptr<OrderClient>(client)] {
                            FailOverdue(clients, weak);
                          });
  return true;
}

}  // namespace sequoiapath::internal
