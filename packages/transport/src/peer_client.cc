#include "sequoiapath/transport/peer_client.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <h2o.h>
#include <netinet/in.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "socket_options.h"

namespace sequoiapath {
namespace internal {

// Limits how much is serialized before it is written to the socket, so that
// little of a body is sent after its call was cancelled.
constexpr std::size_t kWriteBatchBytes = 256 << 10;
// Flow control windows. With the HTTP/2 default of 64 KB, a body could transfer
// only 64 KB per round trip.
constexpr std::int32_t kStreamWindowBytes = 1 << 20;
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;
// Maximum number of concurrent streams assumed until the peer's settings
// arrive. RFC 9113 recommends this value as a minimum, and h2o announces it.
constexpr std::size_t kAssumedStreamLimit = 100;

struct PeerConnection;

// A call in progress on one stream.
struct PeerStream {
  PeerCall call;
  std::size_t body_offset = 0;
  bool sent = false;
  TimePoint began;
  HttpResponse response;
  TimerId timeout_timer = 0;
  HttpCallback callback;
};

struct EndpointOrder {
  bool operator()(const Endpoint& a, const Endpoint& b) const {
    return std::tie(a.port, a.address) < std::tie(b.port, b.address);
  }
};

struct PeerClientState {
  EventLoop* loop = nullptr;
  Duration connect_timeout{};
  Duration idle_timeout{};
  std::size_t max_response_size = 0;
  std::size_t max_connections = 0;
  nghttp2_session_callbacks* callbacks = nullptr;
  // Connections to each endpoint, newest last.
  std::map<Endpoint, std::vector<std::unique_ptr<PeerConnection>>,
           EndpointOrder>
      connections;
};

struct PeerConnection {
  PeerClientState* client = nullptr;
  Endpoint endpoint;
  h2o_socket_t* socket = nullptr;
  nghttp2_session* session = nullptr;
  bool connected = false;
  bool writing = false;
  bool settings_received = false;
  // True once the connection accepts no new calls; it is closed when its last
  // call has finished.
  bool draining = false;
  // True once a call has timed out. Closing the connection then discards
  // unacknowledged bytes, so that the peer does not receive the call later.
  bool has_timed_out_call = false;
  TimerId connect_timer = 0;
  TimePoint last_used;
  TimePoint last_received;  // When the peer last sent anything.
  std::string output;
  std::unordered_map<std::int32_t, PeerStream> streams;
};

namespace {

void CloseConnection(PeerConnection* connection);

// Calls `callback` in the next iteration of the loop, because it may call or
// destroy the client.
void ScheduleCallback(EventLoop* loop, HttpCallback callback,
                      HttpResult result) {
  auto shared = std::make_shared<HttpResult>(std::move(result));
  loop->Schedule(Duration::zero(), [shared, callback = std::move(callback)] {
    callback(std::move(*shared));
  });
}

void FinishStream(PeerConnection* connection, std::int32_t stream_id,
                  HttpResult result) {
  auto node = connection->streams.extract(stream_id);
  if (node.empty()) return;
  PeerStream& stream = node.mapped();
  EventLoop* loop = connection->client->loop;
  loop->Cancel(stream.timeout_timer);
  connection->last_used = loop->Now();
  ScheduleCallback(loop, std::move(stream.callback), std::move(result));
}

void FailStream(PeerConnection* connection, std::int32_t stream_id,
                HttpErrorKind kind, std::string message) {
  const auto it = connection->streams.find(stream_id);
  if (it == connection->streams.end()) return;
  const bool sent = it->second.sent;
  FinishStream(connection, stream_id,
               HttpError{kind, sent, std::move(message)});
}

// Closes the connection after failing all its calls.
void FailConnection(PeerConnection* connection, HttpErrorKind kind,
                    const std::string& message) {
  while (!connection->streams.empty()) {
    FailStream(connection, connection->streams.begin()->first, kind, message);
  }
  CloseConnection(connection);
}

// Closes the socket and frees the connection. Preconditions: the connection has
// no streams, and no function of nghttp2 is on the stack.
void CloseConnection(PeerConnection* connection) {
  PeerClientState* client = connection->client;
  client->loop->Cancel(connection->connect_timer);
  if (connection->socket != nullptr) {
    if (connection->has_timed_out_call) {
      DiscardUnsentOnClose(h2o_socket_get_fd(connection->socket));
    }
    h2o_socket_close(connection->socket);
  }
  nghttp2_session_del(connection->session);
  const auto entry = client->connections.find(connection->endpoint);
  std::erase_if(entry->second, [connection](const auto& candidate) {
    return candidate.get() == connection;
  });
  if (entry->second.empty()) client->connections.erase(entry);
}

// Serializes pending frames into connection->output. Returns false if nghttp2
// reports an error.
bool FillOutput(PeerConnection* connection) {
  while (connection->output.size() < kWriteBatchBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length =
        nghttp2_session_mem_send(connection->session, &bytes);
    if (length < 0) return false;
    if (length == 0) break;
    connection->output.append(reinterpret_cast<const char*>(bytes),
                              static_cast<std::size_t>(length));
  }
  return true;
}

// Writes pending frames, or closes the connection if it is draining and has no
// calls. The connection may have been freed when this returns.
void WritePendingFrames(PeerConnection* connection);

void OnWritten(h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<PeerConnection*>(socket->data);
  connection->writing = false;
  connection->output.clear();
  if (error != nullptr) {
    FailConnection(connection, HttpErrorKind::kClosed, error);
    return;
  }
  WritePendingFrames(connection);
}

void WritePendingFrames(PeerConnection* connection) {
  if (!connection->connected || connection->writing) return;
  if (connection->draining && connection->streams.empty()) {
    CloseConnection(connection);
    return;
  }
  if (!FillOutput(connection)) {
    FailConnection(connection, HttpErrorKind::kClosed,
                   "cannot serialize HTTP/2 frames");
    return;
  }
  if (connection->output.empty()) return;
  connection->writing = true;
  h2o_iovec_t buffer =
      h2o_iovec_init(connection->output.data(), connection->output.size());
  h2o_socket_write(connection->socket, &buffer, 1, OnWritten);
}

void OnRead(h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<PeerConnection*>(socket->data);
  if (error != nullptr) {
    FailConnection(connection, HttpErrorKind::kClosed, error);
    return;
  }
  connection->last_received = connection->client->loop->Now();
  const ssize_t used = nghttp2_session_mem_recv(
      connection->session,
      reinterpret_cast<const std::uint8_t*>(socket->input->bytes),
      socket->input->size);
  h2o_buffer_consume(&socket->input, socket->input->size);
  if (used < 0) {
    FailConnection(connection, HttpErrorKind::kClosed,
                   nghttp2_strerror(static_cast<int>(used)));
    return;
  }
  const bool ended = connection->draining && connection->streams.empty();
  if (ended) {
    CloseConnection(connection);
    return;
  }
  WritePendingFrames(connection);
}

void OnConnect(h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<PeerConnection*>(socket->data);
  if (error != nullptr) {
    FailConnection(connection, HttpErrorKind::kConnectFailed, error);
    return;
  }
  connection->client->loop->Cancel(connection->connect_timer);
  connection->connected = true;
  ConfigureClientSocket(h2o_socket_get_fd(socket));
  h2o_socket_read_start(socket, OnRead);
  WritePendingFrames(connection);
}

// nghttp2 callbacks. They only update the connection's state and do not close
// it, because the session must not be destroyed while one of them runs.

int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
             const std::uint8_t* name, std::size_t name_length,
             const std::uint8_t* value, std::size_t value_length,
             std::uint8_t /*flags*/, void* user_data) {
  auto* connection = static_cast<PeerConnection*>(user_data);
  const auto it = connection->streams.find(frame->hd.stream_id);
  if (it == connection->streams.end()) return 0;
  HttpHeader header{
      std::string(reinterpret_cast<const char*>(name), name_length),
      std::string(reinterpret_cast<const char*>(value), value_length)};
  if (header.name == ":status") {
    const char* begin = header.value.data();
    std::from_chars(begin, begin + header.value.size(),
                    it->second.response.status);
  } else {
    it->second.response.headers.push_back(std::move(header));
  }
  return 0;
}

int OnData(nghttp2_session* session, std::uint8_t /*flags*/,
           std::int32_t stream_id, const std::uint8_t* data, std::size_t length,
           void* user_data) {
  auto* connection = static_cast<PeerConnection*>(user_data);
  const auto it = connection->streams.find(stream_id);
  if (it == connection->streams.end()) return 0;
  std::string& body = it->second.response.body;
  if (body.size() + length > connection->client->max_response_size) {
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream_id,
                              NGHTTP2_CANCEL);
    FailStream(connection, stream_id, HttpErrorKind::kClosed,
               fmt::format("the response body exceeds the maximum of {} bytes",
                           connection->client->max_response_size));
    return 0;
  }
  body.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

int OnStreamClose(nghttp2_session* /*session*/, std::int32_t stream_id,
                  std::uint32_t error_code, void* user_data) {
  auto* connection = static_cast<PeerConnection*>(user_data);
  const auto it = connection->streams.find(stream_id);
  if (it == connection->streams.end()) return 0;
  if (error_code == NGHTTP2_NO_ERROR) {
    FinishStream(connection, stream_id, std::move(it->second.response));
  } else {
    FailStream(connection, stream_id, HttpErrorKind::kClosed,
               fmt::format("the peer reset the stream: {}",
                           nghttp2_http2_strerror(error_code)));
  }
  return 0;
}

int OnFrameReceived(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                    void* user_data) {
  auto* connection = static_cast<PeerConnection*>(user_data);
  if (frame->hd.type == NGHTTP2_SETTINGS) connection->settings_received = true;
  if (frame->hd.type == NGHTTP2_GOAWAY) connection->draining = true;
  return 0;
}

// Called when the frame has been serialized, before it is written to the
// socket.
int OnFrameSerialized(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      void* user_data) {
  auto* connection = static_cast<PeerConnection*>(user_data);
  if (frame->hd.type != NGHTTP2_HEADERS) return 0;
  const auto it = connection->streams.find(frame->hd.stream_id);
  if (it != connection->streams.end()) it->second.sent = true;
  return 0;
}

int OnFrameNotSent(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                   int error, void* user_data) {
  if (frame->hd.type != NGHTTP2_HEADERS) return 0;
  FailStream(static_cast<PeerConnection*>(user_data), frame->hd.stream_id,
             HttpErrorKind::kClosed, nghttp2_strerror(error));
  return 0;
}

ssize_t ReadBody(nghttp2_session* /*session*/, std::int32_t stream_id,
                 std::uint8_t* buffer, std::size_t length, std::uint32_t* flags,
                 nghttp2_data_source* /*source*/, void* user_data) {
  auto* connection = static_cast<PeerConnection*>(user_data);
  const auto it = connection->streams.find(stream_id);
  if (it == connection->streams.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  PeerStream& stream = it->second;
  const std::size_t count =
      std::min(length, stream.call.body.size() - stream.body_offset);
  std::copy_n(stream.call.body.data() + stream.body_offset, count, buffer);
  stream.body_offset += count;
  if (stream.body_offset == stream.call.body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

nghttp2_session_callbacks* NewCallbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClose);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       OnFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks,
                                                       OnFrameSerialized);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                           OnFrameNotSent);
  return callbacks;
}

void StartSession(PeerConnection* connection) {
  nghttp2_session_client_new(&connection->session,
                             connection->client->callbacks, connection);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}};
  nghttp2_submit_settings(connection->session, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(connection->session, NGHTTP2_FLAG_NONE,
                                        0, kConnectionWindowBytes);
}

