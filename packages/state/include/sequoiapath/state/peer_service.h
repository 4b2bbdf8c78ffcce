// Defines PeerService, which sends requests to other daemons and answers their
// requests on the peer port.

#ifndef SEQUOIAPATH_STATE_PEER_SERVICE_H_
#define SEQUOIAPATH_STATE_PEER_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>

#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_server.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath {

// Returns the bearer token with which daemons that share this cluster key
// authenticate to each other. Thread-safe.
std::string DerivePeerToken(std::string_view cluster_key);

// Sends the reply to one request; calls after the first have no effect.
template <typename Reply>
using PeerReplier = std::function<void(const Result<Reply>& result)>;

// Answers requests of one type, during the call or later.
template <typename Request>
using PeerHandler = std::function<void(
    Request request, PeerReplier<typename Request::Reply> reply)>;

// Counters of the traffic with other daemons. Control bytes are the body bytes
// of all messages except Forward, Delegate and Handover, which carry callers'
// data.
struct PeerTraffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_bytes_received = 0;
};

// Exchanges messages with other daemons. The token of a request is checked
// before its body is decoded. Thread safety: loop thread only.
class PeerService {
 public:
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  // Sets the function that answers requests of type `Request`, replacing any
  // earlier one.
  template <typename Request>
  void Handle(PeerHandler<Request> handler);

  // Sends `request` and calls `callback` exactly once, only after Send has
  // returned. A failure that the peer returns keeps its verdict. Otherwise the
  // verdict is kNotRun if no byte can have been written, and kMayHaveRun if the
  // outcome is unknown.
  template <typename Request>
  void Send(const Endpoint& endpoint, const Request& request, Duration timeout,
            std::function<void(Result<typename Request::Reply>)> callback);

  // Returns the bound endpoint, with the chosen port if port zero was set.
  const Endpoint& endpoint() const;

  // Closes the listening socket and begins to shut down open connections
  // gracefully.
  void BeginStop();

  // Returns the number of peers' requests that have not been answered.
  std::size_t PendingRequests() const;

  const PeerTraffic& Traffic() const { return this->traffic; }

 private:
  friend class PeerServiceBuilder;
  using BodyHandler = std::function<void(std::string_view body,
                                         const HttpResponder& responder)>;

  PeerService(std::string token, std::unique_ptr<PeerClient> client);
  void Dispatch(const HttpRequest& request,
                const HttpResponder& responder) const;
  void Post(const Endpoint& endpoint, std::string_view name, std::string body,
            Duration timeout,
            std::function<void(Result<std::string>)> callback);

  template <typename Request>
  void CountControlBytes(std::size_t sent, std::size_t received);

  PeerTraffic traffic;
  std::string authorization;
  std::unordered_map<std::string, BodyHandler> handlers;  // Key: path.
  std::unique_ptr<PeerClient> client;
  std::unique_ptr<HttpServer> server;
};

// Builds a PeerService.
class PeerServiceBuilder {
 public:
  // Precondition: `loop` outlives the service.
  explicit PeerServiceBuilder(EventLoop* loop);

  // Sets the endpoint to listen on; port zero chooses a free port.
  PeerServiceBuilder& Listen(Endpoint endpoint);

  // Sets the key that all daemons of the cluster share.
  PeerServiceBuilder& ClusterKey(std::string key);

  // Sets the timeout of a connection attempt to a peer.
  PeerServiceBuilder& ConnectTimeout(Duration timeout);

  // Binds the endpoint. Preconditions: Listen and ClusterKey were called.
  std::variant<std::unique_ptr<PeerService>, ListenError> Build();

 private:
  EventLoop* loop;
  Endpoint listen_endpoint;
  std::string cluster_key;
  Duration connect_timeout = std::chrono::seconds(1);
};

namespace internal {

void RespondToPeer(const HttpResponder& responder, std::string body);
void RefusePeer(const HttpResponder& responder, const Failure& failure);
// Returns the failure of a request whose reply could not be decoded.
Failure UnreadableReply(const Failure& cause);

}  // namespace internal

template <typename Request>
void PeerService::CountControlBytes(std::size_t sent, std::size_t received) {
  if constexpr (!std::is_same_v<Request, Forward> &&
                !std::is_same_v<Request, Delegate> &&
                !std::is_same_v<Request, Handover>) {
    this->traffic.control_bytes_sent += sent;
    this->traffic.control_bytes_received += received;
  }
}

template <typename Request>
void PeerService::Handle(PeerHandler<Request> handler) {
  using Reply = typename Request::Reply;
  this->handlers[std::string(kPeerPathPrefix) + std::string(Request::kName)] =
      [this, handler = std::move(handler)](std::string_view body,
                                           const HttpResponder& responder) {
        this->CountControlBytes<Request>(0, body.size());
        Result<Request> request = DecodePeerMessage<Request>(body);
        if (const Failure* failure = GetFailure(request)) {
          internal::RefusePeer(responder, *failure);
          return;
        }
        handler(std::get<Request>(std::move(request)),
                [this, responder](const Result<Reply>& result) {
                  if (const Failure* failure = GetFailure(result)) {
                    internal::RefusePeer(responder, *failure);
                    return;
                  }
                  std::string bytes =
                      EncodePeerMessage(std::get<Reply>(result));
                  this->CountControlBytes<Request>(bytes.size(), 0);
                  internal::RespondToPeer(responder, std::move(bytes));
                });
      };
}

template <typename Request>
void PeerService::Send(
    const Endpoint& endpoint, const Request& request, Duration timeout,
    std::function<void(Result<typename Request::Reply>)> callback) {
  using Reply = typename Request::Reply;
  std::string bytes = EncodePeerMessage(request);
  ++this->traffic.messages_sent;
  this->CountControlBytes<Request>(bytes.size(), 0);
  this->Post(endpoint, Request::kName, std::move(bytes), timeout,
             [this, callback = std::move(callback)](Result<std::string> body) {
               if (const Failure* failure = GetFailure(body)) {
                 callback(*failure);
                 return;
               }
               this->CountControlBytes<Request>(
                   0, std::get<std::string>(body).size());
               Result<Reply> reply =
                   DecodePeerMessage<Reply>(std::get<std::string>(body));
               if (const Failure* failure = GetFailure(reply)) {
                 callback(internal::UnreadableReply(*failure));
                 return;
               }
               callback(std::move(reply));
             });
}

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_PEER_SERVICE_H_
