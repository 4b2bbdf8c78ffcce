// Defines the limits of an HttpServer for untrusted clients and the decisions
// that they lead to. The decisions read no clock and no socket.

#ifndef SEQUOIAPATH_TRANSPORT_CONNECTION_LIMITS_H_
#define SEQUOIAPATH_TRANSPORT_CONNECTION_LIMITS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct ConnectionTable;
}  // namespace internal

// Limits of one server. Zero means that a limit is not checked.
struct ConnectionLimits {
  std::size_t max_connections = 0;
  // Bytes of the request line and the headers of a request.
  std::size_t max_header_bytes = 0;
  // Bytes that one connection may hold for requests and unread responses.
  std::size_t max_connection_bytes = 0;
  // Time for the headers of an HTTP/1.1 request. During each period of this
  // length, a body must make progress (kMinBytesPerSecond).
  Duration header_timeout{0};
  // Time after which an HTTP/1.1 connection without a request is closed, and
  // any connection whose client does not read its response.
  Duration idle_timeout{0};
  // Size of the kernel's receive buffer of each connection.
  std::size_t receive_buffer_bytes = 0;
};

// Slowest accepted body. A link of 2 Mbit/s that 200 clients share gives each
// of them more.
constexpr std::size_t kMinBytesPerSecond = 1024;

// Why a request was refused or its connection closed.
enum class CloseReason {
  kBodyTooLarge,
  kHeadersTooLarge,
  kSlowHeaders,
  kSlowBody,
  kIdle,
  kUnreadResponse,
  kTooManyConnections,
  kConnectionShare,
  kBudget,
};
constexpr std::size_t kCloseReasonCount = 9;

// Returns the reason as metrics and logs name it. Thread-safe.
std::string_view ToString(CloseReason reason);

// A budget of bytes that all servers of a process share, and counters. The
// bytes are those that h2o holds for requests and HTTP/2 responses, and those
// that wait in the receive buffers of connections that are not read.
// Thread safety: loop thread only.
struct RequestBudget {
  std::size_t limit_bytes = 0;  // Zero: unlimited.
  std::array<std::uint64_t, kCloseReasonCount> closed{};
  // The servers that share the budget. Servers are never removed, because
  // their state lives as long as the process.
  std::vector<internal::ConnectionTable*> tables;
};

// Returns the bytes in flight as of the servers' latest checks.
std::size_t BytesInFlight(const RequestBudget& budget);

// Returns the number of open connections of the servers.
std::size_t OpenConnections(const RequestBudget& budget);

enum class ConnectionPhase {
  kIdle,     // Between requests.
  kHeaders,  // A part of the headers was received.
  kBody,     // The headers and a part of a body were received.
  kPending,  // The server has not answered yet. Never closed by a limit.
  kWriting,  // The client has not read the response.
};

// What was measured of a connection.
struct ConnectionSample {
  ConnectionPhase phase = ConnectionPhase::kIdle;
  bool http2 = false;
  std::size_t held_bytes = 0;
  std::uint64_t bytes_read = 0;     // Since the connection was accepted.
  std::uint64_t bytes_written = 0;  // Likewise.
  std::uint64_t requests = 0;       // Requests that were received completely.
};

// What is known of a connection.
struct ConnectionRecord {
  ConnectionSample latest;
  TimePoint phase_began;
  // The period in which a body must make progress.
  TimePoint period_began;
  std::uint64_t period_bytes_read = 0;
  bool closing = false;
};

// Adds a sample to a record. Thread-safe.
void AddSample(const ConnectionSample& sample, TimePoint now,
               ConnectionRecord* record);

// Returns why the connection has to be closed, if it has. Starts the next
// period of a body that made progress. Thread-safe.
std::optional<CloseReason> CheckConnection(const ConnectionLimits& limits,
                                           TimePoint now,
                                           ConnectionRecord* record);

// Returns whether `a` is to be closed before `b` to make room for a new
// connection: idle ones first, then those that send headers, then those that do
// not read their response, then the body with the least progress; among equals
// the one that has been in its phase the longest. Neither may be pending.
// Thread-safe.
bool IsClosedBefore(const ConnectionRecord& a, const ConnectionRecord& b);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_CONNECTION_LIMITS_H_
