#include "sequoiapath/transport/http_client.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <netinet/in.h>

#include <algorithm>
#include <limits>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "socket_options.h"

namespace sequoiapath {
namespace internal {

// The timer of each call enforces the request timeout; h2o's own timeout is
// only a fallback and therefore much longer.
constexpr auto kIoTimeout = std::chrono::hours(1);

struct Call;

// One connection. An h2o pool reuses its oldest idle connection first. To reuse
// the newest one instead, each connection has its own pool with capacity 1.
struct Connection {
  h2o_socketpool_t pool{};
  TimePoint idle_since;
  // True once the pool may contain an open socket.
  bool established = false;
};

using ConnectionList = std::list<std::unique_ptr<Connection>>;

struct HttpClientState {
  EventLoop* loop = nullptr;
  Endpoint endpoint;
  sockaddr_in address{};
  std::size_t max_connections = 0;
  Duration idle_timeout{};
  Duration connect_timeout{};
  h2o_http1client_ctx_t context{};
  h2o_timeout_t io_timeout{};
  ConnectionList idle;  // Most recently used first.
  std::size_t busy = 0;
  std::unordered_map<HttpRequestId, std::unique_ptr<Call>> calls;
  HttpRequestId next_id = 1;
  TimerId idle_timer = 0;
};

// A request in progress.
struct Call {
  HttpClientState* client = nullptr;
  HttpRequestId id = 0;
  std::unique_ptr<Connection> connection;
  std::string head;
  std::string body;
  h2o_iovec_t buffers[2]{};
  bool is_head_request = false;
  h2o_http1client_t* h2o_client = nullptr;
  TimerId timeout_timer = 0;
  TimerId connect_timer = 0;
  bool starting = false;  // True until StartCall has returned.
  bool sent = false;
  HttpResponse response;
  HttpCallback callback;
  HttpChunkCallback on_chunk;  // If null, the body is stored in `response`.
  // True while `on_chunk` runs. The request must not be cancelled in h2o then,
  // because h2o's body callback is on the stack.
  bool in_chunk_callback = false;
  bool cancel_requested = false;
};

namespace {

// Initializes a pool as h2o_socketpool_set_timeout would, but without its
// timer: one timer per connection would cost more than one timer per client,
// which runs CloseExpiredIdle.
void InitPool(HttpClientState* client, h2o_socketpool_t* pool) {
  h2o_socketpool_init_by_address(
      pool, reinterpret_cast<sockaddr*>(&client->address),
      sizeof(client->address), /*is_ssl=*/0, /*capacity=*/1);
  pool->timeout = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(client->idle_timeout)
          .count());
  pool->_interval_cb.loop = client->loop->native();
}

void CloseConnection(std::unique_ptr<Connection> connection) {
  // Prevents h2o from disposing of a timer, because InitPool created none.
  connection->pool._interval_cb.loop = nullptr;
  h2o_socketpool_dispose(&connection->pool);
}

// Closes the connection in the next iteration of the loop, because h2o may
// still use the pool in the callback that is on the stack.
void CloseConnectionLater(EventLoop* loop,
                          std::unique_ptr<Connection> connection) {
  auto shared =
      std::make_shared<std::unique_ptr<Connection>>(std::move(connection));
  loop->Schedule(Duration::zero(),
                 [shared] { CloseConnection(std::move(*shared)); });
}

std::unique_ptr<Connection> NewConnection(HttpClientState* client) {
  auto connection = std::make_unique<Connection>();
  InitPool(client, &connection->pool);
  return connection;
}

// Returns the most recently used idle connection, a new connection if none is
// idle, or null if the maximum number of connections is reached.
std::unique_ptr<Connection> TakeConnection(HttpClientState* client) {
  std::unique_ptr<Connection> connection;
  if (!client->idle.empty()) {
    connection = std::move(client->idle.front());
    client->idle.pop_front();
  } else if (client->busy < client->max_connections) {
    connection = NewConnection(client);
  } else {
    return nullptr;
  }
  ++client->busy;
  return connection;
}

// Closes connections that have reached the idle timeout and restarts the timer
// for the remaining ones.
void CloseExpiredIdle(HttpClientState* client) {
  client->idle_timer = 0;
  const TimePoint now = client->loop->Now();
  while (!client->idle.empty() &&
         now - client->idle.back()->idle_since >= client->idle_timeout) {
    CloseConnection(std::move(client->idle.back()));
    client->idle.pop_back();
  }
  if (client->idle.empty()) return;
  const Duration age = now - client->idle.back()->idle_since;
  client->idle_timer = client->loop->Schedule(
      client->idle_timeout - age, [client] { CloseExpiredIdle(client); });
}

void ReturnToIdle(HttpClientState* client,
                  std::unique_ptr<Connection> connection) {
  connection->idle_since = client->loop->Now();
  connection->established = true;
  client->idle.push_front(std::move(connection));
  if (client->idle_timer == 0) {
    client->idle_timer = client->loop->Schedule(
        client->idle_timeout, [client] { CloseExpiredIdle(client); });
  }
}

// Removes the call and reports its result. `reusable` is true if h2o has
// returned the socket to the pool.
void Finish(Call* call, HttpResult result, bool reusable) {
  HttpClientState* client = call->client;
  auto node = client->calls.extract(call->id);
  const std::unique_ptr<Call> owned = std::move(node.mapped());
  client->loop->Cancel(owned->timeout_timer);
  client->loop->Cancel(owned->connect_timer);
  --client->busy;
  const bool within_limit =
      client->busy + client->idle.size() < client->max_connections;
  if (reusable && within_limit) {
    ReturnToIdle(client, std::move(owned->connection));
  } else {
    CloseConnectionLater(client->loop, std::move(owned->connection));
  }
  owned->callback(std::move(result));
}

void Fail(Call* call, HttpErrorKind kind, std::string message) {
  Finish(call, HttpError{kind, call->sent, std::move(message)},
         /*reusable=*/false);
}

// Fails a call in the next iteration of the loop, in place of its timeout.
void FailLater(Call* call, HttpErrorKind kind, const std::string& message) {
  EventLoop* loop = call->client->loop;
  loop->Cancel(call->timeout_timer);
  call->timeout_timer = loop->Schedule(
      Duration::zero(), [call, kind, message] { Fail(call, kind, message); });
}

// Cancels the request in h2o, which closes the socket, and reports `kind`.
// Request bytes that the server has not acknowledged yet are discarded.
void Abort(Call* call, HttpErrorKind kind, std::string message) {
  if (call->h2o_client != nullptr) {
    if (call->h2o_client->sock != nullptr) {
      DiscardUnsentOnClose(h2o_socket_get_fd(call->h2o_client->sock));
    }
    h2o_http1client_cancel(call->h2o_client);
  }
  Fail(call, kind, std::move(message));
}

void Complete(Call* call) {
  HttpResponse response = std::move(call->response);
  const auto connection = FindHeader(response.headers, "connection");
  const bool keep = !connection.has_value() || *connection != "close";
  Finish(call, std::move(response), keep);
}

constexpr int kStatusOk = 200;

// Moves received bytes from h2o's buffer to the response or passes them to the
// chunk callback.
void ConsumeBody(Call* call, h2o_buffer_t** input) {
  const std::string chunk((*input)->bytes, (*input)->size);
  h2o_buffer_consume(input, (*input)->size);
  if (!call->on_chunk || call->response.status != kStatusOk) {
    call->response.body += chunk;
    return;
  }
  if (chunk.empty()) return;
  call->in_chunk_callback = true;
  call->on_chunk(chunk);
  call->in_chunk_callback = false;
}

int OnBody(h2o_http1client_t* h2o_client, const char* error) {
  auto* call = static_cast<Call*>(h2o_client->data);
  if (error != nullptr && error != h2o_http1client_error_is_eos) {
    call->h2o_client = nullptr;
    Fail(call, HttpErrorKind::kClosed, error);
    return -1;
  }
  ConsumeBody(call, &h2o_client->sock->input);
  if (call->cancel_requested) {
    call->h2o_client = nullptr;
    Fail(call, HttpErrorKind::kCancelled, "cancelled by the caller");
    return -1;  // Makes h2o close the connection.
  }
  if (error == h2o_http1client_error_is_eos) {
    call->h2o_client = nullptr;
    Complete(call);
  }
  return 0;
}

h2o_http1client_body_cb OnHead(h2o_http1client_t* h2o_client, const char* error,
                               int /*minor_version*/, int status,
                               h2o_iovec_t /*message*/, h2o_header_t* headers,
                               std::size_t header_count, int /*rlen*/) {
  auto* call = static_cast<Call*>(h2o_client->data);
  if (error != nullptr && error != h2o_http1client_error_is_eos) {
    call->h2o_client = nullptr;
    Fail(call, HttpErrorKind::kClosed, error);
    return nullptr;
  }
  call->response.status = status;
  for (std::size_t i = 0; i < header_count; ++i) {
    call->response.headers.push_back(
        {std::string(headers[i].name->base, headers[i].name->len),
         std::string(headers[i].value.base, headers[i].value.len)});
  }
  if (error == h2o_http1client_error_is_eos) {
    call->h2o_client = nullptr;
    Complete(call);
    return nullptr;
  }
  return OnBody;
}

h2o_http1client_head_cb OnConnect(h2o_http1client_t* h2o_client,
                                  const char* error, h2o_iovec_t** buffers,
                                  std::size_t* buffer_count,
                                  int* method_is_head) {
  auto* call = static_cast<Call*>(h2o_client->data);
  if (error != nullptr) {
    call->h2o_client = nullptr;
    if (call->starting) {
      FailLater(call, HttpErrorKind::kConnectFailed, error);
    } else {
      Fail(call, HttpErrorKind::kRefused, error);
    }
    return nullptr;
  }
  call->client->loop->Cancel(call->connect_timer);
  ConfigureClientSocket(h2o_socket_get_fd(h2o_client->sock));
  call->buffers[0] = h2o_iovec_init(call->head.data(), call->head.size());
  call->buffers[1] = h2o_iovec_init(call->body.data(), call->body.size());
  *buffers = call->buffers;
  *buffer_count = call->body.empty() ? 1 : 2;
  *method_is_head = call->is_head_request ? 1 : 0;
  // h2o writes the request as soon as this function returns.
  call->sent = true;
  return OnHead;
}

std::string FormatHead(const HttpRequest& request, const Endpoint& endpoint) {
  std::string head = fmt::format(
      "{} {} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n", request.method,
      request.path, ToString(endpoint), request.body.size());
  for (const HttpHeader& header : request.headers) {
    head += fmt::format("{}: {}\r\n", header.name, header.value);
  }
  return head + "\r\n";
}

// The kernel may reject a connection at once, for example if there is no route
// to the address. h2o then calls OnConnect before this function returns.
void StartCall(Call* call) {
  call->starting = true;
  h2o_http1client_connect_with_pool(&call->h2o_client, call,
                                    &call->client->context,
                                    &call->connection->pool, OnConnect);
  call->starting = false;
}

}  // namespace
}  // namespace internal

