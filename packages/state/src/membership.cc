#include "sequoiapath/state/membership.h"

#include <utility>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);
// A reply to a heartbeat after this time is ignored, because it no longer
// describes the member's current state.
constexpr auto kHeartbeatTimeout = std::chrono::seconds(1);
// Longer than the heartbeat timeout, because the reply to a join may carry a
// whole configuration.
constexpr auto kJoinTimeout = std::chrono::seconds(2);

}  // namespace
}  // namespace internal

Membership::Membership(EventLoop* loop, PeerService* peers, MemberIdentity self,
                       const std::vector<Endpoint>& seeds)
    : loop(loop),
      peers(peers),
      member_view(MakeMemberView(std::move(self), seeds)) {
  peers->Handle<Heartbeat>([this](const Heartbeat& heartbeat,
                                  const PeerReplier<HeartbeatReply>& reply) {
    reply(this->AnswerHeartbeat(heartbeat));
  });
  peers->Handle<Join>(
      [this](const Join& join, const PeerReplier<JoinReply>& reply) {
        reply(this->AnswerJoin(join));
      });
}

void Membership::AddListener(MembershipListener listener) {
  this->listeners.push_back(std::move(listener));
}

void Membership::Start() { this->Tick(); }

void Membership::RecordSuccession(Incarnation ended,
                                  const MemberIdentity& successor) {
  AddSuccession(&this->member_view,
                {ended, successor, std::chrono::milliseconds(0)},
                this->loop->Now());
}

const Member* Membership::FindMember(const std::string& vm) const {
  const auto it = this->member_view.members.find(vm);
  return it == this->member_view.members.end() ? nullptr : &it->second;
}

void Membership::Tick() {
  const MemberActions actions =
      PlanHeartbeats(&this->member_view, this->loop->Now());
  this->PublishStateChanges(actions.changes);
  for (const HeartbeatTarget& target : actions.heartbeats) {
    this->SendHeartbeat(target);
  }
  for (const Endpoint& endpoint : actions.joins) this->SendJoin(endpoint);
  this->loop->Schedule(internal::kTickInterval, [this] { this->Tick(); });
}

void Membership::SendHeartbeat(const HeartbeatTarget& target) {
  Heartbeat heartbeat;
  heartbeat.sender = this->self();
  heartbeat.leaving = this->leaving;
  heartbeat.succession = target.succession;
  for (const MembershipListener& listener : this->listeners) {
    if (listener.fill_heartbeat) {
      listener.fill_heartbeat(target.member, &heartbeat);
    }
  }
  const TimePoint sent = this->loop->Now();
  this->peers->Send<Heartbeat>(
      target.member.peer_endpoint, heartbeat, internal::kHeartbeatTimeout,
      [this, target, sent](const Result<HeartbeatReply>& result) {
        const auto* reply = std::get_if<HeartbeatReply>(&result);
        if (reply == nullptr ||
            ObserveReply(&this->member_view, reply->sender, reply->leaving,
                         sent,
                         this->loop->Now()) == ObservationResult::kIgnored) {
          return;
        }
        RecordSuccessionReceipt(&this->member_view, target.member,
                                target.records_up_to);
        for (const MembershipListener& listener : this->listeners) {
          if (listener.receive_heartbeat_reply) {
            listener.receive_heartbeat_reply(*reply);
          }
        }
      });
}

void Membership::SendJoin(const Endpoint& endpoint) {
  Join join;
  join.sender = this->self();
  for (const MembershipListener& listener : this->listeners) {
    if (listener.fill_join) listener.fill_join(&join);
  }
  const TimePoint sent = this->loop->Now();
  this->peers->Send<Join>(endpoint, join, internal::kJoinTimeout,
                          [this, sent](const Result<JoinReply>& result) {
                            const auto* reply = std::get_if<JoinReply>(&result);
                            if (reply != nullptr) {
                              this->ProcessJoinReply(*reply, sent);
                            }
                          });
}

void Membership::ProcessJoinReply(const JoinReply& reply, TimePoint sent) {
  const TimePoint now = this->loop->Now();
  if (ObserveReply(&this->member_view, reply.sender, /*leaving=*/false, sent,
                   now) == ObservationResult::kIgnored) {
    return;
  }
  LearnMembers(&this->member_view, reply.sender, reply.members, now);
  for (const SuccessionRecord& record : reply.succession) {
    AddSuccession(&this->member_view, record, now);
  }
  for (const MembershipListener& listener : this->listeners) {
    if (listener.receive_join_reply) listener.receive_join_reply(reply);
  }
}

HeartbeatReply Membership::AnswerHeartbeat(const Heartbeat& heartbeat) {
  HeartbeatReply reply;
  reply.sender = this->self();
  reply.leaving = this->leaving;
  const TimePoint now = this->loop->Now();
  if (ObserveRequest(&this->member_view, heartbeat.sender, heartbeat.leaving,
                     now) == ObservationResult::kIgnored) {
    return reply;
  }
  for (const SuccessionRecord& record : heartbeat.succession) {
    AddSuccession(&this->member_view, record, now);
  }
  for (const MembershipListener& listener : this->listeners) {
    if (listener.receive_heartbeat) {
      listener.receive_heartbeat(heartbeat, &reply);
    }
  }
  return reply;
}

JoinReply Membership::AnswerJoin(const Join& join) {
  const TimePoint now = this->loop->Now();
  ObserveRequest(&this->member_view, join.sender, /*leaving=*/false, now);
  JoinReply reply;
  reply.sender = this->self();
  reply.members = ListMembers(this->member_view, this->leaving);
  reply.succession = ListSuccession(this->member_view, now);
  for (const MembershipListener& listener : this->listeners) {
    if (listener.fill_join_reply) listener.fill_join_reply(join, &reply);
  }
  return reply;
}

void Membership::PublishStateChanges(
    const std::vector<MemberStateChange>& changes) {
  for (const MemberStateChange& change : changes) {
    Log(LogLevel::kInfo, "member_state",
        {{"vm", change.member.vm},
         {"before", ToString(change.before)},
         {"after", ToString(change.after)}});
    for (const MembershipListener& listener : this->listeners) {
      if (listener.on_change) listener.on_change(change);
    }
  }
}

}  // namespace sequoiapath
