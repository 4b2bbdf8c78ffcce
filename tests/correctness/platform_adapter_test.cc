// Guards the adapter to the users' platform. It must decode and encode each
// message as the platform's documentation specifies, and reject malformed ones.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "sequoiapath/platform/adapter.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr const char* kSettings = R"(
nodeName = "edge-sanjose-1"
ip = "10.1.0.13"
zone = "sanjose"
portRange = [7720,7735]
seeds = ["10.1.0.13:8166","10.2.0.30:8166"]
newField = "ignored"
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
control = "10.1.0.13:8166"
[limits]
cpuShare = 0.25
cores = 1
[bounds]
graceS = 6
holdMaxMs = 1000
[platform]
address = "10.200.1.7:8169"
)";

Route MakeRoute() {
  Route route;
  route.prefix = "/lohu930/";
  route.service = "huvo11a";
  route.priority = 1;
  route.max_attempts = 3;
  route.stretch = 1.6;
  route.slack = milliseconds(60);
  return route;
}

HttpRequest Post(const std::string& body,
                 const std::string& path = "/lohu930/5c0e7a21d94b36f8") {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  return request;
}

HttpResult Reply(int status, const std::string& body) {
  return HttpResponse{status, {}, body};
}

TEST(PlatformSettingsTest, ReadsTheSettingsFile) {
  const auto result = platform::ReadSettings(kSettings);
  const auto* settings = std::get_if<EntrySettings>(&result);
  ASSERT_NE(settings, nullptr) << std::get<std::string>(result);
  EXPECT_EQ(settings->vm, "edge-sanjose-1");
  EXPECT_EQ(settings->data_centre, "sanjose");
  EXPECT_EQ(settings->peer_listen.port, 8166);
  EXPECT_EQ(settings->metrics_listen, (Endpoint{"10.1.0.13", 7720}));
  EXPECT_EQ(settings->seeds.size(), 2U);
  EXPECT_EQ(settings->stop_grace, milliseconds(6000));
  EXPECT_EQ(settings->core_share, 250U);
}

TEST(PlatformSettingsTest, ReportsEveryMissingOrInvalidKey) {
  const auto result = platform::ReadSettings("zone = 5\nseeds = [1]\n");
  const auto* errors = std::get_if<std::string>(&result);
  ASSERT_NE(errors, nullptr);
  for (const char* key : {"nodeName", "zone", "listen.front", "listen.ready",
                          "platform.address", "seeds", "bounds.graceS"}) {
    EXPECT_NE(errors->find(key), std::string::npos) << key;
  }
  EXPECT_TRUE(std::holds_alternative<std::string>(
      platform::ReadSettings("zone = \"unterminated")));
}

TEST(PlatformCallersTest, DecodesAJob) {
  const auto result = platform::MakeCallerCodec().decode_submission(
      Post(R"({"spec":"text","bestEffort":true,"steps":[)"
           R"({"count":4,"cpu":500,"memMb":256,"estMs":900,)"
           R"("affinity":"r1-3","antiAffinity":2,"requires":"a"},)"
           R"({"count":2,"cpu":2000,"after":[0]}]})"),
      MakeRoute());
  const auto* job = std::get_if<StepJob>(&result);
  ASSERT_NE(job, nullptr) << std::get<SubmissionError>(result).message;
  EXPECT_EQ(job->id, "5c0e7a21d94b36f8");
  EXPECT_EQ(job->service, "huvo11a");
  ASSERT_EQ(job->steps.size(), 2U);
  EXPECT_EQ(job->steps[0].demand, (Resources{500, 256, 0}));
  EXPECT_EQ(job->steps[0].estimate, milliseconds(900));
  EXPECT_EQ(job->steps[0].preferred_rack, "r1-3");
  EXPECT_EQ(job->steps[0].required_label, "a");
  EXPECT_EQ(job->steps[0].max_per_worker, 2U);
  EXPECT_EQ(job->steps[1].after, std::vector<std::uint32_t>{0});
}

