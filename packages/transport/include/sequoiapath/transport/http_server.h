// Defines HttpServer, a server for HTTP/1.1 and HTTP/2 with prior knowledge,
// based on h2o.

#ifndef SEQUOIAPATH_TRANSPORT_HTTP_SERVER_H_
#define SEQUOIAPATH_TRANSPORT_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "sequoiapath/transport/connection_limits.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

namespace internal {
struct HttpServerState;
struct PendingExchange;
}  // namespace internal

// Sends a response body in chunks. Copies share the same exchange.
// Thread safety: loop thread only.
class HttpBodyStream {
 public:
  explicit HttpBodyStream(std::shared_ptr<internal::PendingExchange> exchange);

  // Appends `chunk` to the body. Has no effect once the stream is finished or
  // the request is closed. Chunks that the client has not read yet are buffered
  // in memory without a limit.
  void Write(std::string_view chunk) const;

  // Ends the body after the chunks written so far.
  void Finish() const;

  // Returns whether chunks can be written: the stream is not finished and no
  // disconnect of the client was detected. A disconnect is detected when a
  // write fails.
  bool IsOpen() const;

 private:
  std::shared_ptr<internal::PendingExchange> exchange;
};

// Answers one request. Copies share the same exchange.
// Thread safety: loop thread only.
class HttpResponder {
 public:
  explicit HttpResponder(std::shared_ptr<internal::PendingExchange> exchange);

  // Sends the response. Has no effect after the first call, after StartStream,
  // or after the client has disconnected.
  void Respond(const HttpResponse& response) const;

  // Starts a response whose body is sent in chunks; called instead of Respond.
  // The status and headers of `head` are sent with the first chunk.
  HttpBodyStream StartStream(const HttpResponse& head) const;

  // Calls `callback` once if the client disconnects before Respond is called or
  // the stream is finished. Replaces the previous callback. On HTTP/1.1, only
  // HttpServer::CloseAbortedConnections detects a disconnect before the
  // response starts.
  void OnAbort(std::function<void()> callback) const;

  // Closes the connection if the client has already closed or reset it, as
  // HttpServer::CloseAbortedConnections does, and returns whether it has. TCP
  // may deliver a request late, with the end of its connection right behind it.
  // Always false for HTTP/2. Loop thread only.
  bool CloseIfClientHasGone() const;

  // Returns when the kernel received the last byte of the request, which may
  // have waited in the socket. For HTTP/2: when the request was read.
  TimePoint ReceivedAt() const;

  // Returns a time before which the client cannot have sent the request: when
  // its connection was established or the latest response on it was sent.
  // TimePoint::min() if no such time is known: for HTTP/2, for a pipelined
  // request, and after TCP has repeated a response. TCP may deliver a request
  // any time after it was sent. The time does not include suspensions of the
  // machine (EventLoop::SuspendedTime).
  TimePoint SentAfter() const;

 private:
  std::shared_ptr<internal::PendingExchange> exchange;
};

// Called for each request. `request` is valid during the call only.
using HttpHandler =
    std::function<void(const HttpRequest& request, HttpResponder responder)>;

// Describes why a server could not listen on its endpoint.
struct ListenError {
  std::string message;
};

// Serves HTTP on one listening socket.
// Thread safety: loop thread only.
class HttpServer {
 public:
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the bound endpoint, with the assigned port if port zero was
  // requested.
  const Endpoint& endpoint() const;

  // Closes the listening socket. Open connections are still served.
  void StopAccepting();

  // Closes each open connection once its current requests have been answered.
  void BeginGracefulShutdown();

  // Closes each HTTP/1.1 connection whose client has closed or reset it while
  // its request is pending, and calls the request's OnAbort callback. A later
  // Respond has no effect. Neither waits nor consumes received data. Call it
  // periodically: h2o 2.2 does not read an HTTP/1.1 connection between a
  // request and its response, so nothing else detects the disconnect. A client
  // that has closed only its sending direction counts as disconnected; its
  // connection is closed without a response. Responses that are streamed are
  // not checked. Precondition: SIGPIPE is ignored.
  void CloseAbortedConnections();

  // Sets the maximum size of the bodies of later requests, in bytes.
  void SetMaxBodySize(std::size_t bytes);

  // Sets limits of a server that was built with limits; has no effect on
  // others. The parameters are described at ConnectionLimits.
  void SetHeaderLimits(std::size_t max_bytes, Duration header_timeout,
                       Duration idle_timeout);

  // Returns the number of requests that have not been answered yet.
  std::size_t PendingRequests() const;

 private:
  friend class HttpServerBuilder;
  explicit HttpServer(std::unique_ptr<internal::HttpServerState> state);

  std::unique_ptr<internal::HttpServerState> state;
};

// Builds an HttpServer.
class HttpServerBuilder {
 public:
  // Precondition: `loop` outlives the server.
  explicit HttpServerBuilder(EventLoop* loop);

  // Sets the endpoint to listen on; port zero selects a free port.
  HttpServerBuilder& Listen(Endpoint endpoint);

  // Sets the maximum size of a request body, in bytes; a larger one is answered
  // with status 413.
  HttpServerBuilder& MaxBodySize(std::size_t bytes);

  // Sets the limits for untrusted clients, and the budget that the server
  // shares with others. Without limits, connections are not checked.
  // Precondition: `budget` is not null.
  HttpServerBuilder& Limits(const ConnectionLimits& limits,
                            std::shared_ptr<RequestBudget> budget);

  // Sets the time after which a connection is closed that has not delivered a
  // complete request or is idle between requests.
  HttpServerBuilder& RequestTimeout(Duration timeout);

  // Sets the function that answers requests.
  HttpServerBuilder& Handler(HttpHandler handler);

  // Binds the socket and starts to accept connections.
  // Precondition: Listen and Handler were called.
  std::variant<std::unique_ptr<HttpServer>, ListenError> Build();

 private:
  EventLoop* loop;
  Endpoint listen_endpoint;
  std::size_t max_body_size = 4 << 20;
  Duration request_timeout = std::chrono::seconds(10);
  ConnectionLimits limits;
  std::shared_ptr<RequestBudget> budget;
  HttpHandler handler;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_HTTP_SERVER_H_
