// Defines Membership, which exchanges heartbeats and joins with the other
// daemons and calls listeners that add fields to these messages and read them.

#ifndef SEQUOIAPATH_STATE_MEMBERSHIP_H_
#define SEQUOIAPATH_STATE_MEMBERSHIP_H_

#include <functional>
#include <string>
#include <vector>

#include "sequoiapath/coordination/member_view.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// Callbacks of one component of the daemon, which add its fields to heartbeats
// and joins and read them. Each callback may be empty.
struct MembershipListener {
  // Adds the component's fields to a heartbeat before it is sent to `to`.
  std::function<void(const MemberIdentity& to, Heartbeat* heartbeat)>
      fill_heartbeat;
  // Reads a heartbeat and adds the component's fields to the reply.
  std::function<void(const Heartbeat& heartbeat, HeartbeatReply* reply)>
      receive_heartbeat;
  // Reads the reply to a heartbeat.
  std::function<void(const HeartbeatReply& reply)> receive_heartbeat_reply;
  // Adds the component's fields to this daemon's own join.
  std::function<void(Join* join)> fill_join;
  // Adds the component's fields to the reply for a joining daemon.
  std::function<void(const Join& join, JoinReply* reply)> fill_join_reply;
  // Reads the reply to this daemon's own join.
  std::function<void(const JoinReply& reply)> receive_join_reply;
  // Called after a member's state changed.
  std::function<void(const MemberStateChange& change)> on_change;
};

// Owns the member view and sends the messages that it plans. Thread safety:
// loop thread only.
class Membership {
 public:
  // Registers the handlers for heartbeats and joins. Preconditions: `loop` and
  // `peers` outlive the object, and the loop does not run after the object is
  // destroyed.
  Membership(EventLoop* loop, PeerService* peers, MemberIdentity self,
             const std::vector<Endpoint>& seeds);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds a listener. Precondition: Start was not called yet.
  void AddListener(MembershipListener listener);

  // Starts to send heartbeats and joins.
  void Start();

  // Marks this daemon as leaving in later heartbeats and replies.
  void BeginLeaving() { this->leaving = true; }

  const MemberView& view() const { return this->member_view; }
  const MemberIdentity& self() const { return this->member_view.self; }

  // Records that `successor` serves the sessions of `ended`; later heartbeats
  // carry the record.
  void RecordSuccession(Incarnation ended, const MemberIdentity& successor);

  // Returns the known member on VM `vm`; null if there is none.
  const Member* FindMember(const std::string& vm) const;

 private:
  void Tick();
  void SendHeartbeat(const HeartbeatTarget& target);
  void SendJoin(const Endpoint& endpoint);
  HeartbeatReply AnswerHeartbeat(const Heartbeat& heartbeat);
  JoinReply AnswerJoin(const Join& join);
  void ProcessJoinReply(const JoinReply& reply, TimePoint sent);
  // Logs the changes and calls the listeners.
  void PublishStateChanges(const std::vector<MemberStateChange>& changes);

  EventLoop* loop;
  PeerService* peers;
  MemberView member_view;
  std::vector<MembershipListener> listeners;
  bool leaving = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_MEMBERSHIP_H_
