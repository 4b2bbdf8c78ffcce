#include "sequoiapath/state/worker_pool.h"

#include <algorithm>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kStopTimeout = std::chrono::seconds(2);
constexpr auto kProbeTimeout = std::chrono::seconds(1);

}  // namespace
}  // namespace internal

WorkerPool::WorkerPool(EventLoop* loop, std::function<void()> on_recovered)
    : loop(loop), on_recovered(std::move(on_recovered)) {}

// Destroys the clients while the members that their callbacks use still exist.
WorkerPool::~WorkerPool() {
  this->loop->Cancel(this->probe_timer);
  this->clients.clear();
  this->retired.clear();
}

void WorkerPool::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  this->catalog = std::move(catalog);
  for (auto it = this->clients.begin(); it != this->clients.end();) {
    const WorkerSpec* worker = FindWorker(*this->catalog, it->first);
    if (worker != nullptr && worker->address == it->second->endpoint()) {
      it->second->SetMaxConnections(this->ConnectionLimit(*worker));
      ++it;
      continue;
    }
    ForgetConnections(&this->connections, it->first);
    this->retired.push_back(std::move(it->second));
    it = this->clients.erase(it);
  }
  this->DropRetiredClients();
}

void WorkerPool::StartTask(const std::string& worker, TaskStart start,
                           Duration timeout,
                           std::function<void(TaskOutcome)> callback) {
  HttpClient* client = this->GetOrCreateClient(worker);
  if (client == nullptr) {
    this->loop->Schedule(Duration::zero(), [callback = std::move(callback)] {
      callback({TaskOutcome::Kind::kNotStarted, "",
                "the worker is no longer in the configuration", true, false,
                true});
    });
    return;
  }
  HttpRequest request = EncodeTaskStart(start);
  const TimePoint sent = this->loop->Now();
  client->Send(std::move(request), timeout,
               [this, worker, client, sent, start = std::move(start),
                callback = std::move(callback)](const HttpResult& result) {
                 TaskOutcome outcome = InterpretTaskReply(start, result);
                 this->RecordReply(worker, client, outcome, sent);
                 callback(std::move(outcome));
               });
}

bool WorkerPool::AllowsTask(const std::string& worker, bool idempotent) const {
  return ConnectionsAllowTask(this->connections, worker, idempotent);
}

void WorkerPool::RecordReply(const std::string& worker, HttpClient* client,
                             const TaskOutcome& outcome, TimePoint sent) {
  if (outcome.connection_suspect) {
    // Idle connections use the same network path, so they are likely broken
    // too.
    client->CloseIdleConnections();
    RecordBrokenConnection(&this->connections, worker, this->loop->Now());
    this->ScheduleProbes();
    return;
  }
  const bool answered = outcome.kind == TaskOutcome::Kind::kDone ||
                        outcome.kind == TaskOutcome::Kind::kFailed;
  if (answered) RecordAnswer(&this->connections, worker, sent);
}

void WorkerPool::ScheduleProbes() {
  const auto next = NextProbe(this->connections);
  if (!next) return;
  this->loop->Cancel(this->probe_timer);
  this->probe_timer = this->loop->Schedule(
      std::max(*next - this->loop->Now(), Duration::zero()),
      [this] { this->ProbeSuspects(); });
}

void WorkerPool::ProbeSuspects() {
  this->probe_timer = 0;
  for (const std::string& worker :
       TakeDueProbes(&this->connections, this->loop->Now())) {
    this->SendProbe(worker);
  }
  this->ScheduleProbes();
}

void WorkerPool::SendProbe(const std::string& worker) {
  HttpClient* client = this->GetOrCreateClient(worker);
  if (client == nullptr) {
    ForgetConnections(&this->connections, worker);
    return;
  }
  const TimePoint sent = this->loop->Now();
  client->Send(EncodeUsageQuery(), internal::kProbeTimeout,
               [this, worker, sent](const HttpResult& result) {
                 EndProbe(&this->connections, worker, this->loop->Now());
                 if (std::holds_alternative<HttpResponse>(result)) {
                   RecordAnswer(&this->connections, worker, sent);
                   this->on_recovered();
                 }
                 this->ScheduleProbes();
               });
}

void WorkerPool::StopTask(const std::string& worker,
                          const std::string& task_id) {
  HttpClient* client = this->GetOrCreateClient(worker);
  if (client == nullptr) return;
  client->Send(EncodeTaskStop(task_id), internal::kStopTimeout,
               [](const HttpResult&) {});
}

void WorkerPool::ShareConnections(std::size_t daemons) {
  this->sharing_daemons = daemons;
  for (const auto& [name, client] : this->clients) {
    const WorkerSpec* worker = FindWorker(*this->catalog, name);
    if (worker != nullptr) {
      client->SetMaxConnections(this->ConnectionLimit(*worker));
    }
  }
}

// Returns at least the worker's slots, because one daemon may use all of them
// at a time, each with its own connection.
std::size_t WorkerPool::ConnectionLimit(const WorkerSpec& worker) const {
  return std::max(
      static_cast<std::size_t>(worker.slots),
      static_cast<std::size_t>(worker.connections) / this->sharing_daemons);
}

HttpClient* WorkerPool::GetOrCreateClient(const std::string& worker) {
  const auto it = this->clients.find(worker);
  if (it != this->clients.end()) return it->second.get();
  if (this->catalog == nullptr) return nullptr;
  const WorkerSpec* spec = FindWorker(*this->catalog, worker);
  if (spec == nullptr) return nullptr;
  auto client = HttpClientBuilder(this->loop, spec->address)
                    .MaxConnections(this->ConnectionLimit(*spec))
                    .Build();
  return (this->clients[worker] = std::move(client)).get();
}

void WorkerPool::DropRetiredClients() {
  std::erase_if(this->retired, [](const std::unique_ptr<HttpClient>& client) {
    return client->BusyConnections() == 0;
  });
}

}  // namespace sequoiapath
