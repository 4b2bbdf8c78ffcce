// Guards the HTTP/2 exchange between PeerClient and HttpServer.

#include "sequoiapath/transport/peer_client.h"

#include <string>
#include <vector>

#include "loop_testing.h"
#include "raw_listener.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Echo(const HttpRequest& request, const HttpResponder& responder) {
  responder.Respond({200, {{"x-path", request.path}}, request.body});
}

TEST(PeerClientTest, SequentialCallsShareOneConnection) {
  EventLoop loop;
  const auto server = StartServer(&loop, Echo);
  const auto client = PeerClientBuilder(&loop).Build();
  for (int i = 0; i < 3; ++i) {
    bool done = false;
    client->Call(server->endpoint(), {"/peer/echo", {}, "body"}, seconds(5),
                 [&](const HttpResult& result) {
                   const auto* response = std::get_if<HttpResponse>(&result);
                   ASSERT_NE(response, nullptr);
                   EXPECT_EQ(response->status, 200);
                   EXPECT_EQ(response->body, "body");
                   EXPECT_EQ(FindHeader(response->headers, "x-path"),
                             "/peer/echo");
                   done = true;
                 });
    EXPECT_FALSE(done);
    ASSERT_TRUE(RunUntil(&loop, [&] { return done; }));
    EXPECT_EQ(client->Connections(server->endpoint()), 1u);
  }
}

// Guards against calls that wait for earlier ones because the server's limit of
// streams per connection is reached; long forwarded jobs would then delay
// heartbeats.
TEST(PeerClientTest, ManyLongCallsDoNotBlockLaterOnes) {
  constexpr std::size_t kCalls = 450;
  EventLoop loop;
  std::vector<HttpResponder> held;
  const auto server = StartServer(
      &loop, [&](const HttpRequest&, const HttpResponder& responder) {
        held.push_back(responder);
      });
  const auto client = PeerClientBuilder(&loop).Build();
  std::size_t answered = 0;
  for (std::size_t i = 0; i < kCalls; ++i) {
    client->Call(server->endpoint(), {"/peer/hold", {}, std::to_string(i)},
                 seconds(20), [&](const HttpResult& result) {
                   answered += std::holds_alternative<HttpResponse>(result);
                 });
  }
  ASSERT_TRUE(RunUntil(&loop, [&] { return held.size() == kCalls; }))
      << held.size() << " calls reached the server";
  EXPECT_LE(client->Connections(server->endpoint()), 6u);
  for (const HttpResponder& responder : held) responder.Respond({200, {}, "x"});
  EXPECT_TRUE(RunUntil(&loop, [&] { return answered == kCalls; })) << answered;
}

// Guards against changed or stalled bodies that are much larger than the flow
// control windows.
TEST(PeerClientTest, LargeBodiesPassInBothDirections) {
  EventLoop loop;
  const auto server = StartServer(&loop, Echo);
  const auto client = PeerClientBuilder(&loop).Build();
  std::string body(12 << 20, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>(i * 2654435761u >> 13);
  }
  int done = 0;
  const TimePoint begin = loop.Now();
  for (int i = 0; i < 2; ++i) {
    client->Call(server->endpoint(), {"/peer/echo", {}, body}, seconds(20),
                 [&](const HttpResult& result) {
                   const auto* response = std::get_if<HttpResponse>(&result);
                   ASSERT_NE(response, nullptr);
                   EXPECT_TRUE(response->body == body);
                   ++done;
                 });
  }
  ASSERT_TRUE(RunUntil(
      &loop, [&] { return done == 2; }, seconds(20)));
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(loop.Now() - begin);
  RecordProperty("echo_2x12_mb_ms", static_cast<int>(elapsed.count()));
}

// Guards against the server's idle timeout closing a connection while its call
// is in progress.
TEST(PeerClientTest, CallMayOutlastTheServersIdleTimeout) {
  EventLoop loop;
  const auto server = StartServer(
      &loop,
      [&](const HttpRequest&, const HttpResponder& responder) {
        loop.Schedule(milliseconds(600), [responder] {
          responder.Respond({200, {}, "late"});
        });
      },
      milliseconds(150));
  const auto client = PeerClientBuilder(&loop).Build();
  std::string body;
  bool done = false;
  client->Call(server->endpoint(), {"/peer/slow", {}, ""}, seconds(5),
               [&](const HttpResult& result) {
                 const auto* response = std::get_if<HttpResponse>(&result);
                 if (response != nullptr) body = response->body;
                 done = true;
               });
  ASSERT_TRUE(RunUntil(&loop, [&] { return done; }));
  EXPECT_EQ(body, "late");
}

// Guards against a delayed completion of a write that a timer started. The
// write completes in the next iteration of the loop. If that iteration waited
// for other events first, calls queued behind the write would be up to 100 ms
// late.
TEST(PeerClientTest, WriteFromATimerCompletesWithoutOtherEvents) {
  EventLoop loop;
  RawListener listener;
  const auto client = PeerClientBuilder(&loop).Build();
  const auto call = [&] {
    client->Call(listener.endpoint, {"/peer/x", {}, "x"}, seconds(60),
                 [](const HttpResult&) {});
  };
  call();
  RunFor(&loop, milliseconds(50));
  bool called = false;
  loop.Schedule(Duration::zero(), [&] {
    call();
    called = true;
  });
  while (!called) loop.RunOnce(milliseconds(5));
  const TimePoint begin = loop.Now();
  loop.RunOnce(seconds(1));
  EXPECT_LT(loop.Now() - begin, milliseconds(500));
}

// Guards against calls that fail because the server has closed their connection
// while it was idle.
TEST(PeerClientTest, ReconnectsAfterTheServerClosedAnIdleConnection) {
  EventLoop loop;
  const auto server = StartServer(&loop, Echo, milliseconds(100));
  const auto client = PeerClientBuilder(&loop).Build();
  int answered = 0;
  const auto call = [&] {
    client->Call(server->endpoint(), {"/peer/echo", {}, "x"}, seconds(5),
                 [&](const HttpResult& result) {
                   answered += std::holds_alternative<HttpResponse>(result);
                 });
  };
  call();
  ASSERT_TRUE(RunUntil(&loop, [&] { return answered == 1; }));
  ASSERT_TRUE(RunUntil(
      &loop, [&] { return client->Connections(server->endpoint()) == 0; }));
  call();
  EXPECT_TRUE(RunUntil(&loop, [&] { return answered == 2; }));
}

}  // namespace
}  // namespace sequoiapath
