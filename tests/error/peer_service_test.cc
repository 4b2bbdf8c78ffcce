// Guards PeerService against requests without the cluster's token and against
// peers that do not answer.

#include "sequoiapath/state/peer_service.h"

#include <optional>

#include "loop_testing.h"
#include "raw_listener.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::unique_ptr<PeerService> StartService(EventLoop* loop,
                                          const std::string& key) {
  auto built =
      PeerServiceBuilder(loop).Listen({"127.0.0.1", 0}).ClusterKey(key).Build();
  return std::get<std::unique_ptr<PeerService>>(std::move(built));
}

Failure SendAndFail(EventLoop* loop, PeerService* from,
                    const Endpoint& endpoint) {
  std::optional<Result<ConfigPullReply>> result;
  from->Send<ConfigPull>(
      endpoint, ConfigPull{}, milliseconds(300),
      [&](Result<ConfigPullReply> outcome) { result = std::move(outcome); });
  EXPECT_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
  const Failure* failure = GetFailure(*result);
  EXPECT_NE(failure, nullptr);
  return failure == nullptr ? Failure{} : *failure;
}

// Guards against a daemon of another cluster whose requests reach a handler.
TEST(PeerServiceErrorTest, PeerWithAnotherKeyIsRefused) {
  EventLoop loop;
  const auto service = StartService(&loop, "key");
  const auto foreign = StartService(&loop, "other key");
  bool called = false;
  service->Handle<ConfigPull>(
      [&](const ConfigPull&, const PeerReplier<ConfigPullReply>&) {
        called = true;
      });
  const Failure failure =
      SendAndFail(&loop, foreign.get(), service->endpoint());
  EXPECT_EQ(failure.reason, Reason::kUnauthorized);
  EXPECT_EQ(failure.verdict, Verdict::kNotRun);
  EXPECT_FALSE(called);
}

int StatusOf(EventLoop* loop, const Endpoint& endpoint, PeerCall call) {
  const auto client = PeerClientBuilder(loop).Build();
  std::optional<HttpResult> result;
  client->Call(endpoint, std::move(call), seconds(5),
               [&](HttpResult outcome) { result = std::move(outcome); });
  EXPECT_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
  const auto* response = std::get_if<HttpResponse>(&*result);
  return response == nullptr ? 0 : response->status;
}

// Guards against a body that is decoded before the token is checked: the body
// is malformed, and only a request with the right token may get status 400.
TEST(PeerServiceErrorTest, TokenIsCheckedBeforeTheBody) {
  EventLoop loop;
  const auto service = StartService(&loop, "key");
  service->Handle<ConfigPull>(
      [](const ConfigPull&, const PeerReplier<ConfigPullReply>&) {});
  const std::string token = "Bearer " + DerivePeerToken("key");
  const std::string path = "/peer/config_pull";
  EXPECT_EQ(StatusOf(&loop, service->endpoint(), {path, {}, "\xc1"}), 401);
  EXPECT_EQ(StatusOf(&loop, service->endpoint(),
                     {path, {{"authorization", token + "0"}}, "\xc1"}),
            401);
  EXPECT_EQ(StatusOf(&loop, service->endpoint(),
                     {path, {{"authorization", token}}, "\xc1"}),
            400);
  EXPECT_EQ(StatusOf(&loop, service->endpoint(),
                     {"/peer/other", {{"authorization", token}}, ""}),
            400);
}

// Guards against the verdict kNotRun for a request that was written (G4).
TEST(PeerServiceErrorTest, VerdictFollowsWhatWasWritten) {
  EventLoop loop;
  const auto service = StartService(&loop, "key");
  RawListener unresponsive;
  EXPECT_EQ(SendAndFail(&loop, service.get(), unresponsive.endpoint).verdict,
            Verdict::kMayHaveRun);
  const Endpoint closed = unresponsive.endpoint;
  unresponsive.Close();
  EXPECT_EQ(SendAndFail(&loop, service.get(), closed).verdict,
            Verdict::kNotRun);
}

}  // namespace
}  // namespace sequoiapath
