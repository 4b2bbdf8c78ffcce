// Guards response bodies that are sent in chunks: the client receives each
// chunk before the body ends, and cancelling a stream closes its connection.

#include <gtest/gtest.h>

#include <csignal>
#include <optional>

#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace {

class HttpStreamTest : public testing::Test {
 protected:
  HttpStreamTest() {
    // Makes a write to a closed connection return an error, as in the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    auto built = HttpServerBuilder(&this->loop)
                     .Listen({"127.0.0.1", 0})
                     .Handler([this](const HttpRequest& request,
                                     const HttpResponder& responder) {
                       const int status =
                           request.path == "/missing" ? 404 : 200;
                       this->stream = responder.StartStream({status, {}, ""});
                       responder.OnAbort([this] { this->aborted = true; });
                     })
                     .Build();
    this->server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
    this->client =
        HttpClientBuilder(&this->loop, this->server->endpoint()).Build();
  }

  void Get(const std::string& path) {
    this->id = this->client->SendStreaming(
        {"GET", path, {}, "", ""}, std::chrono::seconds(5),
        [this](std::string_view chunk) {
          this->received += chunk;
          if (this->cancel_in_chunk) this->client->Cancel(this->id);
        },
        [this](HttpResult r) { this->result = std::move(r); });
    this->RunUntil([this] { return this->stream.has_value(); });
  }

  template <typename Done>
  bool RunUntil(Done done) {
    const TimePoint end = this->loop.Now() + std::chrono::seconds(3);
    while (!done() && this->loop.Now() < end) {
      this->loop.RunOnce(std::chrono::milliseconds(10));
    }
    return done();
  }

  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  std::optional<HttpBodyStream> stream;
  std::optional<HttpResult> result;
  std::string received;
  HttpRequestId id = 0;
  bool aborted = false;
  bool cancel_in_chunk = false;
};

TEST_F(HttpStreamTest, ChunksArriveBeforeTheEnd) {
  this->Get("/");
  this->stream->Write("one\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "one\n"; }));
  EXPECT_FALSE(this->result.has_value());
  const std::string large(3 << 20, 'x');
  this->stream->Write("two");
  this->stream->Write(large);
  this->stream->Finish();
  ASSERT_TRUE(this->RunUntil([this] { return this->result.has_value(); }));
  EXPECT_EQ(this->received, "one\ntwo" + large);
  EXPECT_EQ(std::get<HttpResponse>(*this->result).status, 200);
  // The response is complete, so the connection is kept for the next request.
  EXPECT_EQ(this->client->IdleConnections(), 1U);
  EXPECT_EQ(this->server->PendingRequests(), 0U);
}

TEST_F(HttpStreamTest, CancelInsideAChunkEndsTheRequestOnce) {
  this->cancel_in_chunk = true;
  this->Get("/");
  this->stream->Write("one");
  ASSERT_TRUE(this->RunUntil([this] { return this->result.has_value(); }));
  EXPECT_EQ(std::get<HttpError>(*this->result).kind, HttpErrorKind::kCancelled);
  EXPECT_EQ(this->client->BusyConnections(), 0U);
  // The server detects the closed connection when it writes.
  EXPECT_TRUE(this->RunUntil([this] {
    this->stream->Write("more");
    return this->aborted;
  }));
  EXPECT_FALSE(this->stream->IsOpen());
}

TEST_F(HttpStreamTest, BodyOfAFailureIsCollected) {
  this->Get("/missing");
  this->stream->Write("no such");
  this->stream->Finish();
  ASSERT_TRUE(this->RunUntil([this] { return this->result.has_value(); }));
  EXPECT_EQ(std::get<HttpResponse>(*this->result).body, "no such");
  EXPECT_EQ(this->received, "");
}

}  // namespace
}  // namespace sequoiapath
