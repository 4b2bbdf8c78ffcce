#include "connection_table.h"

#include <h2o/http2.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <string_view>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using std::chrono::milliseconds;

// Interval without events.
constexpr Duration kCheckInterval = milliseconds(100);
// Shortest interval while events arrive. In 5 ms a link of 1 Gbit/s delivers
// 625 KB.
constexpr Duration kShortestCheckInterval = milliseconds(5);

// Returns whether the headers at the beginning of `input` are complete.
bool HasCompleteHeaders(const h2o_buffer_t& input, std::size_t max_header) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::size_t size =
      max_header > 0 ? std::min(input.size, max_header) : input.size;
  return memmem(input.bytes, size, kEnd.data(), kEnd.size()) != nullptr;
}

// Returns the bytes in the receive buffer of a socket.
std::size_t UnreadBytes(h2o_socket_t* socket) {
  int bytes = 0;
  if (ioctl(h2o_socket_get_fd(socket), FIONREAD, &bytes) != 0) return 0;
  return static_cast<std::size_t>(std::max(0, bytes));
}

// Sets the totals of a connection from those that the kernel keeps. h2o 2.2
// keeps in `bytes_read` what its latest read brought, not the total.
void ReadTotals(const Connection& connection, ConnectionSample* sample) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (getsockopt(h2o_socket_get_fd(connection.socket), IPPROTO_TCP, TCP_INFO,
                 &info, &length) != 0) {
    return;
  }
  sample->bytes_read = info.tcpi_bytes_received;
  sample->bytes_written = info.tcpi_bytes_acked;
}

ConnectionPhase Http1Phase(const Connection& connection) {
  h2o_socket_t* socket = connection.socket;
  if (h2o_socket_is_writing(socket) != 0) return ConnectionPhase::kWriting;
  if (h2o_socket_is_reading(socket) == 0) return ConnectionPhase::kPending;
  if (socket->input->size == 0) return ConnectionPhase::kIdle;
  const ConnectionSample& latest = connection.record.latest;
  // The headers stay at the beginning of the buffer while h2o reads the body.
  const bool known = latest.phase == ConnectionPhase::kBody &&
                     latest.requests == connection.requests;
  if (known || HasCompleteHeaders(*socket->input,
                                  connection.table->limits.max_header_bytes)) {
    return ConnectionPhase::kBody;
  }
  return ConnectionPhase::kHeaders;
}

// Counts an HTTP/2 request that has not been received completely. Called for
// all requests of HTTP/2 connections; h2o processes a request once it is
// complete. A stream that only carries a priority has no method.
int CountIncomplete(h2o_req_t* request, void* data) {
  auto* table = static_cast<ConnectionTable*>(data);
  Connection* connection = FindConnection(
      table, request->conn->callbacks->get_socket(request->conn));
  if (connection == nullptr) return 0;
  connection->http2 = true;
  const bool began = request->input.method.base != nullptr;
  if (began && request->processed_at.str == nullptr) ++connection->incomplete;
  return 0;
}

// Counts the incomplete requests of all HTTP/2 connections of the server.
void MeasureHttp2(ConnectionTable* table) {
  for (const auto& [socket, connection] : table->connections) {
    connection->incomplete = 0;
  }
  table->context->globalconf->http2.callbacks.foreach_request(
      table->context, CountIncomplete, table);
  for (const auto& [socket, connection] : table->connections) {
    if (!connection->http2 || connection->incomplete > 0) continue;
    ConnectionSample totals;
    ReadTotals(*connection, &totals);
    connection->base_bytes = totals.bytes_read;
    connection->completed_bytes = 0;
  }
}

// A body that is being received decides the phase before a pending request, and
// that before a response that is not read.
ConnectionPhase Http2Phase(const Connection& connection) {
  if (connection.incomplete > 0) return ConnectionPhase::kBody;
  if (connection.pending > 0) return ConnectionPhase::kPending;
  return connection.unread > 0 ? ConnectionPhase::kWriting
                               : ConnectionPhase::kIdle;
}

ConnectionSample Measure(const Connection& connection) {
  h2o_socket_t* socket = connection.socket;
  ConnectionSample sample;
  sample.http2 = connection.http2;
  sample.phase = sample.http2 ? Http2Phase(connection) : Http1Phase(connection);
  const bool needs_totals = sample.http2 ||
                            sample.phase == ConnectionPhase::kBody ||
                            sample.phase == ConnectionPhase::kWriting;
  if (needs_totals) ReadTotals(connection, &sample);
  sample.held_bytes = socket->input->size + connection.unread_bytes;
  if (sample.http2) {
    const std::uint64_t known =
        connection.base_bytes + connection.completed_bytes;
    sample.held_bytes += sample.bytes_read - std::min(sample.bytes_read, known);
  }
  // h2o reads all that has arrived while it reads a connection.
  if (h2o_socket_is_reading(socket) == 0) {
    sample.held_bytes += UnreadBytes(socket);
  }
  sample.requests = connection.requests;
  return sample;
}

// Closes a connection. h2o 2.2 has no function for this, so the socket is shut
// down; h2o closes it in the next iteration of the loop.
void Close(Connection* connection, CloseReason reason) {
  ConnectionTable* table = connection->table;
  connection->record.closing = true;
  ++table->closing;
  table->held_bytes -=
      std::min(table->held_bytes, connection->record.latest.held_bytes);
  CountClosed(table, reason);
  shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
}

