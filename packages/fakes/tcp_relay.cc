// A TCP relay for fault injection in tests. It forwards connections to one
// target and can delay, drop or reset them. Control paths (HTTP on the control
// port):
//   /pass                      forward again; connections that have dropped
//                              bytes continue to drop them
//   /blackhole?scope=existing  drop all bytes of the open connections
//   /blackhole?scope=all       drop all bytes of open and new connections
//   /cut                       reset the open connections
//   /delay?ms=N                delay bytes by N ms in each direction
// Each response contains the number of open connections.

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <popt.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr int kListenBacklog = 256;
// Reading from one side is paused while this many bytes are queued for the
// other side.
constexpr std::size_t kMaxQueuedBytes = 4 << 20;

struct Relay;
struct ProxiedConnection;

struct Chunk {
  TimePoint send_at;
  std::string bytes;
};

// One of the two sockets of a connection and its queue of bytes to write.
struct Side {
  ProxiedConnection* connection = nullptr;
  Side* other = nullptr;
  h2o_socket_t* socket = nullptr;
  bool connected = false;
  bool writing = false;
  // True once the other side has closed. This side is then closed as soon as
  // its queue is written.
  bool close_after_flush = false;
  std::deque<Chunk> queue;  // Chunks to write to `socket`, oldest first.
  std::size_t queued_bytes = 0;
};

// An accepted socket and the socket connected to the target for it.
struct ProxiedConnection {
  Relay* relay = nullptr;
  std::uint64_t id = 0;
  bool blackholed = false;
  // True once bytes were dropped, after which the stream cannot be resumed.
  bool dropped_bytes = false;
  Side accepted;
  Side target;
};

struct Relay {
  EventLoop* loop = nullptr;
  Endpoint target;
  Duration delay{};
  bool blackhole_new = false;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::unique_ptr<ProxiedConnection>> connections;
};

void CloseSide(Side* side, bool reset) {
  if (side->socket == nullptr) return;
  if (reset) {
    const linger discard{.l_onoff = 1, .l_linger = 0};
    setsockopt(h2o_socket_get_fd(side->socket), SOL_SOCKET, SO_LINGER, &discard,
               sizeof(discard));
  }
  h2o_socket_close(side->socket);
  side->socket = nullptr;
}

// Closes both sockets and deletes `connection`.
void CloseProxiedConnection(ProxiedConnection* connection, bool reset) {
  CloseSide(&connection->accepted, reset);
  CloseSide(&connection->target, reset);
  connection->relay->connections.erase(connection->id);
}

void OnRead(h2o_socket_t* socket, const char* error);

void ResumeReading(Side* side) {
  if (side->socket != nullptr && side->connected &&
      !h2o_socket_is_reading(side->socket)) {
    h2o_socket_read_start(side->socket, OnRead);
  }
}

// Writes the queued bytes whose delay has passed. If the queue is empty and the
// other side has closed, closes the connection, which deletes it.
void Flush(Side* side);

void OnWritten(h2o_socket_t* socket, const char* error) {
  auto* side = static_cast<Side*>(socket->data);
  side->writing = false;
  if (error != nullptr) {
    CloseProxiedConnection(side->connection, /*reset=*/true);
    return;
  }
  side->queued_bytes -= side->queue.front().bytes.size();
  side->queue.pop_front();
  if (side->queued_bytes < kMaxQueuedBytes) ResumeReading(side->other);
  Flush(side);
}

void ScheduleFlush(Side* side, Duration delay) {
  Relay* relay = side->connection->relay;
  relay->loop->Schedule(delay, [relay, id = side->connection->id, side] {
    if (relay->connections.contains(id)) Flush(side);
  });
}

void Flush(Side* side) {
  if (!side->connected || side->writing || side->socket == nullptr) return;
  if (side->queue.empty()) {
    if (side->close_after_flush) {
      CloseProxiedConnection(side->connection, /*reset=*/false);
    }
    return;
  }
  Chunk& chunk = side->queue.front();
  const TimePoint now = side->connection->relay->loop->Now();
  if (chunk.send_at > now) {
    ScheduleFlush(side, chunk.send_at - now);
    return;
  }
  side->writing = true;
  h2o_iovec_t buffer = h2o_iovec_init(chunk.bytes.data(), chunk.bytes.size());
  h2o_socket_write(side->socket, &buffer, 1, OnWritten);
}

// Handles a read error or end of stream. A blackholed connection does not
// propagate the close to the other side.
void OnSideClosed(Side* side) {
  if (side->connection->blackholed) {
    side->connection->dropped_bytes = true;
    CloseSide(side, /*reset=*/false);
    if (side->other->socket == nullptr) {
      CloseProxiedConnection(side->connection, false);
    }
    return;
  }
  h2o_socket_read_stop(side->socket);
  side->other->close_after_flush = true;
  Flush(side->other);
}

void OnRead(h2o_socket_t* socket, const char* error) {
  auto* side = static_cast<Side*>(socket->data);
  if (error != nullptr) {
    OnSideClosed(side);
    return;
  }
  std::string bytes(socket->input->bytes, socket->input->size);
  h2o_buffer_consume(&socket->input, socket->input->size);
  ProxiedConnection* connection = side->connection;
  if (connection->blackholed) {
    connection->dropped_bytes = true;
    return;
  }
  Side* other = side->other;
  other->queued_bytes += bytes.size();
  other->queue.push_back(
      {connection->relay->loop->Now() + connection->relay->delay,
       std::move(bytes)});
  if (other->queued_bytes >= kMaxQueuedBytes) h2o_socket_read_stop(socket);
  if (other->queue.size() == 1) Flush(other);
}

