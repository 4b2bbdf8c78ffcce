// Guards against requests whose client has gone unnoticed: its job would go on,
// and run beside the copy that the client sends to another daemon.

#include "sequoiapath/transport/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "loop_testing.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(20);
constexpr Duration kNoticeLimit = milliseconds(100);

// A client's socket, whose bytes and end the test controls.
class RawClient {
 public:
  explicit RawClient(const Endpoint& endpoint)
      : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(connect(this->fd, generic, sizeof(address)), 0);
  }
  ~RawClient() { this->Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void SendRequest(const std::string& path) const {
    const std::string text = "POST " + path +
                             " HTTP/1.1\r\nhost: desk.example\r\n"
                             "content-length: 2\r\n\r\n{}";
    EXPECT_EQ(send(this->fd, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }

  void Close() {
    if (this->fd >= 0) close(std::exchange(this->fd, -1));
  }

  // Closes the connection with a reset.
  void Reset() {
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    this->Close();
  }

  // Ends the sending direction only.
  void Shutdown() const { shutdown(this->fd, SHUT_WR); }

  // Returns the bytes received so far. Sets `ended` to whether the server has
  // closed the connection.
  std::string Receive(bool* ended) const {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = recv(this->fd, buffer.data(), buffer.size(),
                         MSG_DONTWAIT)) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    *ended = count == 0 || errno == ECONNRESET;
    return text;
  }

 private:
  int fd;
};

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

}  // namespace
}  // namespace sequoiapath
