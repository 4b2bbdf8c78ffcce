// Defines ConnectionTable, the connections of an HttpServer with limits. It
// measures them in h2o's structs and closes those that exceed a limit.
//
// Thread safety: loop thread only.

#ifndef SEQUOIAPATH_TRANSPORT_CONNECTION_TABLE_H_
#define SEQUOIAPATH_TRANSPORT_CONNECTION_TABLE_H_

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "sequoiapath/transport/connection_limits.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath::internal {

struct Connection {
  ConnectionTable* table = nullptr;
  h2o_socket_t* socket = nullptr;
  ConnectionRecord record;
  bool http2 = false;
  std::uint64_t requests = 0;    // Received completely.
  std::size_t pending = 0;       // Of these, requests without an answer.
  std::size_t unread = 0;        // Answers that h2o has not sent completely.
  std::size_t unread_bytes = 0;  // Bytes of their bodies.
  // Of HTTP/2 requests that are being received, as of the latest measurement.
  std::size_t incomplete = 0;
  // Bytes read when no HTTP/2 request was being received, and the bytes of
  // requests that were received completely since. The difference to the bytes
  // read bounds the bytes that incomplete requests hold; it includes frame
  // headers and control frames.
  std::uint64_t base_bytes = 0;
  std::uint64_t completed_bytes = 0;
};

struct ConnectionTable {
  EventLoop* loop = nullptr;
  h2o_context_t* context = nullptr;
  ConnectionLimits limits;
  std::shared_ptr<RequestBudget> budget;
  std::unordered_map<h2o_socket_t*, std::unique_ptr<Connection>> connections;
  std::size_t closing = 0;
  TimePoint checked_at;
  std::size_t held_bytes = 0;  // Of connections that are not closing.
  // h2o's number of refused bodies that `budget` already counts.
  std::uint64_t counted_bodies = 0;
};

// Adds the table to its budget and begins to check its connections
// periodically. Precondition: `table` is not freed before the loop.
void StartChecks(ConnectionTable* table);

// Makes room for a new connection and adds it. Returns false if there is no
// room; the caller then closes `socket`.
bool AddConnection(ConnectionTable* table, h2o_socket_t* socket);

// Returns the connection of a socket, or null.
Connection* FindConnection(ConnectionTable* table, h2o_socket_t* socket);

// Counts a request of `bytes` that was received completely. Returns false if
// it must not be processed, because its connection is being closed.
bool NoteRequest(Connection* connection, bool http2, std::size_t bytes);

// Counts a refusal or a closed connection.
void CountClosed(ConnectionTable* table, CloseReason reason);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_TRANSPORT_CONNECTION_TABLE_H_
