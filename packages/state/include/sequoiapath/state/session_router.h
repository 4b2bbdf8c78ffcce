// Defines SessionRouter, which forwards requests for sessions of other
// processes to their owners and answers those that other daemons forward.

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

// Sends each request to one process at most once; a request that was forwarded
// to this process is answered here or refused, never forwarded again. Thread
// safety: loop thread only.
class SessionRouter {
 public:
  // Registers the handler for forwarded requests and becomes the forwarder of
  // `caller_api`. Preconditions: the arguments outlive the object, except that
  // `peers` ends first.
  SessionRouter(EventLoop* loop, PeerService* peers,
                const Membership* membership, CallerApi* caller_api);
  SessionRouter(const SessionRouter&) = delete;
  SessionRouter& operator=(const SessionRouter&) = delete;

  // Answers all requests that wait for an owner as kMayHaveRun.
  void AbandonRequests();

 private:
  using ReplyCallback = std::function<void(Result<ForwardReply>)>;

  void Route(const SessionId& session, const Forward& request,
             ReplyCallback callback);
  // Returns where the session is answered now, or why nowhere.
  Result<Endpoint> FindOwner(const SessionId& session) const;
  void Finish(std::uint64_t number, Result<ForwardReply> result);
  Failure Judge(const SessionId& session, const Failure& failure) const;
  void AnswerForward(const Forward& request,
                     const PeerReplier<ForwardReply>& reply);

  EventLoop* loop;
  PeerService* peers;
  const Membership* membership;
  CallerApi* caller_api;
  std::map<std::uint64_t, ReplyCallback> waiting;  // By request number.
  std::uint64_t next_number = 1;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SESSION_ROUTER_H_