using internal::Call;
using internal::Connection;

const char* ToString(HttpErrorKind kind) {
  switch (kind) {
    case HttpErrorKind::kConnectFailed:
      return "connect_failed";
    case HttpErrorKind::kRefused:
      return "refused";
    case HttpErrorKind::kNoConnection:
      return "no_connection";
    case HttpErrorKind::kTimeout:
      return "timeout";
    case HttpErrorKind::kClosed:
      return "closed";
    case HttpErrorKind::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

HttpClient::HttpClient(std::unique_ptr<internal::HttpClientState> state)
    : state(std::move(state)) {}

HttpClient::~HttpClient() {
  internal::HttpClientState* client = this->state.get();
  while (!client->calls.empty()) {
    this->Cancel(client->calls.begin()->first);
  }
  this->CloseIdleConnections();
  client->loop->Cancel(client->idle_timer);
  // The event loop keeps a list of its timeouts. No call uses this one any
  // more, and connections that are closed later do not use it.
  h2o_timeout_dispose(client->loop->native(), &client->io_timeout);
}

HttpRequestId HttpClient::Send(HttpRequest request, Duration timeout,
                               HttpCallback callback) {
  return this->SendStreaming(std::move(request), timeout, nullptr,
                             std::move(callback));
}

HttpRequestId HttpClient::SendStreaming(HttpRequest request, Duration timeout,
                                        HttpChunkCallback on_chunk,
                                        HttpCallback callback) {
  internal::HttpClientState* client = this->state.get();
  std::unique_ptr<Connection> connection = internal::TakeConnection(client);
  if (connection == nullptr) {
    client->loop->Schedule(Duration::zero(), [callback = std::move(callback)] {
      callback(HttpError{HttpErrorKind::kNoConnection, false,
                         "all connections are busy"});
    });
    return 0;
  }
  auto owned = std::make_unique<Call>();
  Call* call = owned.get();
  call->client = client;
  call->id = client->next_id++;
  call->connection = std::move(connection);
  call->is_head_request = request.method == "HEAD";
  call->head = internal::FormatHead(request, client->endpoint);
  call->body = std::move(request.body);
  call->callback = std::move(callback);
  call->on_chunk = std::move(on_chunk);
  call->timeout_timer = client->loop->Schedule(timeout, [call] {
    internal::Abort(call, HttpErrorKind::kTimeout,
                    "no complete response within the timeout");
  });
  call->connect_timer = client->loop->Schedule(client->connect_timeout, [call] {
    internal::Abort(call, HttpErrorKind::kConnectFailed,
                    "connection attempt timed out");
  });
  const HttpRequestId id = call->id;
  client->calls.emplace(id, std::move(owned));
  internal::StartCall(call);
  return id;
}

void HttpClient::Cancel(HttpRequestId id) {
  auto it = this->state->calls.find(id);
  if (it == this->state->calls.end()) return;
  if (it->second->in_chunk_callback) {
    it->second->cancel_requested = true;
    return;
  }
  internal::Abort(it->second.get(), HttpErrorKind::kCancelled,
                  "cancelled by the caller");
}

void HttpClient::SetMaxConnections(std::size_t count) {
  internal::HttpClientState* client = this->state.get();
  client->max_connections = count;
  while (!client->idle.empty() && client->busy + client->idle.size() > count) {
    internal::CloseConnectionLater(client->loop,
                                   std::move(client->idle.back()));
    client->idle.pop_back();
  }
}

void HttpClient::CloseIdleConnections() {
  internal::HttpClientState* client = this->state.get();
  while (!client->idle.empty()) {
    internal::CloseConnectionLater(client->loop,
                                   std::move(client->idle.front()));
    client->idle.pop_front();
  }
}

std::size_t HttpClient::BusyConnections() const { return this->state->busy; }

std::size_t HttpClient::IdleConnections() const {
  return this->state->idle.size();
}

const Endpoint& HttpClient::endpoint() const { return this->state->endpoint; }

HttpClientBuilder::HttpClientBuilder(EventLoop* loop, Endpoint endpoint)
    : loop(loop), remote(std::move(endpoint)) {}

HttpClientBuilder& HttpClientBuilder::MaxConnections(std::size_t count) {
  this->max_connections = count;
  return *this;
}

HttpClientBuilder& HttpClientBuilder::IdleTimeout(Duration timeout) {
  this->idle_timeout = timeout;
  return *this;
}

HttpClientBuilder& HttpClientBuilder::ConnectTimeout(Duration timeout) {
  this->connect_timeout = timeout;
  return *this;
}

std::unique_ptr<HttpClient> HttpClientBuilder::Build() {
  auto state = std::make_unique<internal::HttpClientState>();
  state->loop = this->loop;
  state->endpoint = this->remote;
  state->address.sin_family = AF_INET;
  state->address.sin_port = htons(this->remote.port);
  inet_pton(AF_INET, this->remote.address.c_str(), &state->address.sin_addr);
  state->max_connections = this->max_connections;
  state->idle_timeout = this->idle_timeout;
  state->connect_timeout = this->connect_timeout;
  state->context.loop = this->loop->native();
  h2o_timeout_init(
      this->loop->native(), &state->io_timeout,
      static_cast<std::uint64_t>(
          std::chrono::milliseconds(internal::kIoTimeout).count()));
  state->context.io_timeout = &state->io_timeout;
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(state)));
}

}  // namespace sequoiapath