void StartReading(Side* side) {
  const int on = 1;
  setsockopt(h2o_socket_get_fd(side->socket), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
  side->connected = true;
  h2o_socket_read_start(side->socket, OnRead);
}

void OnTargetConnect(h2o_socket_t* socket, const char* error) {
  auto* side = static_cast<Side*>(socket->data);
  if (error != nullptr) {
    CloseProxiedConnection(side->connection, /*reset=*/true);
    return;
  }
  StartReading(side);
  Flush(side);
}

void OnAccept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) return;
  auto* relay = static_cast<Relay*>(listener->data);
  h2o_socket_t* accepted = h2o_evloop_socket_accept(listener);
  if (accepted == nullptr) return;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(relay->target.port);
  inet_pton(AF_INET, relay->target.address.c_str(), &address.sin_addr);
  h2o_socket_t* target = h2o_socket_connect(
      relay->loop->native(), reinterpret_cast<sockaddr*>(&address),
      sizeof(address), OnTargetConnect);
  if (target == nullptr) {
    h2o_socket_close(accepted);
    return;
  }
  auto owned = std::make_unique<ProxiedConnection>();
  ProxiedConnection* connection = owned.get();
  connection->relay = relay;
  connection->id = relay->next_id++;
  connection->blackholed = relay->blackhole_new;
  connection->accepted = {
      connection, &connection->target, accepted, false, false, false, {}, 0};
  connection->target = {
      connection, &connection->accepted, target, false, false, false, {}, 0};
  accepted->data = &connection->accepted;
  target->data = &connection->target;
  relay->connections.emplace(connection->id, std::move(owned));
  StartReading(&connection->accepted);
}

// Drops all bytes of the open connections and, if `include_new`, of new ones.
void SetBlackhole(Relay* relay, bool include_new) {
  relay->blackhole_new = include_new;
  for (auto& [id, connection] : relay->connections) {
    connection->blackholed = true;
  }
}

// Ends the blackhole. Connections that have dropped bytes continue to drop
// them.
void ResumeForwarding(Relay* relay) {
  relay->blackhole_new = false;
  for (auto& [id, connection] : relay->connections) {
    connection->blackholed = connection->dropped_bytes;
  }
}

void ResetConnections(Relay* relay) {
  while (!relay->connections.empty()) {
    CloseProxiedConnection(relay->connections.begin()->second.get(),
                           /*reset=*/true);
  }
}

std::optional<std::chrono::milliseconds> ParseDelay(std::string_view text) {
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return std::chrono::milliseconds(number);
}

// Executes the control command in `path`. Returns false if it is unknown or
// malformed.
bool ExecuteControlCommand(Relay* relay, std::string_view path) {
  constexpr std::string_view kDelay = "/delay?ms=";
  if (path == "/pass") {
    ResumeForwarding(relay);
  } else if (path == "/blackhole?scope=existing") {
    SetBlackhole(relay, false);
  } else if (path == "/blackhole?scope=all" || path == "/blackhole") {
    SetBlackhole(relay, true);
  } else if (path == "/cut") {
    ResetConnections(relay);
  } else if (path.starts_with(kDelay)) {
    const auto delay = ParseDelay(path.substr(kDelay.size()));
    if (!delay.has_value()) return false;
    relay->delay = *delay;
  } else {
    return false;
  }
  return true;
}

// Returns false if the relay cannot listen on the port.
bool Listen(Relay* relay, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    close(fd);
    return false;
  }
  h2o_socket_t* listener = h2o_evloop_socket_create(relay->loop->native(), fd,
                                                    H2O_SOCKET_FLAG_DONT_READ);
  listener->data = relay;
  h2o_socket_read_start(listener, OnAccept);
  return true;
}

int Serve(std::uint16_t port, std::uint16_t control_port,
          const Endpoint& target) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Relay relay;
  relay.loop = &loop;
  relay.target = target;
  if (!Listen(&relay, port)) {
    fmt::print(stderr, "tcp_relay: cannot listen on 127.0.0.1:{}\n", port);
    return 1;
  }
  auto built =
      HttpServerBuilder(&loop)
          .Listen({"127.0.0.1", control_port})
          .Handler([&relay](const HttpRequest& request,
                            const HttpResponder& responder) {
            const bool known = ExecuteControlCommand(&relay, request.path);
            responder.Respond(
                {known ? 200 : 404,
                 {},
                 fmt::format("{} connections\n", relay.connections.size())});
          })
          .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    fmt::print(stderr, "tcp_relay: {}\n", error->message);
    return 1;
  }
  loop.Run();
  return 0;
}

int Main(int argc, const char** argv) {
  int port = 0;
  int control_port = 0;
  char* target = nullptr;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "port to listen on", "PORT"},
      {"control-port", 'c', POPT_ARG_INT, &control_port, 0,
       "port of the control interface", "PORT"},
      {"target", 't', POPT_ARG_STRING, &target, 0,
       "endpoint to forward connections to", "ADDRESS:PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("tcp_relay", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  const auto endpoint = ParseEndpoint(target == nullptr ? "" : target);
  if (parsed < -1 || !endpoint.has_value() || port <= 0 || control_port <= 0) {
    fmt::print(stderr,
               "tcp_relay: --port and --control-port (above zero) and --target "
               "(ADDRESS:PORT) are required\n");
    return 2;
  }
  return Serve(static_cast<std::uint16_t>(port),
               static_cast<std::uint16_t>(control_port), *endpoint);
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  return sequoiapath::internal::Main(argc, argv);
}
