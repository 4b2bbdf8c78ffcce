// Defines HttpServer, an HTTP/1.1 and HTTP/2 (prior knowledge) server on h2o.

#ifndef SEQUOIAPATH_TRANSPORT_HTTP_SERVER_H_
#define SEQUOIAPATH_TRANSPORT_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
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
struct HttpServerState;
struct PendingExchange;
}  // namespace internal

// Sends a response body in chunks. Copies share the same exchange.
// Thread safety: loop thread only.
class HttpBodyStream {
 public:
  explicit HttpBodyStream(std::shared_ptr<internal::PendingExchange> exchange);

  // Sends `chunk` after the earlier ones. Has no effect once the stream is
  // finished or the client has gone. Chunks that the client does not read are
  // kept in memory.
  void Write(std::string_view chunk) const;

  // Ends the body after the chunks that were written.
  void Finish() const;

  // Returns whether the client is still connected, as far as is known: a client
  // that left is noticed when a write fails.
  bool IsOpen() const;

 private:
  std::shared_ptr<internal::PendingExchange> exchange;
};

// Answers one request. Copies share the same exchange.
// Thread safety: loop thread only.
class HttpResponder {
 public:
  explicit HttpResponder(std::shared_ptr<internal::PendingExchange> exchange);

  // Sends the response. Later calls, and calls after the client has gone, have
  // no effect.
  void Respond(const HttpResponse& response) const;

  // Starts a response whose body is sent in chunks; use it instead of Respond.
  // The status and headers are sent with the first chunk.
  HttpBodyStream StartStream(const HttpResponse& head) const;

  // Calls `callback` once if the client goes away before Respond, or before the
  // stream is finished. Replaces an earlier callback.
  void OnAbort(std::function<void()> callback) const;

 private:
  std::shared_ptr<internal::PendingExchange> exchange;
};

// Called for each request. The request is valid during the call only.
using HttpHandler =
    std::function<void(const HttpRequest& request, HttpResponder responder)>;

// Describes why a server could not start.
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

  // Returns the bound endpoint, with the real port if zero was asked for.
  const Endpoint& endpoint() const;

  // Closes the listening socket; open connections stay usable.
  void StopAccepting();

  // Tells open connections to close once their current requests are answered.
  void BeginGracefulShutdown();

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

  // Sets the address to listen on; port zero picks a free port.
  HttpServerBuilder& Listen(Endpoint endpoint);

  // Sets the largest accepted request body, in bytes; larger ones get 413.
  HttpServerBuilder& MaxBodySize(std::size_t bytes);

  // Sets how long a connection may take to deliver a request, or stay idle
  // between requests, before it is closed.
  HttpServerBuilder& RequestTimeout(Duration timeout);

  // Sets the function that answers requests.
  HttpServerBuilder& Handler(HttpHandler handler);

  // Binds and starts to accept. Precondition: Listen and Handler were called.
  std::variant<std::unique_ptr<HttpServer>, ListenError> Build();

 private:
  EventLoop* loop;
  Endpoint listen_endpoint;
  std::size_t max_body_size = 4 << 20;
  Duration request_timeout = std::chrono::seconds(10);
  HttpHandler handler;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_HTTP_SERVER_H_
