#include "sequoiapath/transport/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <unordered_set>
#include <utility>
#include <vector>

#include "connection_table.h"

namespace sequoiapath {
namespace internal {

constexpr int kListenBacklog = 1024;
// h2o represents the version of HTTP as major * 0x100 + minor.
constexpr int kHttp2Version = 0x200;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusHeadersTooLarge = 431;

struct HttpServerState;

struct PendingExchange;

// The state of a response body that is sent in chunks. h2o accepts one buffer
// at a time; `pending` collects the chunks written while `sending` is in
// flight.
struct BodyStream {
  // Must be the first member, because the pointer that h2o passes to the
  // callbacks is cast to BodyStream.
  h2o_generator_t generator;
  PendingExchange* exchange;
  std::string sending;
  std::string pending;
  bool in_flight;
  bool finished;
};

// One unanswered request. `request` becomes null once the request was answered
// or its connection was closed.
struct PendingExchange : std::enable_shared_from_this<PendingExchange> {
  h2o_req_t* request = nullptr;
  HttpServerState* server = nullptr;
  TimePoint received_at;
  TimePoint sent_after = TimePoint::min();
  std::function<void()> on_abort;
  std::unique_ptr<BodyStream> stream;
  // The socket of the request, as the key of ConnectionTable.
  h2o_socket_t* socket = nullptr;
  bool answered = false;
  std::size_t response_bytes = 0;
};

// The handler that h2o allocates; h2o requires `base` to be the first member.
struct ServerHandler {
  h2o_handler_t base;
  HttpServerState* server;
};

struct HttpServerState {
  EventLoop* loop = nullptr;
  Endpoint endpoint;
  HttpHandler handler;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept_context{};
  h2o_socket_t* listener = nullptr;
  std::size_t pending_requests = 0;
  // The pending exchanges of HTTP/1.1 connections. h2o does not read such a
  // connection while its request is pending.
  std::unordered_set<PendingExchange*> unread_exchanges;
  // Null for a server without limits.
  std::unique_ptr<ConnectionTable> connections;
};

// Keeps the exchange alive as long as h2o's request. It is allocated in the
// request's memory pool, and h2o disposes of it together with the request.
struct ExchangeReference {
  std::shared_ptr<PendingExchange> exchange;
};

namespace {

std::string ToString(h2o_iovec_t text) {
  return std::string(text.base, text.len);
}

h2o_socket_t* SocketOf(h2o_req_t* request) {
  return request->conn->callbacks->get_socket(request->conn);
}

Connection* ConnectionOf(const PendingExchange& exchange) {
  return FindConnection(exchange.server->connections.get(), exchange.socket);
}

// Counts the response as unread until h2o disposes of the request.
void NoteAnswer(PendingExchange* exchange, std::size_t bytes) {
  Connection* connection = ConnectionOf(*exchange);
  if (connection == nullptr || exchange->answered) return;
  exchange->answered = true;
  exchange->response_bytes = bytes;
  --connection->pending;
  ++connection->unread;
  connection->unread_bytes += bytes;
}

// Precondition: h2o is disposing of the request.
void NoteEnd(const PendingExchange& exchange) {
  Connection* connection = ConnectionOf(exchange);
  if (connection == nullptr) return;
  if (!exchange.answered) {
    --connection->pending;
    return;
  }
  --connection->unread;
  connection->unread_bytes -= exchange.response_bytes;
}

// Clears the pointer to the h2o request and removes the exchange from the
// number of pending requests. Has no effect on an exchange already detached.
void DetachExchange(PendingExchange* exchange) {
  if (exchange->request == nullptr) return;
  exchange->request = nullptr;
  --exchange->server->pending_requests;
  exchange->server->unread_exchanges.erase(exchange);
}

// Passes the next buffer of the body to h2o unless one is in flight.
void FlushStream(BodyStream* stream) {
  h2o_req_t* request = stream->exchange->request;
  if (request == nullptr || stream->in_flight) return;
  if (stream->pending.empty() && !stream->finished) return;
  stream->in_flight = true;
  stream->sending = std::move(stream->pending);
  stream->pending.clear();
  h2o_iovec_t buffer =
      h2o_iovec_init(stream->sending.data(), stream->sending.size());
  if (stream->finished) DetachExchange(stream->exchange);
  h2o_send(
      request, &buffer, stream->sending.empty() ? 0 : 1,
      stream->finished ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void OnStreamProceed(h2o_generator_t* generator, h2o_req_t* /*request*/) {
  auto* stream = reinterpret_cast<BodyStream*>(generator);
  stream->in_flight = false;
  FlushStream(stream);
}

// Does nothing, because h2o disposes of the request next, and
// DisposeExchangeReference then calls `on_abort`.
void OnStreamStop(h2o_generator_t* /*generator*/, h2o_req_t* /*request*/) {}

void WriteHead(h2o_req_t* request, const HttpResponse& response) {
  request->res.status = response.status;
  request->res.reason = "status";
  for (const HttpHeader& header : response.headers) {
    const h2o_iovec_t name =
        h2o_strdup(&request->pool, header.name.data(), header.name.size());
    const h2o_iovec_t value =
        h2o_strdup(&request->pool, header.value.data(), header.value.size());
    h2o_add_header_by_str(&request->pool, &request->res.headers, name.base,
                          name.len, 1, nullptr, value.base, value.len);
  }
}

void DisposeExchangeReference(void* memory) {
  auto* reference = static_cast<ExchangeReference*>(memory);
  const std::shared_ptr<PendingExchange> exchange =
      std::move(reference->exchange);
  reference->~ExchangeReference();
  NoteEnd(*exchange);
  if (exchange->request == nullptr) return;
  DetachExchange(exchange.get());
  if (exchange->on_abort) std::exchange(exchange->on_abort, nullptr)();
}

// Precondition: the exchange is unanswered.
pollfd MakePollEntry(const PendingExchange& exchange) {
  h2o_conn_t* connection = exchange.request->conn;
  return {
      .fd = h2o_socket_get_fd(connection->callbacks->get_socket(connection)),
      .events = POLLRDHUP,
      .revents = 0};
}

bool PeerHasGone(const pollfd& entry) {
  return (entry.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

// Returns the server's unread exchanges whose peer has closed or reset its
// connection. Data that has arrived is no sign of that and is not consumed.
std::vector<std::shared_ptr<PendingExchange>> FindAbortedExchanges(
    const HttpServerState& server) {
  std::vector<PendingExchange*> exchanges;
  std::vector<pollfd> sockets;
  for (PendingExchange* exchange : server.unread_exchanges) {
    // A write of the body detects that the peer has gone.
    if (exchange->stream != nullptr) continue;
    exchanges.push_back(exchange);
    sockets.push_back(MakePollEntry(*exchange));
  }
  std::vector<std::shared_ptr<PendingExchange>> aborted;
  if (poll(sockets.data(), sockets.size(), 0) <= 0) return aborted;
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    if (!PeerHasGone(sockets[i])) continue;
    aborted.push_back(exchanges[i]->shared_from_this());
  }
  return aborted;
}

// Closes the connection of an unanswered exchange and calls `on_abort`. h2o 2.2
// has no function that closes a connection, so its socket is shut down and h2o
// closes the connection when it cannot write the response. A response that
// arrived would tell a peer that closed only its sending direction whether the
// request has run.
void AbortExchange(PendingExchange* exchange) {
  h2o_req_t* request = exchange->request;
  if (request == nullptr) return;
  DetachExchange(exchange);
  h2o_conn_t* connection = request->conn;
  shutdown(h2o_socket_get_fd(connection->callbacks->get_socket(connection)),
           SHUT_RDWR);
  request->http1_is_persistent = 0;
  WriteHead(request, {.status = kStatusBadGateway, .headers = {}, .body = ""});
  h2o_send_inline(request, "", 0);
  if (exchange->on_abort) std::exchange(exchange->on_abort, nullptr)();
}

std::string RemoteAddress(h2o_req_t* request) {
  sockaddr_storage address{};
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (request->conn->callbacks->get_peername(request->conn, generic) == 0) {
    return "";
  }
  char text[NI_MAXHOST];
  const std::size_t length =
      h2o_socket_getnumerichost(generic, sizeof(sockaddr_in), text);
  return length == SIZE_MAX ? "" : std::string(text, length);
}

HttpRequest ReadRequest(h2o_req_t* request) {
  HttpRequest result;
  result.method = ToString(request->method);
  result.path = ToString(request->path);
  result.remote_address = RemoteAddress(request);
  if (request->entity.base != nullptr) result.body = ToString(request->entity);
  result.headers.reserve(request->headers.size + 1);
  // h2o stores the host separately from the other headers.
  result.headers.push_back({"host", ToString(request->authority)});
  for (std::size_t i = 0; i < request->headers.size; ++i) {
    const h2o_header_t& header = request->headers.entries[i];
    result.headers.push_back({ToString(*header.name), ToString(header.value)});
  }
  return result;
}

// Sets the times of an HTTP/1.1 request from those that the kernel keeps of its
// connection.
void ReadTimes(PendingExchange* exchange) {
  h2o_conn_t* connection = exchange->request->conn;
  const int fd =
      h2o_socket_get_fd(connection->callbacks->get_socket(connection));
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return;
  using std::chrono::milliseconds;
  const TimePoint now = exchange->received_at;
  exchange->received_at = now - milliseconds(info.tcpi_last_data_recv);
  // A connection on which nothing has been sent reports the time since it was
  // established.
  const TimePoint answered = now - milliseconds(info.tcpi_last_data_sent);
  // A pipelined request was sent before the latest response. A repetition of a
  // response may have been sent after the next request.
  const bool known =
      info.tcpi_total_retrans == 0 && answered <= exchange->received_at;
  if (known) exchange->sent_after = answered;
}

std::size_t HeaderBytes(const h2o_req_t& request) {
  // The separators of the request line and of a header.
  constexpr std::size_t kSeparators = 4;
  std::size_t bytes = request.method.len + request.path.len +
                      request.authority.len + kSeparators;
  for (std::size_t i = 0; i < request.headers.size; ++i) {
    const h2o_header_t& header = request.headers.entries[i];
    bytes += header.name->len + header.value.len + kSeparators;
  }
  return bytes;
}

// Returns whether the request may be processed. Otherwise it was refused, or
// its connection is being closed.
bool AdmitRequest(HttpServerState* server, h2o_req_t* request) {
  ConnectionTable* table = server->connections.get();
  Connection* connection = FindConnection(table, SocketOf(request));
  if (connection == nullptr) return true;
  const std::size_t header_bytes = HeaderBytes(*request);
  const bool open = NoteRequest(connection, request->version >= kHttp2Version,
                                header_bytes + request->entity.len);
  const std::size_t limit = table->limits.max_header_bytes;
  const bool fits = limit == 0 || header_bytes <= limit;
  if (open && fits) return true;
  if (open) CountClosed(table, CloseReason::kHeadersTooLarge);
  request->http1_is_persistent = 0;
  WriteHead(request,
            {.status = kStatusHeadersTooLarge, .headers = {}, .body = ""});
  h2o_send_inline(request, "", 0);
  return false;
}

int OnRequest(h2o_handler_t* handler, h2o_req_t* request) {
  HttpServerState* server = reinterpret_cast<ServerHandler*>(handler)->server;
  if (!AdmitRequest(server, request)) return 0;
  auto exchange = std::make_shared<PendingExchange>();
  exchange->request = request;
  exchange->server = server;
  exchange->received_at = server->loop->Now();
  exchange->socket = SocketOf(request);
  if (Connection* connection = ConnectionOf(*exchange)) ++connection->pending;
  if (request->version < kHttp2Version) ReadTimes(exchange.get());
  void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(ExchangeReference),
                                      DisposeExchangeReference);
  new (memory) ExchangeReference{exchange};
  ++server->pending_requests;
  if (request->version < kHttp2Version) {
    server->unread_exchanges.insert(exchange.get());
  }
  server->handler(ReadRequest(request), HttpResponder(std::move(exchange)));
  return 0;
}

void OnAccept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) return;
  auto* server = static_cast<HttpServerState*>(listener->data);
  h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
  if (socket == nullptr) return;
  ConnectionTable* table = server->connections.get();
  if (table != nullptr && !AddConnection(table, socket)) {
    h2o_socket_close(socket);
    return;
  }
  h2o_accept(&server->accept_context, socket);
}

// Returns a bound, listening, non-blocking socket, or -1 with errno set.
// Connections inherit the size of the receive buffer; zero leaves it to the
// kernel.
int OpenListenSocket(const Endpoint& endpoint, std::size_t receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0) {
    const int bytes = static_cast<int>(receive_buffer);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(fd, generic, sizeof(address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int saved_errno = errno;
    close(fd);
    errno = saved_errno;
    return -1;
  }
  return fd;
}

std::uint16_t BoundPort(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

std::uint64_t Milliseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace
}  // namespace internal

HttpResponder::HttpResponder(
    std::shared_ptr<internal::PendingExchange> exchange)
    : exchange(std::move(exchange)) {}

void HttpResponder::Respond(const HttpResponse& response) const {
  h2o_req_t* request = this->exchange->request;
  if (request == nullptr || this->exchange->stream != nullptr) return;
  internal::DetachExchange(this->exchange.get());
  internal::NoteAnswer(this->exchange.get(), response.body.size());
  this->exchange->on_abort = nullptr;
  internal::WriteHead(request, response);
  h2o_send_inline(request, response.body.data(), response.body.size());
}

HttpBodyStream HttpResponder::StartStream(const HttpResponse& head) const {
  h2o_req_t* request = this->exchange->request;
  if (request != nullptr && this->exchange->stream == nullptr) {
    internal::WriteHead(request, head);
    this->exchange->stream = std::make_unique<internal::BodyStream>();
    internal::BodyStream* stream = this->exchange->stream.get();
    stream->generator = {internal::OnStreamProceed, internal::OnStreamStop};
    stream->exchange = this->exchange.get();
    h2o_start_response(request, &stream->generator);
  }
  return HttpBodyStream(this->exchange);
}

HttpBodyStream::HttpBodyStream(
    std::shared_ptr<internal::PendingExchange> exchange)
    : exchange(std::move(exchange)) {}

void HttpBodyStream::Write(std::string_view chunk) const {
  if (!this->IsOpen()) return;
  this->exchange->stream->pending += chunk;
  internal::FlushStream(this->exchange->stream.get());
}

void HttpBodyStream::Finish() const {
  if (!this->IsOpen()) return;
  this->exchange->stream->finished = true;
  this->exchange->on_abort = nullptr;
  internal::FlushStream(this->exchange->stream.get());
}

bool HttpBodyStream::IsOpen() const {
  return this->exchange->request != nullptr &&
         this->exchange->stream != nullptr && !this->exchange->stream->finished;
}

void HttpResponder::OnAbort(std::function<void()> callback) const {
  this->exchange->on_abort = std::move(callback);
}

bool HttpResponder::CloseIfClientHasGone() const {
  internal::PendingExchange* exchange = this->exchange.get();
  if (exchange->request == nullptr ||
      !exchange->server->unread_exchanges.contains(exchange)) {
    return false;
  }
  pollfd entry = internal::MakePollEntry(*exchange);
  if (poll(&entry, 1, 0) <= 0 || !internal::PeerHasGone(entry)) return false;
  internal::AbortExchange(exchange);
  return true;
}

TimePoint HttpResponder::ReceivedAt() const {
  return this->exchange->received_at;
}

TimePoint HttpResponder::SentAfter() const {
  return this->exchange->sent_after;
}

HttpServer::HttpServer(std::unique_ptr<internal::HttpServerState> state)
    : state(std::move(state)) {}

HttpServer::~HttpServer() {
  this->StopAccepting();
  // The state is leaked, because open connections in h2o keep pointers to the
  // configuration. In production a server exists as long as its process.
  this->state->handler = [](const HttpRequest&,
                            const HttpResponder& responder) {
    responder.Respond({.status = 503, .headers = {}, .body = ""});
  };
  static_cast<void>(this->state.release());
}

const Endpoint& HttpServer::endpoint() const { return this->state->endpoint; }

void HttpServer::StopAccepting() {
  if (this->state->listener == nullptr) return;
  h2o_socket_close(this->state->listener);
  this->state->listener = nullptr;
}

void HttpServer::BeginGracefulShutdown() {
  h2o_context_request_shutdown(&this->state->context);
}

void HttpServer::CloseAbortedConnections() {
  // A callback may answer or abort further exchanges, so each is checked again.
  for (const auto& exchange : internal::FindAbortedExchanges(*this->state)) {
    internal::AbortExchange(exchange.get());
  }
}

void HttpServer::SetMaxBodySize(std::size_t bytes) {
  this->state->config.max_request_entity_size = bytes;
}

void HttpServer::SetHeaderLimits(std::size_t max_bytes, Duration header_timeout,
                                 Duration idle_timeout) {
  if (this->state->connections == nullptr) return;
  ConnectionLimits& limits = this->state->connections->limits;
  limits.max_header_bytes = max_bytes;
  limits.header_timeout = header_timeout;
  limits.idle_timeout = idle_timeout;
}

std::size_t HttpServer::PendingRequests() const {
  return this->state->pending_requests;
}

HttpServerBuilder::HttpServerBuilder(EventLoop* loop) : loop(loop) {}

HttpServerBuilder& HttpServerBuilder::Listen(Endpoint endpoint) {
  this->listen_endpoint = std::move(endpoint);
  return *this;
}

HttpServerBuilder& HttpServerBuilder::MaxBodySize(std::size_t bytes) {
  this->max_body_size = bytes;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Limits(
    const ConnectionLimits& limits, std::shared_ptr<RequestBudget> budget) {
  this->limits = limits;
  this->budget = std::move(budget);
  return *this;
}

HttpServerBuilder& HttpServerBuilder::RequestTimeout(Duration timeout) {
  this->request_timeout = timeout;
  return *this;
}

HttpServerBuilder& HttpServerBuilder::Handler(HttpHandler handler) {
  this->handler = std::move(handler);
  return *this;
}

std::variant<std::unique_ptr<HttpServer>, ListenError>
HttpServerBuilder::Build() {
  const int fd = internal::OpenListenSocket(this->listen_endpoint,
                                            this->limits.receive_buffer_bytes);
  if (fd < 0) {
    return ListenError{fmt::format("cannot listen on {}: {}",
                                   ToString(this->listen_endpoint),
                                   std::strerror(errno))};
  }
  auto state = std::make_unique<internal::HttpServerState>();
  state->loop = this->loop;
  state->endpoint = {this->listen_endpoint.address, internal::BoundPort(fd)};
  state->handler = std::move(this->handler);

  h2o_config_init(&state->config);
  state->config.server_name = h2o_iovec_init(H2O_STRLIT("sequoiapath"));
  state->config.max_request_entity_size = this->max_body_size;
  state->config.http1.req_timeout =
      internal::Milliseconds(this->request_timeout);
  state->config.http2.idle_timeout =
      internal::Milliseconds(this->request_timeout);
  h2o_hostconf_t* host = h2o_config_register_host(
      &state->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  h2o_handler_t* handler =
      h2o_create_handler(path, sizeof(internal::ServerHandler));
  handler->on_req = internal::OnRequest;
  reinterpret_cast<internal::ServerHandler*>(handler)->server = state.get();

  h2o_context_init(&state->context, this->loop->native(), &state->config);
  state->accept_context.ctx = &state->context;
  state->accept_context.hosts = state->config.hosts;
  if (this->budget != nullptr) {
    state->connections = std::make_unique<internal::ConnectionTable>();
    state->connections->loop = this->loop;
    state->connections->context = &state->context;
    state->connections->limits = this->limits;
    state->connections->budget = std::move(this->budget);
    internal::StartChecks(state->connections.get());
  }
  state->listener = h2o_evloop_socket_create(this->loop->native(), fd,
                                             H2O_SOCKET_FLAG_DONT_READ);
  state->listener->data = state.get();
  h2o_socket_read_start(state->listener, internal::OnAccept);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

}  // namespace sequoiapath
