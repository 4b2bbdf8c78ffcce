#include "sequoiapath/state/session_router.h"

#include <chrono>
#include <string>
#include <utility>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

// Time that the owner's answer, which may be sent as late as the deadline, has
// to arrive here.
constexpr auto kAnswerMargin = std::chrono::seconds(1);

Failure OwnerLost() {
  return {Verdict::kMayHaveRun, Reason::kOwnerLost, RetryAdvice::kNewSession,
          std::nullopt, "the process that owned the session has ended"};
}

Failure OwnerUnreachable(const std::string& cause) {
  return {Verdict::kMayHaveRun, Reason::kOwnerUnreachable,
          RetryAdvice::kSameSequence, std::nullopt,
          "no answer from the session's owner: " + cause};
}

// Returns whether a later process of the VM is known to have replaced the one
// with this incarnation.
bool IsReplaced(const Membership& membership, const std::string& vm,
                Incarnation incarnation) {
  if (membership.view().replaced.contains(incarnation)) return true;
  if (vm == membership.self().vm) {
    return incarnation != membership.self().incarnation;
  }
  const Member* member = membership.FindMember(vm);
  return member != nullptr && member->has_sent_message &&
         member->identity.incarnation != incarnation;
}

}  // namespace
}  // namespace internal

SessionRouter::SessionRouter(EventLoop* loop, PeerService* peers,
                             const Membership* membership,
                             CallerApi* caller_api)
    : loop(loop), peers(peers), membership(membership), caller_api(caller_api) {
  peers->Handle<Forward>(
      [this](const Forward& request, const PeerReplier<ForwardReply>& reply) {
        this->AnswerForward(request, reply);
      });
  caller_api->SetForwarder([this](const SessionId& session,
                                  const Forward& request,
                                  ReplyCallback callback) {
    this->Route(session, request, std::move(callback));
  });
}

Result<Endpoint> SessionRouter::FindOwner(const SessionId& session) const {
  const auto successor = FindSuccessor(this->membership->view(),
                                       session.incarnation, this->loop->Now());
  const std::string& vm = successor ? successor->vm : session.vm;
  const Incarnation owner =
      successor ? successor->incarnation : session.incarnation;
  if (internal::IsReplaced(*this->membership, vm, owner) ||
      owner == this->membership->self().incarnation) {
    return internal::OwnerLost();
  }
  return successor ? successor->peer_endpoint : session.peer_endpoint;
}

void SessionRouter::Route(const SessionId& session, const Forward& request,
                          ReplyCallback callback) {
  const std::uint64_t number = this->next_number++;
  this->waiting[number] = std::move(callback);
  const Result<Endpoint> owner = this->FindOwner(session);
  if (const Failure* failure = GetFailure(owner)) {
    this->loop->Schedule(Duration(0), [this, number, failure = *failure] {
      this->Finish(number, failure);
    });
    return;
  }
  this->peers->Send<Forward>(
      std::get<Endpoint>(owner), request,
      request.remaining + internal::kAnswerMargin,
      [this, number, session](Result<ForwardReply> result) {
        if (const Failure* failure = GetFailure(result)) {
          return this->Finish(number,
                              this->ClassifyForwardFailure(session, *failure));
        }
        this->Finish(number, std::move(result));
      });
}

void SessionRouter::Finish(std::uint64_t number, Result<ForwardReply> result) {
  const auto node = this->waiting.extract(number);
  if (!node.empty()) node.mapped()(std::move(result));
}

Failure SessionRouter::ClassifyForwardFailure(const SessionId& session,
                                              const Failure& failure) const {
  Log(LogLevel::kInfo, "forward_failed",
      {{"owner", session.vm},
       {"reason", ToString(failure.reason)},
       {"detail", failure.detail}});
  // The receiver does not serve the session. If a succession record names a
  // successor, the caller may submit the same sequence number again and reaches
  // that successor.
  if (failure.reason == Reason::kOwnerLost &&
      !FindSuccessor(this->membership->view(), session.incarnation,
                     this->loop->Now())) {
    return internal::OwnerLost();
  }
  return internal::OwnerUnreachable(failure.detail);
}

void SessionRouter::AnswerForward(const Forward& request,
                                  const PeerReplier<ForwardReply>& reply) {
  const bool serves_session = this->caller_api->AnswerForwardedRequest(
      request, [reply](int status, std::string body) {
        reply(ForwardReply{status, std::move(body)});
      });
  if (!serves_session) reply(internal::OwnerLost());
}

void SessionRouter::AbandonRequests() {
  while (!this->waiting.empty()) {
    this->Finish(this->waiting.begin()->first,
                 internal::OwnerUnreachable(
                     "this daemon stopped before the owner answered"));
  }
}

}  // namespace sequoiapath
