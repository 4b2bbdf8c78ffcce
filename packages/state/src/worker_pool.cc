#include "sequoiapath/state/worker_pool.h"

#include <algorithm>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kStopTimeout = std::chrono::seconds(2);

}  // namespace
}  // namespace internal

WorkerPool::WorkerPool(EventLoop* loop) : loop(loop) {}

void WorkerPool::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  this->catalog = std::move(catalog);
  for (auto it = this->clients.begin(); it != this->clients.end();) {
    const WorkerSpec* worker = FindWorker(*this->catalog, it->first);
    if (worker != nullptr && worker->address == it->second->endpoint()) {
      ++it;
      continue;
    }
    this->retired.push_back(std::move(it->second));
    it = this->clients.erase(it);
  }
  this->DropRetiredClients();
}

void WorkerPool::StartTask(const std::string& worker, TaskStart start,
                           Duration timeout,
                           std::function<void(TaskOutcome)> callback) {
  HttpClient* client = this->ClientOf(worker);
  if (client == nullptr) {
    this->loop->Schedule(Duration::zero(), [callback = std::move(callback)] {
      callback({TaskOutcome::Kind::kNotStarted, "",
                "the worker is no longer configured", true, false});
    });
    return;
  }
  HttpRequest request = EncodeTaskStart(start);
  client->Send(std::move(request), timeout,
               [client, start = std::move(start),
                callback = std::move(callback)](const HttpResult& result) {
                 TaskOutcome outcome = InterpretTaskReply(start, result);
                 // Idle connections to the same worker share the failed path.
                 if (outcome.connection_suspect) client->CloseIdleConnections();
                 callback(std::move(outcome));
               });
}

void WorkerPool::StopTask(const std::string& worker,
                          const std::string& task_id) {
  HttpClient* client = this->ClientOf(worker);
  if (client == nullptr) return;
  client->Send(EncodeTaskStop(task_id), internal::kStopTimeout,
               [](const HttpResult&) {});
}

HttpClient* WorkerPool::ClientOf(const std::string& worker) {
  const auto it = this->clients.find(worker);
  if (it != this->clients.end()) return it->second.get();
  if (this->catalog == nullptr) return nullptr;
  const WorkerSpec* spec = FindWorker(*this->catalog, worker);
  if (spec == nullptr) return nullptr;
  auto client = HttpClientBuilder(this->loop, spec->address)
                    .MaxConnections(static_cast<std::size_t>(spec->connections))
                    .Build();
  return (this->clients[worker] = std::move(client)).get();
}

void WorkerPool::DropRetiredClients() {
  std::erase_if(this->retired, [](const std::unique_ptr<HttpClient>& client) {
    return client->BusyConnections() == 0;
  });
}

}  // namespace sequoiapath
