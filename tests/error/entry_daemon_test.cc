// Guards against tasks that run under two schedulers: a scheduler that keeps
// the jobs of a daemon that has left it, after the daemon's cancel was lost.

#include "sequoiapath/state/entry_daemon.h"

#include <gtest/gtest.h>

#include <optional>

#include "loop_testing.h"
#include "sequoiapath/platform/adapter.h"
#include "sequoiapath/protocol/peer_message.h"
#include "sequoiapath/transport/peer_client.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSchedulerVm = "vm-1";
constexpr const char* kPeerVm = "vm-2";
constexpr const char* kPeerOrigin = "vm-2/7";
constexpr std::uint64_t kPeerIncarnation = 7;

// A scheduling daemon without a store, and a peer daemon of which only the
// messages exist.
class EntryDaemonErrorTest : public testing::Test {
 protected:
  void SetUp() override {
    this->peer_server = StartServer(
        &this->loop,
        [this](const HttpRequest& /*request*/, const HttpResponder& responder) {
          responder.Respond({.status = 200,
                             .headers = {},
                             .body = EncodePeerMessage(this->peer_report)});
        });
    this->peer_report.vm = kPeerVm;
    this->peer_report.incarnation = kPeerIncarnation;
    this->peer_report.endpoint = this->peer_server->endpoint();
    this->peer_report.scheduler = kSchedulerVm;

    EntrySettings settings;
    settings.vm = kSchedulerVm;
    settings.data_centre = "heredia";
    settings.caller_listen = FreeEndpoint(&this->loop);
    settings.ready_listen = FreeEndpoint(&this->loop);
    settings.peer_listen = FreeEndpoint(&this->loop);
    settings.metrics_listen = FreeEndpoint(&this->loop);
    settings.store = FreeEndpoint(&this->loop);
    settings.core_share = 250;
    this->daemon_endpoint = settings.peer_listen;
    auto built = EntryDaemonBuilder(
                     &this->loop, settings,
                     {platform::MakeCallerCodec(), platform::MakeWorkerCodec(),
                      platform::MakeKeyValueCodec()})
                     .Build();
    ASSERT_FALSE(std::holds_alternative<std::string>(built))
        << std::get<std::string>(built);
    this->daemon = std::get<std::unique_ptr<EntryDaemon>>(std::move(built));
    this->client = PeerClientBuilder(&this->loop).Build();
  }

  // Returns an endpoint on which nothing listens.
  static Endpoint FreeEndpoint(EventLoop* loop) {
    return StartServer(loop, [](const HttpRequest&, const HttpResponder&) {})
        ->endpoint();
  }

  void SendReport() {
    this->client->Call(
        this->daemon_endpoint,
        {.path = "/scheduler/report",
         .headers = {},
         .body = EncodePeerMessage(this->peer_report)},
        milliseconds(400), [this](const HttpResult& result) {
          const auto* response = std::get_if<HttpResponse>(&result);
          if (response == nullptr) return;
          auto report = DecodePeerMessage<DaemonReport>(response->body);
          const auto* decoded = std::get_if<DaemonReport>(&report);
          if (decoded != nullptr) this->daemon_schedules = decoded->claim != 0;
        });
  }

  bool WaitUntilDaemonSchedules() {
    const TimePoint limit = this->loop.Now() + seconds(4);
    while (!this->daemon_schedules && this->loop.Now() < limit) {
      this->SendReport();
      RunFor(&this->loop, milliseconds(50));
    }
    return this->daemon_schedules;
  }

  // Submits a job of the peer daemon. A later generation is not subject to
  // admission, so that the job waits although no worker is known.
  void Submit() {
    StepJob job;
    job.id = "5c0e7a21d94b36f8";
    job.service = "desk";
    job.max_attempts = 1;
    job.remaining = seconds(8);
    job.generation = 1;
    JobStep step;
    step.count = 1;
    step.estimate = milliseconds(100);
    job.steps = {step};
    this->client->Call(
        this->daemon_endpoint,
        {.path = "/scheduler/submit",
         .headers = {{"x-origin", kPeerOrigin}},
         .body = EncodePeerMessage(job)},
        seconds(9), [this](const HttpResult& result) {
          const auto* response = std::get_if<HttpResponse>(&result);
          ASSERT_NE(response, nullptr);
          auto answer = DecodePeerMessage<StepJobAnswer>(response->body);
          const auto* decoded = std::get_if<StepJobAnswer>(&answer);
          ASSERT_NE(decoded, nullptr);
          this->answer = *decoded;
        });
  }

  EventLoop loop;
  DaemonReport peer_report;
  std::unique_ptr<HttpServer> peer_server;
  Endpoint daemon_endpoint;
  std::unique_ptr<EntryDaemon> daemon;
  std::unique_ptr<PeerClient> client;
  bool daemon_schedules = false;
  std::optional<StepJobAnswer> answer;
};

// Guards against two runs of a task at a time: a daemon that hears a better
// claim leaves a scheduler that it can still reach, and its cancel is lost. The
// former scheduler goes on receiving its heartbeats.
TEST_F(EntryDaemonErrorTest, JobsOfADaemonThatFollowsAnotherSchedulerStop) {
  ASSERT_TRUE(this->WaitUntilDaemonSchedules());
  this->Submit();
  RunFor(&this->loop, milliseconds(500));
  ASSERT_FALSE(this->answer);
  this->peer_report.scheduler = "vm-3";
  this->SendReport();
  ASSERT_TRUE(RunUntil(
      &this->loop, [this] { return this->answer.has_value(); }, seconds(1)));
  EXPECT_EQ(this->answer->outcome, StepJobOutcome::kMoved);
}

// Guards against stopped jobs when a daemon has lost its scheduler for a moment
// and names none, or when its version reports none.
TEST_F(EntryDaemonErrorTest, JobsOfADaemonThatNamesNoSchedulerContinue) {
  ASSERT_TRUE(this->WaitUntilDaemonSchedules());
  this->Submit();
  this->peer_report.scheduler = "";
  for (int i = 0; i < 10; ++i) {
    this->SendReport();
    RunFor(&this->loop, milliseconds(50));
  }
  EXPECT_FALSE(this->answer);
}

}  // namespace
}  // namespace sequoiapath
