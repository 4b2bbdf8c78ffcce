// Guards against the delivery of a request after it was reported as timed out,
// and against connections beyond the limit.

#include "sequoiapath/transport/http_client.h"

#include <optional>
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
