// Guards against requests and replies between two daemons that are lost or
// changed on the way.

#include "sequoiapath/state/peer_service.h"

#include <optional>

#include "loop_testing.h"

namespace sequoiapath {
namespace {

using std::chrono::seconds;

std::unique_ptr<PeerService> StartService(EventLoop* loop) {
  auto built = PeerServiceBuilder(loop)
                   .Listen({"127.0.0.1", 0})
                   .ClusterKey("key")
                   .Build();
  return std::get<std::unique_ptr<PeerService>>(std::move(built));
}

MemberIdentity IdentityOf(const PeerService& service, Incarnation incarnation) {
  return {"heredia", "vm", service.endpoint(), incarnation};
}

// Guards against a heartbeat or reply that does not arrive or loses fields, in
// either direction.
TEST(PeerServiceTest, HeartbeatsPassInBothDirections) {
  EventLoop loop;
  const auto a = StartService(&loop);
  const auto b = StartService(&loop);
  int answered = 0;
  const auto exchange = [&](PeerService* from, PeerService* to) {
    to->Handle<Heartbeat>([to](const Heartbeat& request,
                               const PeerReplier<HeartbeatReply>& reply) {
      EXPECT_EQ(request.shares.backlog, 7u);
      HeartbeatReply answer;
      answer.sender = IdentityOf(*to, 5);
      reply(answer);
    });
    Heartbeat request;
    request.sender = IdentityOf(*from, 4);
    request.shares.backlog = 7;
    from->Send<Heartbeat>(
        to->endpoint(), request, seconds(5),
        [&, to](const Result<HeartbeatReply>& result) {
          ASSERT_EQ(GetFailure(result), nullptr);
          EXPECT_EQ(std::get<HeartbeatReply>(result).sender.peer_endpoint,
                    to->endpoint());
          ++answered;
        });
  };
  exchange(a.get(), b.get());
  exchange(b.get(), a.get());
  EXPECT_TRUE(RunUntil(&loop, [&] { return answered == 2; }));
}

// Guards against a refusal whose verdict or reason is lost when the handler
// answers after it has returned.
TEST(PeerServiceTest, LateRefusalKeepsItsVerdict) {
  EventLoop loop;
  const auto a = StartService(&loop);
  const auto b = StartService(&loop);
  PeerReplier<ForwardReply> held;
  b->Handle<Forward>([&](const Forward&, PeerReplier<ForwardReply> reply) {
    held = std::move(reply);
  });
  std::optional<Result<ForwardReply>> result;
  a->Send<Forward>(
      b->endpoint(), Forward{}, seconds(5),
      [&](Result<ForwardReply> outcome) { result = std::move(outcome); });
  ASSERT_TRUE(RunUntil(&loop, [&] { return held != nullptr; }));
  EXPECT_EQ(b->PendingRequests(), 1u);
  held(Failure{Verdict::kNotRun, Reason::kStopping, RetryAdvice::kSameSequence,
               std::nullopt, "x"});
  ASSERT_TRUE(RunUntil(&loop, [&] { return result.has_value(); }));
  ASSERT_NE(GetFailure(*result), nullptr);
  EXPECT_EQ(GetFailure(*result)->verdict, Verdict::kNotRun);
  EXPECT_EQ(GetFailure(*result)->reason, Reason::kStopping);
}

}  // namespace
}  // namespace sequoiapath
