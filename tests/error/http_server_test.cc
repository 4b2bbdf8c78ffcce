// Guards against requests whose client has gone unnoticed: its job would go on,
// and run beside the copy that the client sends to another daemon.

#include "sequoiapath/transport/http_server.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "loop_testing.h"
#include "raw_client.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(20);
constexpr Duration kNoticeLimit = milliseconds(100);

// A request that the server has received.
struct Arrival {
  std::string path;
  HttpResponder responder;
  int aborts = 0;
};

class HttpServerErrorTest : public testing::Test {
 protected:
  HttpServerErrorTest() {
    // Makes a write to a closed connection return an error, as in the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    this->server = StartServer(
        &this->loop,
        [this](const HttpRequest& request, const HttpResponder& responder) {
          auto arrival = std::make_unique<Arrival>(
              Arrival{.path = request.path, .responder = responder});
          responder.OnAbort([a = arrival.get()] { ++a->aborts; });
          this->arrivals.push_back(std::move(arrival));
        });
    this->Check();
  }

  // Checks the connections now and periodically, as the daemon does.
  void Check() {
    this->server->CloseAbortedConnections();
    this->loop.Schedule(kCheckInterval, [this] { this->Check(); });
  }

  bool WaitForArrivals(std::size_t count) {
    return RunUntil(&this->loop,
                    [&] { return this->arrivals.size() == count; });
  }

  bool WaitForAbort(std::size_t index) {
    return RunUntil(
        &this->loop, [&] { return this->arrivals[index]->aborts > 0; },
        kNoticeLimit);
  }

  void Respond(std::size_t index, const std::string& body) {
    this->arrivals[index]->responder.Respond(
        {.status = 200, .headers = {}, .body = body});
  }

  // Expects that the abort was reported once and that nothing is pending.
  void ExpectGone(std::size_t index) {
    EXPECT_EQ(this->server->PendingRequests(), 0U);
    this->Respond(index, "late");
    RunFor(&this->loop, 3 * kCheckInterval);
    EXPECT_EQ(this->arrivals[index]->aborts, 1);
    EXPECT_EQ(this->server->PendingRequests(), 0U);
  }

  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<Arrival>> arrivals;
};

// Guards against a closed connection that is noticed only when the response is
// written.
TEST_F(HttpServerErrorTest, ClosedConnectionIsNoticedWhileTheRequestIsPending) {
  RawClient client(this->server->endpoint());
  client.SendRequest("/1");
  ASSERT_TRUE(this->WaitForArrivals(1));
  client.Close();
  ASSERT_TRUE(this->WaitForAbort(0));
  this->ExpectGone(0);
}

// Guards against a reset that is noticed only when the response is written.
TEST_F(HttpServerErrorTest, ResetConnectionIsNoticedWhileTheRequestIsPending) {
  RawClient client(this->server->endpoint());
  client.SendRequest("/1");
  ASSERT_TRUE(this->WaitForArrivals(1));
  client.Reset();
  ASSERT_TRUE(this->WaitForAbort(0));
  this->ExpectGone(0);
}

// Guards against a response to an aborted request. A client that closed only
// its sending direction would take it for the outcome of the request.
TEST_F(HttpServerErrorTest, HalfClosedConnectionEndsWithoutAResponse) {
  RawClient client(this->server->endpoint());
  client.SendRequest("/1");
  ASSERT_TRUE(this->WaitForArrivals(1));
  client.Shutdown();
  ASSERT_TRUE(this->WaitForAbort(0));
  this->ExpectGone(0);
  bool ended = false;
  EXPECT_EQ(client.Receive(&ended), "");
  EXPECT_TRUE(ended);
}

// Guards against an abort of a connection that is open, among others that have
// ended, and of one whose client has sent a further request.
TEST_F(HttpServerErrorTest, OpenAndPipelinedConnectionsAreServed) {
  RawClient open(this->server->endpoint());
  RawClient pipelined(this->server->endpoint());
  std::vector<std::unique_ptr<RawClient>> closed;
  open.SendRequest("/open");
  ASSERT_TRUE(this->WaitForArrivals(1));
  pipelined.SendRequest("/first");
  pipelined.SendRequest("/second");
  ASSERT_TRUE(this->WaitForArrivals(2));
  constexpr std::size_t kClosed = 50;
  for (std::size_t i = 0; i < kClosed; ++i) {
    closed.push_back(std::make_unique<RawClient>(this->server->endpoint()));
    closed.back()->SendRequest("/closed");
  }
  ASSERT_TRUE(this->WaitForArrivals(2 + kClosed));
  closed.clear();
  ASSERT_TRUE(RunUntil(
      &this->loop, [this] { return this->server->PendingRequests() == 2; },
      kNoticeLimit));
  RunFor(&this->loop, 5 * kCheckInterval);
  EXPECT_EQ(this->arrivals[0]->aborts, 0);
  EXPECT_EQ(this->arrivals[1]->aborts, 0);
  for (std::size_t i = 2; i < this->arrivals.size(); ++i) {
    EXPECT_EQ(this->arrivals[i]->aborts, 1);
  }
  this->Respond(0, "for open");
  this->Respond(1, "for first");
  ASSERT_TRUE(this->WaitForArrivals(3 + kClosed));
  EXPECT_EQ(this->arrivals.back()->path, "/second");
  RunFor(&this->loop, 5 * kCheckInterval);
  EXPECT_EQ(this->arrivals.back()->aborts, 0);
  this->Respond(2 + kClosed, "for second");
  RunFor(&this->loop, 5 * kCheckInterval);
  bool ended = false;
  EXPECT_NE(open.Receive(&ended).find("for open"), std::string::npos);
  EXPECT_FALSE(ended);
  const std::string responses = pipelined.Receive(&ended);
  EXPECT_NE(responses.find("for first"), std::string::npos);
  EXPECT_NE(responses.find("for second"), std::string::npos);
  EXPECT_FALSE(ended);
  EXPECT_EQ(this->server->PendingRequests(), 0U);
}