// Returns a connection that is being established, or null if the socket could
// not be created or connected.
PeerConnection* OpenConnection(PeerClientState* client,
                               const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  h2o_socket_t* socket = h2o_socket_connect(
      client->loop->native(), reinterpret_cast<sockaddr*>(&address),
      sizeof(address), OnConnect);
  if (socket == nullptr) return nullptr;
  auto owned = std::make_unique<PeerConnection>();
  PeerConnection* connection = owned.get();
  connection->client = client;
  connection->endpoint = endpoint;
  connection->socket = socket;
  connection->last_used = client->loop->Now();
  socket->data = connection;
  StartSession(connection);
  connection->connect_timer =
      client->loop->Schedule(client->connect_timeout, [connection] {
        FailConnection(connection, HttpErrorKind::kConnectFailed,
                       "connection attempt timed out");
      });
  client->connections[endpoint].push_back(std::move(owned));
  return connection;
}

std::size_t StreamLimit(const PeerConnection& connection) {
  if (!connection.settings_received) return kAssumedStreamLimit;
  return nghttp2_session_get_remote_settings(
      connection.session, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

// Closes connections that have reached the idle timeout, because the server may
// be about to close them, or the peer may have become unreachable.
void CloseExpiredIdle(PeerClientState* client, const Endpoint& endpoint) {
  const auto entry = client->connections.find(endpoint);
  if (entry == client->connections.end()) return;
  std::vector<PeerConnection*> idle;
  for (const auto& connection : entry->second) {
    if (connection->connected && connection->streams.empty() &&
        client->loop->Now() - connection->last_used >= client->idle_timeout) {
      idle.push_back(connection.get());
    }
  }
  for (PeerConnection* connection : idle) CloseConnection(connection);
}

// Returns the connection for a new call, or null if none can be opened. If the
// maximum number of connections is reached and all their streams are in use,
// returns the connection with the fewest streams, which queues the call.
PeerConnection* PickConnection(PeerClientState* client,
                               const Endpoint& endpoint) {
  CloseExpiredIdle(client, endpoint);
  PeerConnection* least_loaded = nullptr;
  std::size_t usable = 0;
  const auto entry = client->connections.find(endpoint);
  if (entry != client->connections.end()) {
    for (const auto& connection : entry->second) {
      if (connection->draining) continue;
      ++usable;
      if (connection->streams.size() < StreamLimit(*connection)) {
        return connection.get();
      }
      if (least_loaded == nullptr ||
          connection->streams.size() < least_loaded->streams.size()) {
        least_loaded = connection.get();
      }
    }
  }
  if (usable >= client->max_connections) return least_loaded;
  return OpenConnection(client, endpoint);
}

nghttp2_nv MakeHeaderField(std::string_view name, std::string_view value) {
  // The const_casts are safe: nghttp2 copies the bytes, but its struct has no
  // pointers to const.
  return {const_cast<std::uint8_t*>(
              reinterpret_cast<const std::uint8_t*>(name.data())),
          const_cast<std::uint8_t*>(
              reinterpret_cast<const std::uint8_t*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

// Returns the stream id or a negative nghttp2 error code.
std::int32_t SubmitRequest(PeerConnection* connection, const PeerCall& call) {
  const std::string authority = ToString(connection->endpoint);
  const std::string length = std::to_string(call.body.size());
  std::vector<nghttp2_nv> fields = {MakeHeaderField(":method", "POST"),
                                    MakeHeaderField(":scheme", "http"),
                                    MakeHeaderField(":authority", authority),
                                    MakeHeaderField(":path", call.path),
                                    MakeHeaderField("content-length", length)};
  for (const HttpHeader& header : call.headers) {
    fields.push_back(MakeHeaderField(header.name, header.value));
  }
  nghttp2_data_provider provider{};
  provider.read_callback = ReadBody;
  return nghttp2_submit_request(connection->session, nullptr, fields.data(),
                                fields.size(), &provider, nullptr);
}

// Fails a call that has timed out. Makes its connection drain if the peer has
// sent nothing on it since the call began: the network may have stopped to
// deliver. Otherwise only the call is slow, and a new connection would add work
// to a peer that is overloaded.
void OnTimeout(PeerConnection* connection, std::int32_t stream_id) {
  const auto stream = connection->streams.find(stream_id);
  if (stream == connection->streams.end()) return;
  const bool silent = connection->last_received < stream->second.began;
  if (silent) connection->draining = true;
  connection->has_timed_out_call = true;
  FinishStream(connection, stream_id,
               HttpError{HttpErrorKind::kTimeout, stream->second.sent,
                         "no complete response within the timeout", silent});
  if (connection->draining && connection->streams.empty()) {
    CloseConnection(connection);
    return;
  }
  nghttp2_submit_rst_stream(connection->session, NGHTTP2_FLAG_NONE, stream_id,
                            NGHTTP2_CANCEL);
  WritePendingFrames(connection);
}

}  // namespace
}  // namespace internal

using internal::PeerConnection;

PeerClient::PeerClient(std::unique_ptr<internal::PeerClientState> state)
    : state(std::move(state)) {}

PeerClient::~PeerClient() {
  auto& connections = this->state->connections;
  while (!connections.empty()) {
    internal::FailConnection(connections.begin()->second.back().get(),
                             HttpErrorKind::kCancelled,
                             "the client was destroyed");
  }
  nghttp2_session_callbacks_del(this->state->callbacks);
}

void PeerClient::Call(const Endpoint& endpoint, PeerCall call, Duration timeout,
                      HttpCallback callback) {
  internal::PeerClientState* client = this->state.get();
  PeerConnection* connection = internal::PickConnection(client, endpoint);
  if (connection == nullptr) {
    internal::ScheduleCallback(
        client->loop, std::move(callback),
        HttpError{
            HttpErrorKind::kConnectFailed, false,
            fmt::format("cannot open a connection to {}", ToString(endpoint))});
    return;
  }
  const std::int32_t stream_id = internal::SubmitRequest(connection, call);
  if (stream_id < 0) {
    // The stream ids of the connection are exhausted, or the peer is closing
    // it.
    connection->draining = true;
    internal::ScheduleCallback(
        client->loop, std::move(callback),
        HttpError{HttpErrorKind::kClosed, false, nghttp2_strerror(stream_id)});
    internal::WritePendingFrames(connection);
    return;
  }
  internal::PeerStream& stream = connection->streams[stream_id];
  stream.began = client->loop->Now();
  stream.call = std::move(call);
  stream.callback = std::move(callback);
  stream.timeout_timer = client->loop->Schedule(
      timeout,
      [connection, stream_id] { internal::OnTimeout(connection, stream_id); });
  internal::WritePendingFrames(connection);
}

std::size_t PeerClient::Connections(const Endpoint& endpoint) const {
  const auto entry = this->state->connections.find(endpoint);
  return entry == this->state->connections.end() ? 0 : entry->second.size();
}

PeerClientBuilder::PeerClientBuilder(EventLoop* loop) : loop(loop) {}

PeerClientBuilder& PeerClientBuilder::ConnectTimeout(Duration timeout) {
  this->connect_timeout = timeout;
  return *this;
}

PeerClientBuilder& PeerClientBuilder::IdleTimeout(Duration timeout) {
  this->idle_timeout = timeout;
  return *this;
}

PeerClientBuilder& PeerClientBuilder::MaxResponseSize(std::size_t bytes) {
  this->max_response_size = bytes;
  return *this;
}

PeerClientBuilder& PeerClientBuilder::MaxConnections(std::size_t count) {
  this->max_connections = count;
  return *this;
}

std::unique_ptr<PeerClient> PeerClientBuilder::Build() {
  auto state = std::make_unique<internal::PeerClientState>();
  state->loop = this->loop;
  state->connect_timeout = this->connect_timeout;
  state->idle_timeout = this->idle_timeout;
  state->max_response_size = this->max_response_size;
  state->max_connections = this->max_connections;
  state->callbacks = internal::NewCallbacks();
  return std::unique_ptr<PeerClient>(new PeerClient(std::move(state)));
}

}  // namespace sequoiapath
