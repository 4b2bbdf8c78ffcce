// Defines SessionRouter, which forwards requests for sessions of other
// processes to their owners and answers requests that other daemons forward.

#ifndef SEQUOIAPATH_STATE_SESSION_ROUTER_H_
#define SEQUOIAPATH_STATE_SESSION_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <variant>

#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/protocol/session_id.h"
#include "sequoiapath/state/caller_api.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// Sends each request at most once and to one process. A request that another
// daemon forwarded is answered or refused here and not forwarded again, so that
// it cannot loop. Thread safety: loop thread only.
class SessionRouter {
 public:
  // Registers the handler for forwarded requests and sets the forwarder of
  // `caller_api`. Preconditions: the arguments outlive the object, except
  // `peers`, which is destroyed first.
  SessionRouter(EventLoop* loop, PeerService* peers,
                const Membership* membership, CallerApi* caller_api);
  SessionRouter(const SessionRouter&) = delete;
  SessionRouter& operator=(const SessionRouter&) = delete;

  // Fails all requests that wait for an owner's answer as kMayHaveRun.
  void AbandonRequests();

 private:
  using ReplyCallback = std::function<void(Result<ForwardReply>)>;

  void Route(const SessionId& session, const Forward& request,
             ReplyCallback callback);
  // Returns the endpoint of the process that serves the session now; a failure
  // if there is none.
  Result<Endpoint> FindOwner(const SessionId& session) const;
  void Finish(std::uint64_t number, Result<ForwardReply> result);
  // Returns the failure that the caller gets when forwarding failed.
  Failure ClassifyForwardFailure(const SessionId& session,
                                 const Failure& failure) const;
  void AnswerForward(const Forward& request,
                     const PeerReplier<ForwardReply>& reply);

  EventLoop* loop;
  PeerService* peers;
  const Membership* membership;
  CallerApi* caller_api;
  std::map<std::uint64_t, ReplyCallback> waiting;  // Key: request number.
  std::uint64_t next_number = 1;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SESSION_ROUTER_H_