TEST(PlatformCallersTest, RejectsMalformedJobs) {
  const CallerCodec codec = platform::MakeCallerCodec();
  for (const char* body :
       {"", "[]", "{\"bestEffort\":true}", R"({"bestEffort":true,"steps":[]})",
        R"({"bestEffort":true,"steps":[{"cpu":5}]})",
        R"({"bestEffort":true,"steps":[{"count":1,"after":[0]}]})"}) {
    const auto result = codec.decode_submission(Post(body), MakeRoute());
    const auto* error = std::get_if<SubmissionError>(&result);
    ASSERT_NE(error, nullptr) << body;
    EXPECT_TRUE(error->malformed) << body;
  }
  EXPECT_TRUE(std::holds_alternative<SubmissionError>(codec.decode_submission(
      Post(R"({"bestEffort":true,"steps":[{"count":1}]})", "/lohu930/xyz"),
      MakeRoute())));
}

// Guards against jobs that run without a feature they request: a job that uses
// an unsupported feature must be rejected as not run.
TEST(PlatformCallersTest, RejectsUnsupportedFeatures) {
  const CallerCodec codec = platform::MakeCallerCodec();
  for (const char* body :
       {R"({"steps":[{"count":1}]})",
        R"({"bestEffort":true,"longRunning":true,"steps":[{"count":1}]})",
        R"({"bestEffort":true,"repeats":2,"steps":[{"count":1}]})",
        R"({"bestEffort":true,"steps":[{"count":1,"gang":true}]})"}) {
    const auto result = codec.decode_submission(Post(body), MakeRoute());
    const auto* error = std::get_if<SubmissionError>(&result);
    ASSERT_NE(error, nullptr) << body;
    EXPECT_FALSE(error->malformed) << body;
  }
}

TEST(PlatformCallersTest, AnswersStateWhetherTheJobRan) {
  const CallerCodec codec = platform::MakeCallerCodec();
  const auto encode = [&codec](StepJobOutcome outcome) {
    return codec.encode_answer({outcome, "why", milliseconds(2500)});
  };
  EXPECT_EQ(encode(StepJobOutcome::kCompleted).body,
            R"({"state":"completed"})");
  EXPECT_EQ(encode(StepJobOutcome::kFailed).body, R"({"state":"failed"})");
  const HttpResponse refused = encode(StepJobOutcome::kRefused);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(FindHeader(refused.headers, "retry-after"), "3");
  EXPECT_EQ(encode(StepJobOutcome::kExpired).status, 504);
}