// Guards against a pipelined request that is served although its client has
// closed the connection.
TEST_F(HttpServerErrorTest, ClosedConnectionDropsAPipelinedRequest) {
  RawClient client(this->server->endpoint());
  client.SendRequest("/first");
  client.SendRequest("/second");
  ASSERT_TRUE(this->WaitForArrivals(1));
  client.Close();
  ASSERT_TRUE(this->WaitForAbort(0));
  this->ExpectGone(0);
  EXPECT_EQ(this->arrivals.size(), 1U);
}

// Guards against use after free when the callback of an abort answers another
// request that was aborted at the same time.
TEST_F(HttpServerErrorTest, CallbackMayAnswerAnotherAbortedRequest) {
  RawClient first(this->server->endpoint());
  RawClient second(this->server->endpoint());
  first.SendRequest("/1");
  second.SendRequest("/2");
  ASSERT_TRUE(this->WaitForArrivals(2));
  int aborts = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    this->arrivals[i]->responder.OnAbort([this, &aborts, i] {
      ++aborts;
      this->Respond(1 - i, "other");
      this->arrivals[1 - i].reset();
    });
  }
  first.Close();
  second.Close();
  // Both ends arrive before the next check.
  usleep(1000);
  this->server->CloseAbortedConnections();
  EXPECT_EQ(aborts, 1);
  EXPECT_EQ(this->server->PendingRequests(), 0U);
  RunFor(&this->loop, 5 * kCheckInterval);
  EXPECT_EQ(aborts, 1);
}

// Guards against a check of HTTP/2 connections, whose sockets carry the
// requests of several callers: one that ends must not end the others.
TEST_F(HttpServerErrorTest, Http2RequestsAreNotChecked) {
  const auto client = PeerClientBuilder(&this->loop).Build();
  int answers = 0;
  client->Call(
      this->server->endpoint(), {.path = "/1", .headers = {}, .body = "{}"},
      milliseconds(2000), [&](const HttpResult& result) {
        answers += std::holds_alternative<HttpResponse>(result) ? 1 : 0;
      });
  ASSERT_TRUE(this->WaitForArrivals(1));
  RunFor(&this->loop, 5 * kCheckInterval);
  EXPECT_EQ(this->arrivals[0]->aborts, 0);
  this->Respond(0, "done");
  EXPECT_TRUE(RunUntil(&this->loop, [&] { return answers == 1; }));
}

// Guards against a job that starts although its caller has sent it to another
// daemon: TCP delivers the request late, and the end of its connection is right
// behind it.
TEST(HttpResponderTest, RequestWhoseClientHasGoneIsClosed) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  std::vector<bool> closed;
  const auto server = StartServer(
      &loop, [&](const HttpRequest&, const HttpResponder& responder) {
        closed.push_back(responder.CloseIfClientHasGone());
        responder.Respond({.status = 200, .headers = {}, .body = "{}"});
      });
  RawClient gone(server->endpoint());
  gone.SendRequest("/gone");
  gone.Close();
  ASSERT_TRUE(RunUntil(&loop, [&] { return closed.size() == 1; }));
  RawClient waiting(server->endpoint());
  waiting.SendRequest("/waiting");
  ASSERT_TRUE(RunUntil(&loop, [&] { return closed.size() == 2; }));
  EXPECT_EQ(closed, (std::vector<bool>{true, false}));
  RunFor(&loop, milliseconds(20));
  EXPECT_EQ(server->PendingRequests(), 0U);
}

// Guards against a request of unknown age that counts as new: the kernel tells
// since when nothing was sent on its connection, and for how long the request
// has lain in the socket.
TEST_F(HttpServerErrorTest, TimesOfARequestAreThoseOfItsConnection) {
  // The kernel counts in ticks of at most 10 ms.
  constexpr Duration kTick = milliseconds(10);
  constexpr Duration kPause = milliseconds(200);
  RawClient client(this->server->endpoint());
  RunFor(&this->loop, kPause);
  const TimePoint sent = this->loop.Now();
  client.SendRequest("/1");
  usleep(100'000);
  ASSERT_TRUE(this->WaitForArrivals(1));
  const HttpResponder first = this->arrivals[0]->responder;
  EXPECT_LE(first.SentAfter(), sent - kPause + kTick);
  EXPECT_GE(first.ReceivedAt(), sent - kTick);
  EXPECT_LE(first.ReceivedAt(), this->loop.Now() - milliseconds(100) + kTick);
  const TimePoint answered = this->loop.Now();
  this->Respond(0, "{}");
  RunFor(&this->loop, kPause);
  client.SendRequest("/2");
  ASSERT_TRUE(this->WaitForArrivals(2));
  const HttpResponder second = this->arrivals[1]->responder;
  EXPECT_GE(second.SentAfter(), answered - kTick);
  EXPECT_LE(second.SentAfter(), this->loop.Now() - kPause + kTick);
}

// Guards against a pipelined request that counts as sent after the response
// before it.
TEST_F(HttpServerErrorTest, PipelinedRequestMayBeOld) {
  RawClient client(this->server->endpoint());
  client.SendRequest("/1");
  client.SendRequest("/2");
  ASSERT_TRUE(this->WaitForArrivals(1));
  RunFor(&this->loop, milliseconds(100));
  this->Respond(0, "{}");
  ASSERT_TRUE(this->WaitForArrivals(2));
  EXPECT_EQ(this->arrivals[1]->responder.SentAfter(), TimePoint::min());
}

}  // namespace
}  // namespace sequoiapath
