// Defines HttpClient, an HTTP/1.1 client with a limited number of connections
// to one endpoint. It reports whether a failed request may have reached the
// server.

#ifndef SEQUOIAPATH_TRANSPORT_HTTP_CLIENT_H_
#define SEQUOIAPATH_TRANSPORT_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

namespace internal {
struct HttpClientState;
}  // namespace internal

enum class HttpErrorKind {
  kConnectFailed,  // No connection was established; nothing was sent.
  kRefused,        // The connection was refused; nothing was sent.
  kNoConnection,   // All connections are busy; nothing was sent.
  kTimeout,        // No complete response within the timeout.
  kClosed,         // The connection or stream failed before the response was
                   // complete.
  kCancelled,      // The caller cancelled the request.
};

// Returns a short name for logs. Thread-safe.
const char* ToString(HttpErrorKind kind);

struct HttpError {
  HttpErrorKind kind = HttpErrorKind::kClosed;
  // False only if it is certain that no byte of the request was written.
  bool may_have_been_sent = true;
  std::string message;
  // Of a timeout in PeerClient: the peer sent nothing on the call's connection
  // while the call was in progress, so that replies to other calls on it may be
  // lost.
  bool connection_was_silent = false;
};

using HttpResult = std::variant<HttpResponse, HttpError>;
using HttpCallback = std::function<void(HttpResult result)>;

// Receives a part of a response body; `chunk` is valid during the call only.
using HttpChunkCallback = std::function<void(std::string_view chunk)>;

// Identifies a request in progress; zero means no request.
using HttpRequestId = std::uint64_t;

// Sends requests to one endpoint. Each connection carries one request at a
// time, so that a response always belongs to that request. The most recently
// used idle connection is reused first, because it is the least likely to be
// broken. Thread safety: loop thread only.
class HttpClient {
 public:
  // Cancels all requests. May run in the callback of a request, but not in
  // `on_chunk`.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request` and calls `callback` exactly once, after Send has returned.
  // When `timeout` expires the connection is closed, so that a late response is
  // discarded. Returns zero if all connections are busy.
  HttpRequestId Send(HttpRequest request, Duration timeout,
                     HttpCallback callback);

  // Like Send, but passes the body of a response with status 200 to `on_chunk`
  // as it arrives; the body of the final result is then empty. `on_chunk` may
  // cancel the request but must not destroy the client.
  HttpRequestId SendStreaming(HttpRequest request, Duration timeout,
                              HttpChunkCallback on_chunk,
                              HttpCallback callback);

  // Cancels a request: its callback receives kCancelled and its connection is
  // closed. Has no effect on a finished request.
  void Cancel(HttpRequestId id);

  // Changes the maximum number of connections, busy and idle together. Excess
  // idle connections are closed at once, excess busy ones when their requests
  // finish.
  void SetMaxConnections(std::size_t count);

  // Closes all idle connections.
  void CloseIdleConnections();

  // Returns the number of connections in use by a request.
  std::size_t BusyConnections() const;

  // Returns the number of idle connections that are kept for reuse.
  std::size_t IdleConnections() const;

  const Endpoint& endpoint() const;

 private:
  friend class HttpClientBuilder;
  explicit HttpClient(std::unique_ptr<internal::HttpClientState> state);

  std::unique_ptr<internal::HttpClientState> state;
};

// Builds an HttpClient.
class HttpClientBuilder {
 public:
  // Preconditions: `loop` outlives the client; the address is numeric.
  HttpClientBuilder(EventLoop* loop, Endpoint endpoint);

  // Sets the maximum number of connections, busy and idle together.
  HttpClientBuilder& MaxConnections(std::size_t count);

  // Sets how long an idle connection is kept open.
  HttpClientBuilder& IdleTimeout(Duration timeout);

  // Sets how long a connection attempt may take.
  HttpClientBuilder& ConnectTimeout(Duration timeout);

  std::unique_ptr<HttpClient> Build();

 private:
  EventLoop* loop;
  Endpoint remote;
  std::size_t max_connections = 64;
  Duration idle_timeout = std::chrono::seconds(5);
  Duration connect_timeout = std::chrono::seconds(1);
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_HTTP_CLIENT_H_
