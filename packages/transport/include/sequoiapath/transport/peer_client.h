// Defines PeerClient, the HTTP/2 client for calls to other daemons. Many calls
// share one connection to each peer.

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
// one connection to each endpoint; further ones are opened only while all
// streams that the peer allows are in use, so that long calls do not delay
// heartbeats. A call that times out makes its connection suspect: new calls use
// another connection, and the suspect one is closed when its last call has
// ended. Thread safety: loop thread only.
class PeerClient {
 public:
  // Calls still in progress fail with kCancelled.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends `call` and calls `callback` exactly once, never before Call returns.
  // `timeout` bounds the whole call, including the connection attempt. An error
  // has may_have_been_sent == false only if no byte of the request was written.
  // Precondition: the endpoint's address is numeric.
  void Call(const Endpoint& endpoint, PeerCall call, Duration timeout,
            HttpCallback callback);

  // Returns the number of open or connecting connections to `endpoint`.
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

  // Sets the age after which a connection without calls is not used again. It
  // must be shorter than the server's idle timeout; otherwise a call may meet a
  // connection that the server is closing.
  PeerClientBuilder& IdleTimeout(Duration timeout);

  // Sets the largest accepted response body, in bytes.
  PeerClientBuilder& MaxResponseSize(std::size_t bytes);

  // Sets the largest number of usable connections to one endpoint; calls beyond
  // it wait for a stream.
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