TEST(PlatformWorkersTest, EncodesOrders) {
  const WorkerCodec codec = platform::MakeWorkerCodec();
  StartOrder start{{"5c0e7a21d94b36f8", 1, 17}, 2, "text",
                   WorkerTime(486'000),         7, "i-1"};
  const HttpRequest request = codec.encode_start(start);
  EXPECT_EQ(request.path, "/api/run-start");
  EXPECT_EQ(FindHeader(request.headers, "x-expect-instance"), "i-1");
  const auto body = nlohmann::json::parse(request.body);
  EXPECT_EQ(body["task"], "5c0e7a21d94b36f8.0.1.17");
  EXPECT_EQ(body["run"], 2);
  EXPECT_EQ(body["deadlineMs"], 486'000);
  EXPECT_EQ(body["fence"], 7);
  const auto hold = nlohmann::json::parse(
      codec.encode_renew({1, WorkerTime(5), 7, 57, milliseconds(300), "i-1"})
          .body);
  EXPECT_EQ(hold["lastSeen"], 57);
  EXPECT_EQ(hold["waitMs"], 300);
}

TEST(PlatformWorkersTest, DecodesReports) {
  const auto reply = platform::MakeWorkerCodec().decode_renew_reply(
      Reply(200, R"({"clockMs":482113,"born":9,"running":)"
                 R"([["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,3.5]],"ended":)"
                 R"([[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
  const auto* report = std::get_if<WorkerReport>(&reply);
  ASSERT_NE(report, nullptr);
  EXPECT_EQ(report->clock, WorkerTime(482'113));
  EXPECT_EQ(report->started_at_ms, 9);
  ASSERT_EQ(report->running.size(), 1U);
  EXPECT_EQ(report->running[0].task, (TaskName{"5c0e7a21d94b36f8", 1, 17}));
  ASSERT_EQ(report->ended.size(), 1U);
  EXPECT_EQ(report->ended[0].number, 58U);
  EXPECT_EQ(report->ended[0].outcome, RunOutcome::kDone);
}

// Guards against running tasks that the scheduler overlooks: a report with a
// row that cannot be decoded must be rejected as a whole.
TEST(PlatformWorkersTest, RejectsReportsWithMalformedRows) {
  const WorkerCodec codec = platform::MakeWorkerCodec();
  for (const char* body :
       {"{}", R"({"clockMs":1,"running":[["odd",1]],"ended":[]})",
        R"({"clockMs":1,"running":[],"ended":[[1,"a.0.0.0"]]})"}) {
    const auto reply = codec.decode_renew_reply(Reply(200, body));
    const auto* rejection = std::get_if<OrderRejection>(&reply);
    ASSERT_NE(rejection, nullptr) << body;
    EXPECT_EQ(*rejection, OrderRejection::kInvalid);
  }
}

TEST(PlatformWorkersTest, DecodesRejections) {
  const WorkerCodec codec = platform::MakeWorkerCodec();
  const auto rejection = [&codec](int status, const char* body) {
    return std::get<OrderRejection>(
        codec.decode_order_reply(Reply(status, body)));
  };
  EXPECT_EQ(rejection(409, R"({"reason":"fence"})"),
            OrderRejection::kStaleFence);
  EXPECT_EQ(rejection(409, R"({"reason":"old"})"), OrderRejection::kOldRun);
  EXPECT_EQ(rejection(409, R"({"reason":"late"})"),
            OrderRejection::kLeaseExpired);
  EXPECT_EQ(rejection(409, R"({"reason":"room"})"),
            OrderRejection::kNoCapacity);
  EXPECT_EQ(rejection(421, ""), OrderRejection::kOtherWorker);
  EXPECT_EQ(rejection(503, ""), OrderRejection::kUnhealthy);
  EXPECT_EQ(rejection(400, ""), OrderRejection::kInvalid);
  const auto unanswered = codec.decode_order_reply(
      HttpError{HttpErrorKind::kConnectFailed, false, ""});
  EXPECT_FALSE(std::get<OrderUnanswered>(unanswered).may_have_been_sent);
}

TEST(PlatformStoreTest, EncodesAndDecodesItems) {
  const KeyValueCodec codec = platform::MakeKeyValueCodec();
  const HttpRequest put = codec.encode_put({"k/1", "node-1"}, 77);
  const auto body = nlohmann::json::parse(put.body);
  EXPECT_EQ(body["setKeys"][0]["value"], "bm9kZS0x");
  const auto page = codec.decode_page(Reply(
      200, R"({"events":[{"key":"k/1","value":"bm9kZS0x","rev":412},)"
           R"({"key":"k/2","rev":413,"removed":true}],"storeRevision":413})"));
  const auto& decoded = std::get<KeyValuePage>(page);
  ASSERT_EQ(decoded.items.size(), 1U);
  EXPECT_EQ(decoded.items[0].value, "node-1");
  EXPECT_EQ(decoded.removed, std::vector<std::string>{"k/2"});
  EXPECT_EQ(decoded.revision, 413U);
}

TEST(PlatformStoreTest, DecodesFailures) {
  const KeyValueCodec codec = platform::MakeKeyValueCodec();
  const auto failure = [&codec](int status) {
    return std::get<KeyValueFailure>(codec.decode_page(Reply(status, "{}")));
  };
  EXPECT_EQ(failure(410), KeyValueFailure::kRevisionCompacted);
  EXPECT_EQ(failure(404), KeyValueFailure::kNotFound);
  EXPECT_EQ(failure(429), KeyValueFailure::kUnavailable);
  EXPECT_EQ(failure(503), KeyValueFailure::kUnavailable);
  EXPECT_EQ(failure(200), KeyValueFailure::kMalformed);
}

TEST(RouteTableTest, SelectsTheLongestPrefixOfTheHost) {
  RouteTable table;
  table.version = 1;
  for (const char* prefix : {"/a/", "/a/b/"}) {
    Route route;
    route.name = prefix;
    route.host = "nony24.example";
    route.prefix = prefix;
    table.routes.push_back(route);
  }
  EXPECT_EQ(FindRoute(table, "nony24.example:80", "/a/b/c")->name, "/a/b/");
  EXPECT_EQ(FindRoute(table, "nony24.example", "/a/c")->name, "/a/");
  EXPECT_EQ(FindRoute(table, "other.example", "/a/c"), nullptr);
}

}  // namespace
}  // namespace sequoiapath
