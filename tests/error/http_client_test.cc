// Guards against the delivery of a request after it was reported as timed out,
// against connections beyond the limit, and against a destroyed client that the
// event loop still uses.

#include "sequoiapath/transport/http_client.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loop_testing.h"
#include "raw_listener.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

// Guards against the delivery of a request after its timeout. The server does
// not read, so the body is still in the kernel's send buffer. An ordinary close
// would deliver it later, and the worker would start the task.
TEST(HttpClientErrorTest, TimedOutRequestIsNotDeliveredLater) {
  constexpr std::size_t kBodyBytes = 64 << 10;
  EventLoop loop;
  RawListener listener;
  const auto client = HttpClientBuilder(&loop, listener.endpoint).Build();
  std::optional<HttpResult> result;
  client->Send({"POST", "/v1/tasks/1", {}, std::string(kBodyBytes, 'x'), ""},
               milliseconds(200),
               [&](HttpResult outcome) { result = std::move(outcome); });
  ASSERT_TRUE(RunUntil(&loop, [&] { return result.has_value(); }));
  EXPECT_EQ(std::get<HttpError>(*result).kind, HttpErrorKind::kTimeout);
  RunFor(&loop, milliseconds(50));
  bool reset = false;
  EXPECT_LT(listener.ReadAll(&reset), kBodyBytes);
  EXPECT_TRUE(reset);
}

// Allocates and overwrites blocks of all sizes that a client may have, so that
// a pointer to a freed client leads to invalid addresses.
std::vector<std::string> ReuseFreedMemory() {
  constexpr std::size_t kLargestBlock = 2048;
  constexpr std::size_t kBlockStep = 16;
  constexpr int kBlocksPerSize = 64;
  std::vector<std::string> blocks;
  for (std::size_t size = kBlockStep; size <= kLargestBlock;
       size += kBlockStep) {
    for (int i = 0; i < kBlocksPerSize; ++i) {
      blocks.emplace_back(size - 1, '\x5a');
    }
  }
  return blocks;
}

// Guards against a crash after workers came back at other addresses: their
// clients are destroyed, but the event loop still had their timeouts in a list.
TEST(HttpClientErrorTest, LoopRunsAfterClientsAreDestroyed) {
  constexpr int kClients = 48;
  EventLoop loop;
  const auto server = StartServer(
      &loop, [](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond({200, {}, "x"});
      });
  std::vector<std::unique_ptr<HttpClient>> clients;
  int answered = 0;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(HttpClientBuilder(&loop, server->endpoint()).Build());
    clients.back()->Send({"GET", "/", {}, "", ""}, std::chrono::seconds(5),
                         [&](const HttpResult&) { ++answered; });
  }
  ASSERT_TRUE(RunUntil(&loop, [&] { return answered == kClients; }));
  clients.clear();
  const std::vector<std::string> blocks = ReuseFreedMemory();
  RunFor(&loop, milliseconds(20));
  answered = 0;
  const auto client = HttpClientBuilder(&loop, server->endpoint()).Build();
  client->Send({"GET", "/", {}, "", ""}, std::chrono::seconds(5),
               [&](const HttpResult& result) {
                 answered += std::holds_alternative<HttpResponse>(result);
               });
  EXPECT_TRUE(RunUntil(&loop, [&] { return answered == 1; }));
}

// Guards against the same fault with requests that are in flight when their
// client is destroyed: connecting, and waiting for a response.
TEST(HttpClientErrorTest, LoopRunsAfterClientsWithRequestsAreDestroyed) {
  constexpr int kClients = 48;
  EventLoop loop;
  std::vector<HttpResponder> held;
  const auto server = StartServer(
      &loop, [&](const HttpRequest&, const HttpResponder& responder) {
        held.push_back(responder);
      });
  std::vector<std::unique_ptr<HttpClient>> clients;
  int cancelled = 0;
  const auto add_client = [&] {
    clients.push_back(HttpClientBuilder(&loop, server->endpoint()).Build());
    clients.back()->Send({"GET", "/", {}, "", ""}, std::chrono::seconds(5),
                         [&](const HttpResult& result) {
                           const auto* error = std::get_if<HttpError>(&result);
                           cancelled += error && error->kind ==
                                                     HttpErrorKind::kCancelled;
                         });
  };
  for (int i = 0; i < kClients / 2; ++i) add_client();
  ASSERT_TRUE(RunUntil(&loop, [&] { return held.size() == kClients / 2; }));
  for (int i = 0; i < kClients / 2; ++i) add_client();
  clients.clear();
  EXPECT_EQ(cancelled, kClients);
  const std::vector<std::string> blocks = ReuseFreedMemory();
  RunFor(&loop, milliseconds(50));
}

