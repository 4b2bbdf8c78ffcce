#include "model_network.h"

#include <algorithm>

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr int kShortestDelayMs = 1;
constexpr int kLongestDelayMs = 4;
// Some messages take longer.
constexpr double kSlowShare = 0.005;
constexpr int kLongestSlowDelayMs = 300;
// As in EntryDaemon.
constexpr milliseconds kPeerConnectTimeout{300};
// After a cut, TCP sends again within this time.
constexpr int kLongestRetransmissionMs = 200;

std::size_t Index(Direction direction) {
  return static_cast<std::size_t>(direction);
}

int Receiver(const ModelConnection& connection, Direction direction) {
  return direction == Direction::kToServer ? connection.server
                                           : connection.client;
}

std::uint64_t ReceiverProcess(const ModelConnection& connection,
                              Direction direction) {
  return direction == Direction::kToServer ? connection.server_process
                                           : connection.client_process;
}

}  // namespace
}  // namespace internal

using internal::Index;
using std::chrono::milliseconds;

int ModelNetwork::AddHost(int zone) {
  ModelHost host;
  host.zone = zone;
  this->hosts.push_back(std::move(host));
  return this->HostCount() - 1;
}

// All hosts have the same clock.
TimePoint ModelNetwork::ClockOf(int /*host*/) const {
  return this->time->Now();
}

bool ModelNetwork::IsFrozen(int host) const {
  return this->time->Now() < this->hosts[host].frozen_until;
}

void ModelNetwork::RunAt(int host, std::function<void()> run) {
  ModelHost& target = this->hosts[host];
  if (!target.alive) return;
  if (this->IsFrozen(host) || !target.unread.empty()) {
    target.unread.push_back(std::move(run));
  } else {
    run();
  }
}

void ModelNetwork::Schedule(int host, Duration delay,
                            std::function<void()> run) {
  const TimePoint due = this->ClockOf(host) + delay;
  this->time->After(delay, [this, host, process = this->hosts[host].process,
                            due, run = std::move(run)] {
    this->RunTimer(host, process, due, run);
  });
}

void ModelNetwork::RunTimer(int host, std::uint64_t process, TimePoint due,
                            const std::function<void()>& run) {
  const ModelHost& target = this->hosts[host];
  if (!target.alive || target.process != process) return;
  const TimePoint now = this->time->Now();
  const bool frozen = this->IsFrozen(host);
  const TimePoint clock = this->ClockOf(host);
  if (!frozen && clock >= due) {
    run();
    return;
  }
  const TimePoint at = frozen ? target.frozen_until : now + (due - clock);
  this->time->At(at, [this, host, process, due, run] {
    this->RunTimer(host, process, due, run);
  });
}

void ModelNetwork::CutZone(int zone, Duration length) {
  this->zone_cut_until[zone] = this->time->Now() + length;
}

void ModelNetwork::CutLink(int a, int b, Duration length) {
  this->link_cut_until[std::minmax(a, b)] = this->time->Now() + length;
}

TimePoint ModelNetwork::EndOfCut(int a, int b) const {
  const int zone_a = this->hosts[a].zone;
  const int zone_b = this->hosts[b].zone;
  const auto link = this->link_cut_until.find(std::minmax(a, b));
  TimePoint end =
      link == this->link_cut_until.end() ? kSimulationStart : link->second;
  for (const int host : {a, b}) {
    end = std::max(end, this->hosts[host].suspended_until);
  }
  if (zone_a == zone_b) return end;
  for (const int zone : {zone_a, zone_b}) {
    const auto found = this->zone_cut_until.find(zone);
    if (found != this->zone_cut_until.end()) end = std::max(end, found->second);
  }
  return end;
}

bool ModelNetwork::IsCut(int a, int b) const {
  return this->time->Now() < this->EndOfCut(a, b);
}

void ModelNetwork::Suspend(int host, Duration length) {
  if (!this->hosts[host].alive || this->IsFrozen(host)) return;
  this->Freeze(host, length);
  this->hosts[host].suspended_until = this->hosts[host].frozen_until;
}

void ModelNetwork::Freeze(int host, Duration length) {
  ModelHost& target = this->hosts[host];
  if (!target.alive || this->IsFrozen(host)) return;
  target.frozen_since = this->time->Now();
  target.frozen_until = this->time->Now() + length;
  // The event loop reads its sockets before it runs due timers, unless the
  // process was frozen between these two steps. Connections that it accepts in
  // one iteration it reads in the next one.
  const Duration delay =
      this->time->Pick(4) == 0 ? milliseconds(1) : milliseconds(0);
  this->time->At(target.frozen_until + delay,
                 [this, host] { this->Drain(host); });
  this->time->At(target.frozen_until + delay + milliseconds(1),
                 [this, host] { this->Accept(host); });
}

