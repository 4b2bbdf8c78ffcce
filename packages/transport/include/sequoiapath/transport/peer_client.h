// Defines PeerClient, the HTTP/2 client for calls to other daemons. Concurrent
// calls to a peer are multiplexed on one connection.

#ifndef SEQUOIAPATH_TRANSPORT_PEER_CLIENT_H_
#define SEQUOIAPATH_TRANSPORT_PEER_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

namespace internal {
struct PeerClientState;
}  // namespace internal

// A POST request to a peer.
struct PeerCall {
  std::string path;
  HttpHeaders headers;  // Names in lower case, without pseudo-headers.
  std::string body;
};

// Calls peers over HTTP/2 with prior knowledge. It connects on demand and keeps
// one connection per endpoint. It opens further connections only while all
// streams that the peer allows are in use, so that long calls do not delay
// heartbeats. When a call times out, its connection accepts no new calls and is
// closed when its last call has finished; new calls use another connection.
// Thread safety: loop thread only.
class PeerClient {
 public:
  // Calls in progress fail with kCancelled.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends `call` and calls `callback` exactly once, after Call has returned.
  // `timeout` limits the duration of the call including the connection attempt.
  // An error has may_have_been_sent == false only if no byte of the request was
  // written. Precondition: the endpoint's address is numeric.
  void Call(const Endpoint& endpoint, PeerCall call, Duration timeout,
            HttpCallback callback);

  // Returns the number of connections to `endpoint`, including those that are
  // being established.
  std::size_t Connections(const Endpoint& endpoint) const;

 private:
  friend class PeerClientBuilder;
  explicit PeerClient(std::unique_ptr<internal::PeerClientState> state);

  std::unique_ptr<internal::PeerClientState> state;
};

// Builds a PeerClient.
class PeerClientBuilder {
 public:
  // Precondition: `loop` outlives the client.
  explicit PeerClientBuilder(EventLoop* loop);

  // Sets how long a connection attempt may take.
  PeerClientBuilder& ConnectTimeout(Duration timeout);

  // Sets the idle time after which a connection is closed instead of reused. It
  // must be shorter than the server's idle timeout; otherwise a call may use a
  // connection that the server is closing.
  PeerClientBuilder& IdleTimeout(Duration timeout);

  // Sets the maximum size of a response body, in bytes. A call with a larger
  // response fails with kClosed.
  PeerClientBuilder& MaxResponseSize(std::size_t bytes);

  // Sets the maximum number of connections to one endpoint that accept new
  // calls. When all their streams are in use, calls wait for a free stream.
  PeerClientBuilder& MaxConnections(std::size_t count);

  std::unique_ptr<PeerClient> Build();

 private:
  EventLoop* loop;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration idle_timeout = std::chrono::seconds(5);
  std::size_t max_response_size = 64 << 20;
  std::size_t max_connections = 16;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_PEER_CLIENT_H_