// Guards against a crash when the callback of a request destroys the client:
// h2o returns the socket to the connection after the callback.
TEST(HttpClientErrorTest, CallbackMayDestroyItsClient) {
  EventLoop loop;
  const auto server = StartServer(
      &loop, [](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond({200, {}, "x"});
      });
  auto client = HttpClientBuilder(&loop, server->endpoint()).Build();
  std::vector<std::string> blocks;
  client->Send({"GET", "/", {}, "", ""}, std::chrono::seconds(5),
               [&](const HttpResult&) {
                 client.reset();
                 blocks = ReuseFreedMemory();
               });
  ASSERT_TRUE(RunUntil(&loop, [&] { return client == nullptr; }));
  RunFor(&loop, milliseconds(20));
}

// Guards against a callback that runs before Send has returned: the caller does
// not know the request yet. The kernel rejects a connection to this address at
// once, without an attempt over the network.
TEST(HttpClientErrorTest, ImmediateConnectFailureIsReportedAfterSend) {
  EventLoop loop;
  const auto client = HttpClientBuilder(&loop, {"255.255.255.255", 9}).Build();
  bool sending = true;
  std::optional<HttpResult> result;
  client->Send({"GET", "/", {}, "", ""}, std::chrono::seconds(5),
               [&](HttpResult outcome) {
                 EXPECT_FALSE(sending);
                 result = std::move(outcome);
               });
  sending = false;
  ASSERT_TRUE(RunUntil(&loop, [&] { return result.has_value(); }));
  EXPECT_EQ(std::get<HttpError>(*result).kind, HttpErrorKind::kConnectFailed);
  EXPECT_FALSE(std::get<HttpError>(*result).may_have_been_sent);
  EXPECT_EQ(client->BusyConnections(), 0u);
}

// Guards against a caller that cannot tell an address where no process listens
// from one that does not answer.
TEST(HttpClientErrorTest, RefusedConnectionIsNoTimeout) {
  EventLoop loop;
  RawListener listener;
  listener.Close();
  const auto client = HttpClientBuilder(&loop, listener.endpoint).Build();
  std::optional<HttpResult> result;
  client->Send({"GET", "/", {}, "", ""}, milliseconds(500),
               [&](HttpResult outcome) { result = std::move(outcome); });
  ASSERT_TRUE(RunUntil(&loop, [&] { return result.has_value(); }));
  const auto& error = std::get<HttpError>(*result);
  EXPECT_EQ(error.kind, HttpErrorKind::kRefused);
  EXPECT_FALSE(error.may_have_been_sent);
}

// Guards against a daemon that keeps more than its share of a worker's
// connections: the total of all daemons would exceed the worker's limit.
TEST(HttpClientErrorTest, LoweredLimitClosesConnections) {
  EventLoop loop;
  std::vector<HttpResponder> held;
  const auto server = StartServer(
      &loop, [&](const HttpRequest&, const HttpResponder& responder) {
        held.push_back(responder);
      });
  const auto client =
      HttpClientBuilder(&loop, server->endpoint()).MaxConnections(8).Build();
  int answered = 0;
  const auto send = [&] {
    client->Send({"GET", "/", {}, "", ""}, std::chrono::seconds(5),
                 [&](const HttpResult&) { ++answered; });
  };
  for (int i = 0; i < 6; ++i) send();
  ASSERT_TRUE(RunUntil(&loop, [&] { return held.size() == 6; }));
  for (int i = 0; i < 3; ++i) held[i].Respond({200, {}, "x"});
  ASSERT_TRUE(RunUntil(&loop, [&] { return answered == 3; }));
  EXPECT_EQ(client->IdleConnections(), 3u);
  client->SetMaxConnections(4);
  EXPECT_EQ(client->BusyConnections(), 3u);
  EXPECT_EQ(client->IdleConnections(), 1u);
  client->SetMaxConnections(2);
  for (int i = 3; i < 6; ++i) held[i].Respond({200, {}, "x"});
  ASSERT_TRUE(RunUntil(&loop, [&] { return answered == 6; }));
  EXPECT_EQ(client->BusyConnections(), 0u);
  EXPECT_LE(client->IdleConnections(), 2u);
}

}  // namespace
}  // namespace sequoiapath