void ModelNetwork::Drain(int host) {
  const std::uint64_t process = this->hosts[host].process;
  while (!this->hosts[host].unread.empty()) {
    const std::function<void()> run = this->hosts[host].unread.front();
    run();
    if (this->hosts[host].process != process) return;
    this->hosts[host].unread.pop_front();
  }
}

void ModelNetwork::Accept(int host) {
  ModelHost& target = this->hosts[host];
  while (!target.unaccepted.empty()) {
    target.unread.push_back(std::move(target.unaccepted.front()));
    target.unaccepted.pop_front();
  }
  if (!this->IsFrozen(host)) this->Drain(host);
}

// Returns whether the connection was opened while its server was frozen and the
// server has not accepted it yet.
bool ModelNetwork::IsUnaccepted(const ModelConnection& connection) const {
  const ModelHost& server = this->hosts[connection.server];
  return this->IsFrozen(connection.server) &&
         connection.opened_at >= server.frozen_since;
}

void ModelNetwork::Receive(const ModelConnection& connection,
                           Direction direction,
                           const std::function<void()>& message) {
  ModelHost& server = this->hosts[connection.server];
  const bool waits =
      direction == Direction::kToServer &&
      (this->IsUnaccepted(connection) || !server.unaccepted.empty());
  if (waits) {
    server.unaccepted.push_back(message);
  } else {
    this->RunAt(internal::Receiver(connection, direction), message);
  }
}

void ModelNetwork::Kill(int host) {
  ModelHost& target = this->hosts[host];
  target.alive = false;
  target.unread.clear();
  target.unaccepted.clear();
  target.frozen_until = this->time->Now();
  ++target.process;
  for (auto& [pair, list] : this->connections) {
    if (pair.first == host) list.clear();
    if (pair.second != host) continue;
    for (const ConnectionPtr& connection : list) {
      this->NotifyBroken(connection);
    }
  }
  for (const auto& [connection, on_broken] : this->opened) {
    if (connection->server != host) continue;
    this->Send(connection, Direction::kToClient, on_broken);
  }
}

void ModelNetwork::NotifyBroken(const ConnectionPtr& connection) {
  if (connection->closed) return;
  this->Send(connection, Direction::kToClient, [this, connection] {
    this->FailConnection(connection, CallError::kClosed);
  });
}

void ModelNetwork::Start(int host) { this->hosts[host].alive = true; }

void ModelNetwork::ResetConnections(int a, int b) {
  for (const auto& pair : {std::make_pair(a, b), std::make_pair(b, a)}) {
    for (const ConnectionPtr& connection : this->connections[pair]) {
      Discard(connection, Direction::kToServer);
      Discard(connection, Direction::kToClient);
      this->NotifyBroken(connection);
    }
  }
}

ConnectionPtr ModelNetwork::Open(int client, int server) {
  auto connection = std::make_shared<ModelConnection>();
  connection->client = client;
  connection->server = server;
  connection->client_process = this->hosts[client].process;
  connection->server_process = this->hosts[server].process;
  connection->opened_at = this->time->Now();
  return connection;
}

void ModelNetwork::SetOnBroken(const ConnectionPtr& connection,
                               std::function<void()> on_broken) {
  std::erase_if(this->opened,
                [](const auto& entry) { return entry.first->closed; });
  this->opened.emplace_back(connection, std::move(on_broken));
}

void ModelNetwork::Send(const ConnectionPtr& connection, Direction direction,
                        std::function<void()> message, bool by_kernel) {
  connection->in_flight[Index(direction)].push_back(
      {std::move(message), by_kernel});
  const bool slow = this->time->Uniform() < internal::kSlowShare;
  const milliseconds delay = this->time->Between(
      internal::kShortestDelayMs,
      slow ? internal::kLongestSlowDelayMs : internal::kLongestDelayMs);
  this->time->After(delay, [this, connection, direction] {
    this->Deliver(connection, direction);
  });
}

bool ModelNetwork::HoldsMessages(const ConnectionPtr& connection,
                                 Direction direction) {
  return !connection->in_flight[Index(direction)].empty();
}

void ModelNetwork::Discard(const ConnectionPtr& connection,
                           Direction direction) {
  connection->in_flight[Index(direction)].clear();
}

// Sends again what a cut has held up.
void ModelNetwork::Retransmit(const ConnectionPtr& connection,
                              Direction direction) {
  connection->blocked[Index(direction)] = false;
  const std::size_t held = connection->in_flight[Index(direction)].size();
  for (std::size_t i = 0; i < held; ++i) this->Deliver(connection, direction);
}

