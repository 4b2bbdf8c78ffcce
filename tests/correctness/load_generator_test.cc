// Tests the load generator: the schedule of jobs, the validation of the answers
// and the measurement of response times.

#include "load_generator.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace {

LoadPlan SmallPlan() {
  LoadPlan plan;
  plan.service = "label-check";
  plan.team = "depot-clerks";
  plan.jobs_per_second = 100;
  plan.tasks_per_job = 3;
  plan.sessions = 2;
  plan.duration = std::chrono::seconds(1);
  return plan;
}

// A fake daemon that echoes the tasks and lets the test alter each answer.
struct FakeDaemon {
  explicit FakeDaemon(EventLoop* loop) {
    auto built = HttpServerBuilder(loop)
                     .Listen({"127.0.0.1", 0})
                     .Handler([this](const HttpRequest& request,
                                     const HttpResponder& responder) {
                       this->Answer(request, responder);
                     })
                     .Build();
    this->server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
  }

  void Answer(const HttpRequest& request, const HttpResponder& responder) {
    if (request.path == "/v1/sessions") {
      responder.Respond({201, {}, R"({"session":"s"})"});
      return;
    }
    ++this->jobs;
    auto results = nlohmann::json::parse(request.body)["tasks"];
    if (this->alter) this->alter(&results);
    responder.Respond(
        {200,
         {},
         nlohmann::json{
             {"outcome", "complete"}, {"request_id", "r"}, {"results", results}}
             .dump()});
  }

  std::unique_ptr<HttpServer> server;
  std::function<void(nlohmann::json*)> alter;
  int jobs = 0;
};

// Runs with the same seed must be reproducible.
TEST(LoadPlanTest, SameSeedGivesTheSameJobs) {
  LoadSchedule first(SmallPlan(), 3);
  LoadSchedule second(SmallPlan(), 3);
  int jobs = 0;
  while (const auto job = NextJob(&first)) {
    const auto same = NextJob(&second);
    ASSERT_TRUE(same.has_value());
    EXPECT_EQ(EncodePlannedJob(first.plan, *job),
              EncodePlannedJob(second.plan, *same));
    EXPECT_EQ(job->endpoint, same->endpoint);
    ++jobs;
  }
  EXPECT_NEAR(jobs, 100, 40);
}

TEST(LoadPlanTest, RunTimesFollowTheDistribution) {
  LoadPlan plan = SmallPlan();
  plan.tasks_per_job = 100'000;
  LoadSchedule schedule(plan, 1);
  const auto job = NextJob(&schedule);
  ASSERT_TRUE(job.has_value());
  int long_tasks = 0;
  for (const auto run_time : job->run_times) {
    if (run_time.count() == 5000) {
      ++long_tasks;
      continue;
    }
    EXPECT_GE(run_time.count(), 50);
    EXPECT_LE(run_time.count(), 1000);
  }
  EXPECT_NEAR(long_tasks, 2000, 300);
}

TEST(LoadPlanTest, SkewPrefersTheFirstEndpoint) {
  LoadPlan plan = SmallPlan();
  plan.skew = 2;
  plan.jobs_per_second = 10'000;
  plan.tasks_per_job = 1;
  LoadSchedule schedule(plan, 2);
  int first = 0;
  int all = 0;
  while (const auto job = NextJob(&schedule)) {
    ++all;
    if (job->endpoint == 0) ++first;
  }
  EXPECT_NEAR(static_cast<double>(first) / all, 0.8, 0.03);
}

TEST(LoadGeneratorTest, CountsOwnResultsAsComplete) {
  EventLoop loop;
  const FakeDaemon daemon(&loop);
  LoadGenerator generator(&loop, SmallPlan(), {daemon.server->endpoint()});
  ASSERT_TRUE(generator.OpenSessions().empty());
  const LoadReport& report = generator.Run();
  EXPECT_GT(report.planned, 0u);
  EXPECT_EQ(report.complete, report.planned);
  EXPECT_EQ(report.tasks_done, report.planned * 3);
}

// An answer with reordered, missing, duplicated or additional results must not
// be counted as complete (guarantee G3 in docs/design.md).
TEST(LoadGeneratorTest, CountsOtherResultsAsWrong) {
  const std::vector<std::function<void(nlohmann::json*)>> alterations{
      [](nlohmann::json* results) { std::swap((*results)[0], (*results)[1]); },
      [](nlohmann::json* results) { results->erase(0); },
      [](nlohmann::json* results) { (*results)[2] = (*results)[1]; },
      [](nlohmann::json* results) { results->push_back(1); }};
  for (const auto& alteration : alterations) {
    EventLoop loop;
    FakeDaemon daemon(&loop);
    daemon.alter = alteration;
    LoadPlan plan = SmallPlan();
    plan.jobs_per_second = 20;
    LoadGenerator generator(&loop, plan, {daemon.server->endpoint()});
    ASSERT_TRUE(generator.OpenSessions().empty());
    const LoadReport& report = generator.Run();
    EXPECT_EQ(report.complete, 0u);
    EXPECT_EQ(report.wrong, report.planned);
  }
}

// Guards against coordinated omission: if response times counted from the
// actual send time, a stall would affect only the job that was sent during it.
TEST(LoadGeneratorTest, ResponseTimeCountsFromThePlannedSendTime) {
  EventLoop loop;
  FakeDaemon daemon(&loop);
  daemon.alter = [&daemon](nlohmann::json* /*results*/) {
    if (daemon.jobs == 10) {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
  };
  LoadGenerator generator(&loop, SmallPlan(), {daemon.server->endpoint()});
  ASSERT_TRUE(generator.OpenSessions().empty());
  generator.Run();
  // About 40 of the 100 jobs are planned during the stall of 400 ms.
  EXPECT_GT(Percentile(&generator.report()->response_ms, 85), 100);
}

// A daemon that does not answer must not make the generator open connections
// without limit.
TEST(LoadGeneratorTest, JobsInFlightAreBounded) {
  EventLoop loop;
  auto built =
      HttpServerBuilder(&loop)
          .Listen({"127.0.0.1", 0})
          .Handler([&loop](const HttpRequest& request,
                           const HttpResponder& responder) {
            const bool opens = request.path == "/v1/sessions";
            loop.Schedule(std::chrono::milliseconds(opens ? 0 : 1500),
                          [opens, responder] {
                            responder.Respond(
                                {opens ? 201 : 503, {}, R"({"session":"s"})"});
                          });
          })
          .Build();
  const auto& server = std::get<std::unique_ptr<HttpServer>>(built);
  LoadPlan plan = SmallPlan();
  plan.max_in_flight = 5;
  LoadGenerator generator(&loop, plan, {server->endpoint()});
  ASSERT_TRUE(generator.OpenSessions().empty());
  const LoadReport& report = generator.Run();
  EXPECT_EQ(report.failed, 5u);
  EXPECT_EQ(report.not_sent, report.planned - 5);
}

// A long run must not use unbounded memory, and sampling must keep percentiles
// accurate.
TEST(SampleSetTest, MemoryIsBoundedAndPercentilesStayClose) {
  SampleSet set;
  set.limit = 10'000;
  for (int i = 1; i <= 1'000'000; ++i) AddSample(&set, i);
  EXPECT_EQ(set.values.size(), 10'000u);
  EXPECT_EQ(set.greatest, 1'000'000);
  EXPECT_NEAR(Percentile(&set, 50), 500'000, 20'000);
}

}  // namespace
}  // namespace sequoiapath
