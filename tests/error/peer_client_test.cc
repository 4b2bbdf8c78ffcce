// Guards the errors that PeerClient reports for failed calls and its handling
// of unresponsive connections.

#include "sequoiapath/transport/peer_client.h"

#include <optional>

#include "loop_testing.h"
#include "raw_listener.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HttpError ErrorOf(const std::optional<HttpResult>& result) {
  const auto* error = std::get_if<HttpError>(&*result);
  EXPECT_NE(error, nullptr);
  return error == nullptr ? HttpError{} : *error;
}

std::optional<HttpResult> CallAndWait(EventLoop* loop, PeerClient* client,
                                      const Endpoint& endpoint,
                                      Duration timeout) {
  std::optional<HttpResult> result;
  client->Call(endpoint, {"/peer/x", {}, "body"}, timeout,
               [&](HttpResult outcome) { result = std::move(outcome); });
  EXPECT_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
  return result;
}

TEST(PeerClientErrorTest, RefusedConnectionReportsNothingSent) {
  EventLoop loop;
  RawListener listener;
  const Endpoint endpoint = listener.endpoint;
  listener.Close();
  const auto client = PeerClientBuilder(&loop).Build();
  const HttpError error =
      ErrorOf(CallAndWait(&loop, client.get(), endpoint, seconds(2)));
  EXPECT_EQ(error.kind, HttpErrorKind::kConnectFailed);
  EXPECT_FALSE(error.may_have_been_sent);
  EXPECT_EQ(client->Connections(endpoint), 0u);
}

// Guards against new calls that use a connection whose peer has stopped
// responding, and against reporting the timed out call as not sent.
TEST(PeerClientErrorTest, SilentConnectionIsReplacedForNewCalls) {
  EventLoop loop;
  RawListener listener;
  const auto client = PeerClientBuilder(&loop).Build();
  std::optional<HttpResult> old_stream;
  client->Call(listener.endpoint, {"/peer/x", {}, ""}, milliseconds(500),
               [&](HttpResult result) { old_stream = std::move(result); });
  const HttpError error = ErrorOf(
      CallAndWait(&loop, client.get(), listener.endpoint, milliseconds(100)));
  EXPECT_EQ(error.kind, HttpErrorKind::kTimeout);
  EXPECT_TRUE(error.may_have_been_sent);
  EXPECT_EQ(client->Connections(listener.endpoint), 1u);
  client->Call(listener.endpoint, {"/peer/x", {}, ""}, seconds(5),
               [](const HttpResult&) {});
  EXPECT_EQ(client->Connections(listener.endpoint), 2u);
  EXPECT_FALSE(old_stream.has_value());
  ASSERT_TRUE(RunUntil(&loop, [&] { return old_stream.has_value(); }));
  EXPECT_EQ(ErrorOf(old_stream).kind, HttpErrorKind::kTimeout);
  EXPECT_EQ(client->Connections(listener.endpoint), 1u);
}

// Guards against new connections to a peer that is overloaded: a call times out
// while other replies arrive on its connection.
TEST(PeerClientErrorTest, ConnectionWithRepliesOutlastsATimeout) {
  EventLoop loop;
  const auto server = StartServer(
      &loop, [](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path != "/peer/x") return;
        responder.Respond({200, {}, "x"});
      });
  const auto client = PeerClientBuilder(&loop).Build();
  client->Call(server->endpoint(), {"/peer/long", {}, ""}, seconds(5),
               [](const HttpResult&) {});
  std::optional<HttpResult> slow;
  client->Call(server->endpoint(), {"/peer/slow", {}, ""}, milliseconds(200),
               [&](HttpResult result) { slow = std::move(result); });
  RunFor(&loop, milliseconds(50));
  const auto reply =
      CallAndWait(&loop, client.get(), server->endpoint(), seconds(2));
  EXPECT_TRUE(std::holds_alternative<HttpResponse>(*reply));
  ASSERT_TRUE(RunUntil(&loop, [&] { return slow.has_value(); }));
  EXPECT_EQ(ErrorOf(slow).kind, HttpErrorKind::kTimeout);
  const auto second =
      CallAndWait(&loop, client.get(), server->endpoint(), seconds(2));
  EXPECT_TRUE(std::holds_alternative<HttpResponse>(*second));
  EXPECT_EQ(client->Connections(server->endpoint()), 1u);
}

// Guards against reporting a call as possibly sent that timed out while it was
// queued. It was never written, and its caller can retry it only if the error
// has may_have_been_sent == false (guarantee G4 in docs/design.md).
TEST(PeerClientErrorTest, QueuedCallReportsNothingSent) {
  EventLoop loop;
  const auto server =
      StartServer(&loop, [](const HttpRequest&, const HttpResponder&) {});
  const auto client = PeerClientBuilder(&loop).MaxConnections(1).Build();
  for (int i = 0; i < 100; ++i) {
    client->Call(server->endpoint(), {"/peer/hold", {}, ""}, seconds(5),
                 [](const HttpResult&) {});
  }
  RunFor(&loop, milliseconds(50));
  const HttpError error = ErrorOf(
      CallAndWait(&loop, client.get(), server->endpoint(), milliseconds(100)));
  EXPECT_EQ(error.kind, HttpErrorKind::kTimeout);
  EXPECT_FALSE(error.may_have_been_sent);
}

TEST(PeerClientErrorTest, ClosedConnectionFailsItsCallsAtOnce) {
  EventLoop loop;
  RawListener listener;
  const auto client = PeerClientBuilder(&loop).Build();
  std::optional<HttpResult> result;
  client->Call(listener.endpoint, {"/peer/x", {}, ""}, seconds(5),
               [&](HttpResult outcome) { result = std::move(outcome); });
  RunFor(&loop, milliseconds(50));
  listener.AcceptAndClose();
  ASSERT_TRUE(RunUntil(
      &loop, [&] { return result.has_value(); }, seconds(2)));
  EXPECT_EQ(ErrorOf(result).kind, HttpErrorKind::kClosed);
  EXPECT_TRUE(ErrorOf(result).may_have_been_sent);
}

TEST(PeerClientErrorTest, DestructionCancelsCalls) {
  EventLoop loop;
  RawListener listener;
  auto client = PeerClientBuilder(&loop).Build();
  std::optional<HttpResult> result;
  client->Call(listener.endpoint, {"/peer/x", {}, ""}, seconds(5),
               [&](HttpResult outcome) { result = std::move(outcome); });
  client.reset();
  ASSERT_TRUE(RunUntil(
      &loop, [&] { return result.has_value(); }, seconds(2)));
  EXPECT_EQ(ErrorOf(result).kind, HttpErrorKind::kCancelled);
}

TEST(PeerClientErrorTest, OversizedResponseIsRefused) {
  EventLoop loop;
  const auto server = StartServer(
      &loop, [](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond({200, {}, std::string(100'000, 'x')});
      });
  const auto client = PeerClientBuilder(&loop).MaxResponseSize(10'000).Build();
  const HttpError error =
      ErrorOf(CallAndWait(&loop, client.get(), server->endpoint(), seconds(2)));
  EXPECT_EQ(error.kind, HttpErrorKind::kClosed);
}

}  // namespace
}  // namespace sequoiapath