void ModelNetwork::Deliver(const ConnectionPtr& connection,
                           Direction direction) {
  auto& queue = connection->in_flight[Index(direction)];
  if (queue.empty() || connection->blocked[Index(direction)]) return;
  if (this->IsCut(connection->client, connection->server)) {
    connection->blocked[Index(direction)] = true;
    this->time->At(
        this->EndOfCut(connection->client, connection->server) +
            this->time->Between(0, internal::kLongestRetransmissionMs),
        [this, connection, direction] {
          this->Retransmit(connection, direction);
        });
    return;
  }
  const ModelMessage message = std::move(queue.front());
  queue.pop_front();
  const int receiver = internal::Receiver(*connection, direction);
  if (this->hosts[receiver].process !=
      internal::ReceiverProcess(*connection, direction)) {
    return;
  }
  if (message.by_kernel) {
    message.run();
  } else {
    if (direction == Direction::kToServer) {
      connection->received_at = this->time->Now();
    }
    this->Receive(*connection, direction, message.run);
  }
}

ConnectionPtr ModelNetwork::ConnectionFor(int client, int server) {
  auto& list = this->connections[{client, server}];
  std::erase_if(list, [](const ConnectionPtr& entry) { return entry->closed; });
  for (const ConnectionPtr& connection : list) {
    if (!connection->draining) return connection;
  }
  ConnectionPtr connection = this->Open(client, server);
  list.push_back(connection);
  this->BeginConnect(connection);
  return connection;
}

void ModelNetwork::BeginConnect(const ConnectionPtr& connection) {
  this->Schedule(connection->client, internal::kPeerConnectTimeout,
                 [this, connection] {
                   if (connection->connected || connection->closed) return;
                   this->FailConnection(connection, CallError::kConnectFailed);
                 });
  if (this->IsCut(connection->client, connection->server)) return;
  const bool refused = !this->hosts[connection->server].alive;
  this->time->After(
      2 * this->time->Between(internal::kShortestDelayMs,
                              internal::kLongestDelayMs),
      [this, connection, refused] {
        if (this->hosts[connection->client].process !=
            connection->client_process) {
          return;
        }
        this->RunAt(connection->client, [this, connection, refused] {
          if (connection->closed) return;
          if (refused) {
            this->FailConnection(connection, CallError::kConnectFailed);
            return;
          }
          connection->connected = true;
          for (auto& [id, pending] : connection->calls) {
            this->SendCall(connection, id);
          }
        });
      });
}

void ModelNetwork::Call(int client, int server, Duration timeout,
                        ModelCall call) {
  const ConnectionPtr connection = this->ConnectionFor(client, server);
  const std::uint64_t id = this->next_call++;
  connection->calls[id] = {std::move(call), false};
  this->Schedule(client, timeout, [this, connection, id] {
    this->OnCallTimeout(connection, id);
  });
  if (connection->connected) this->SendCall(connection, id);
}

void ModelNetwork::SendCall(const ConnectionPtr& connection, std::uint64_t id) {
  PendingCall& pending = connection->calls.at(id);
  pending.sent = true;
  const CallResponder respond = [this, connection, id](ReplyFunction reply) {
    this->Send(connection, Direction::kToClient,
               [this, connection, id, reply = std::move(reply)] {
                 this->FinishCall(connection, id, reply);
               });
  };
  this->Send(connection, Direction::kToServer,
             [serve = pending.call.serve, respond] { serve(respond); });
}

void ModelNetwork::FinishCall(const ConnectionPtr& connection, std::uint64_t id,
                              const ReplyFunction& reply) {
  if (connection->calls.erase(id) == 0) return;
  if (connection->draining && connection->calls.empty()) Close(connection);
  reply();
}

void ModelNetwork::OnCallTimeout(const ConnectionPtr& connection,
                                 std::uint64_t id) {
  const auto node = connection->calls.extract(id);
  if (node.empty()) return;
  connection->draining = true;
  if (connection->calls.empty()) Close(connection);
  node.mapped().call.fail(CallError::kTimeout, node.mapped().sent);
}

void ModelNetwork::FailConnection(const ConnectionPtr& connection,
                                  CallError error) {
  if (connection->closed) return;
  auto calls = std::move(connection->calls);
  connection->calls.clear();
  Close(connection);
  for (const auto& [id, pending] : calls) {
    pending.call.fail(error, pending.sent);
  }
}

// A connection with a call that has timed out is reset. Others are closed when
// nothing is in flight any more.
void ModelNetwork::Close(const ConnectionPtr& connection) {
  connection->closed = true;
  Discard(connection, Direction::kToServer);
}

}  // namespace sequoiapath