void OnSocketClose(void* data) {
  auto* connection = static_cast<Connection*>(data);
  ConnectionTable* table = connection->table;
  if (connection->record.closing) --table->closing;
  table->connections.erase(connection->socket);
}

// Measures all connections and closes those that exceed a limit of their own.
void CheckConnections(ConnectionTable* table) {
  const TimePoint now = table->loop->Now();
  MeasureHttp2(table);
  table->held_bytes = 0;
  for (const auto& [socket, connection] : table->connections) {
    if (connection->record.closing) continue;
    AddSample(Measure(*connection), now, &connection->record);
    table->held_bytes += connection->record.latest.held_bytes;
    if (const auto reason =
            CheckConnection(table->limits, now, &connection->record)) {
      Close(connection.get(), *reason);
    }
  }
}

// Returns the connection of all servers that holds the most bytes and has no
// pending request, or null.
Connection* FindLargest(const RequestBudget& budget) {
  Connection* largest = nullptr;
  for (const ConnectionTable* table : budget.tables) {
    for (const auto& [socket, connection] : table->connections) {
      const ConnectionRecord& record = connection->record;
      const bool eligible = !record.closing && record.latest.held_bytes > 0 &&
                            record.latest.phase != ConnectionPhase::kPending;
      if (!eligible) continue;
      if (largest == nullptr ||
          record.latest.held_bytes > largest->record.latest.held_bytes) {
        largest = connection.get();
      }
    }
  }
  return largest;
}

void EnforceBudget(const RequestBudget& budget) {
  if (budget.limit_bytes == 0) return;
  while (BytesInFlight(budget) > budget.limit_bytes) {
    Connection* largest = FindLargest(budget);
    if (largest == nullptr) return;
    Close(largest, CloseReason::kBudget);
  }
}

// Adds the bodies that h2o has refused by its own limit to the counters.
void CountRefusedBodies(ConnectionTable* table) {
  const std::uint64_t refused =
      table->context->emitted_error_status[H2O_STATUS_ERROR_413];
  table->budget->closed[static_cast<std::size_t>(CloseReason::kBodyTooLarge)] +=
      refused - table->counted_bodies;
  table->counted_bodies = refused;
}

void Check(ConnectionTable* table) {
  if (table->connections.empty()) return;
  const TimePoint now = table->loop->Now();
  if (now < table->checked_at + kShortestCheckInterval) return;
  table->checked_at = now;
  CheckConnections(table);
  CountRefusedBodies(table);
  EnforceBudget(*table->budget);
}

void CheckPeriodically(ConnectionTable* table) {
  Check(table);
  table->loop->Schedule(kCheckInterval, [table] { CheckPeriodically(table); });
}

// Returns the connection to close for a new one, or null.
Connection* FindClosable(ConnectionTable* table) {
  const TimePoint now = table->loop->Now();
  MeasureHttp2(table);
  Connection* first = nullptr;
  for (const auto& [socket, connection] : table->connections) {
    ConnectionRecord& record = connection->record;
    if (record.closing) continue;
    AddSample(Measure(*connection), now, &record);
    if (record.latest.phase == ConnectionPhase::kPending) continue;
    if (first == nullptr || IsClosedBefore(record, first->record)) {
      first = connection.get();
    }
  }
  return first;
}

}  // namespace

void StartChecks(ConnectionTable* table) {
  table->budget->tables.push_back(table);
  // What arrives between two checks is not bounded, so busy iterations check
  // as well.
  table->loop->AfterEvents([table] { Check(table); });
  CheckPeriodically(table);
}

bool AddConnection(ConnectionTable* table, h2o_socket_t* socket) {
  const std::size_t limit = table->limits.max_connections;
  const std::size_t open = table->connections.size() - table->closing;
  if (limit > 0 && open >= limit) {
    Connection* closable = FindClosable(table);
    if (closable == nullptr) {
      CountClosed(table, CloseReason::kTooManyConnections);
      return false;
    }
    Close(closable, CloseReason::kTooManyConnections);
  }
  auto connection = std::make_unique<Connection>();
  connection->table = table;
  connection->socket = socket;
  connection->record.phase_began = table->loop->Now();
  connection->record.period_began = connection->record.phase_began;
  socket->on_close.cb = OnSocketClose;
  socket->on_close.data = connection.get();
  table->connections.emplace(socket, std::move(connection));
  return true;
}

Connection* FindConnection(ConnectionTable* table, h2o_socket_t* socket) {
  if (table == nullptr) return nullptr;
  const auto found = table->connections.find(socket);
  return found == table->connections.end() ? nullptr : found->second.get();
}

bool NoteRequest(Connection* connection, bool http2, std::size_t bytes) {
  connection->http2 = http2;
  ++connection->requests;
  connection->completed_bytes += bytes;
  return !connection->record.closing;
}

void CountClosed(ConnectionTable* table, CloseReason reason) {
  ++table->budget->closed[static_cast<std::size_t>(reason)];
}

}  // namespace internal

std::size_t BytesInFlight(const RequestBudget& budget) {
  std::size_t bytes = 0;
  for (const internal::ConnectionTable* table : budget.tables) {
    bytes += table->held_bytes;
  }
  return bytes;
}

std::size_t OpenConnections(const RequestBudget& budget) {
  std::size_t connections = 0;
  for (const internal::ConnectionTable* table : budget.tables) {
    connections += table->connections.size();
  }
  return connections;
}

}  // namespace sequoiapath
