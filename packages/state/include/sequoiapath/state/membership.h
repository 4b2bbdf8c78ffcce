// Defines Membership, which exchanges heartbeats with the other daemons and
// lets the other parts of the daemon add to them and read them.

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

// What a part of the daemon adds to heartbeats and learns from them. Functions
// that are not needed stay empty.
struct MembershipListener {
  // Adds the part's fields to a heartbeat that is about to be sent to `to`.
  std::function<void(const MemberIdentity& to, Heartbeat* heartbeat)> fill;
  // Reads a heartbeat and adds the part's fields to the reply.
  std::function<void(const Heartbeat& heartbeat, HeartbeatReply* reply)>
      receive;
  // Reads the reply to a heartbeat.
  std::function<void(const HeartbeatReply& reply)> receive_reply;
  // Adds the part's fields to this daemon's own join.
  std::function<void(Join* join)> fill_join;
  // Adds the part's fields to the reply for a joining daemon.
  std::function<void(const Join& join, JoinReply* reply)> fill_join_reply;
  // Reads the reply to this daemon's own join.
  std::function<void(const JoinReply& reply)> receive_join_reply;
  // Learns that a member's state changed.
  std::function<void(const MemberStateChange& change)> on_change;
};

// Owns the member view. Thread safety: loop thread only.
class Membership {
 public:
  // Registers the handlers for heartbeats and joins. Preconditions: `loop` and
  // `peers` outlive the object, and the loop does not run after its end.
  Membership(EventLoop* loop, PeerService* peers, MemberIdentity self,
             const std::vector<Endpoint>& seeds);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds a listener. Precondition: Start was not called yet.
  void AddListener(MembershipListener listener);

  // Starts to send heartbeats.
  void Start();

  // Tells the other daemons that this one is leaving; heartbeats go on.
  void BeginLeaving() { this->leaving = true; }

  const MemberView& view() const { return this->member_view; }
  const MemberIdentity& self() const { return this->member_view.self; }

  // Records that `successor` answers for the sessions of `ended`; the record
  // travels with later heartbeats.
  void RecordSuccession(Incarnation ended, const MemberIdentity& successor);

  // Returns the known member called `vm`; null if there is none.
  const Member* FindMember(const std::string& vm) const;

 private:
  void Tick();
  void SendHeartbeat(const HeartbeatTarget& target);
  void SendJoin(const Endpoint& endpoint);
  HeartbeatReply Answer(const Heartbeat& heartbeat);
  JoinReply AnswerJoin(const Join& join);
  void LearnFromJoin(const JoinReply& reply, TimePoint sent);
  void Report(const std::vector<MemberStateChange>& changes);

  EventLoop* loop;
  PeerService* peers;
  MemberView member_view;
  std::vector<MembershipListener> listeners;
  bool leaving = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_MEMBERSHIP_H_
