// Guards the JSON encoding of submissions and answers.

#include "sequoiapath/protocol/job.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

TEST(JobTest, RequestRoundTrips) {
  JobRequest request;
  request.service = "label-check";
  request.payloads = {R"({"label":1})", "2"};
  request.deadline = std::chrono::milliseconds(1500);
  request.priority = Priority::kUrgent;
  request.demand = {.cores = 2, .memory_mb = 512, .accelerators = 1};
  request.places = {"heredia"};
  const auto decoded = DecodeJobRequest(EncodeJobRequest(request));
  ASSERT_EQ(GetFailure(decoded), nullptr);
  const auto& copy = std::get<JobRequest>(decoded);
  EXPECT_EQ(copy.service, request.service);
  EXPECT_EQ(copy.payloads, request.payloads);
  EXPECT_EQ(copy.deadline, request.deadline);
  EXPECT_EQ(copy.priority, request.priority);
  EXPECT_EQ(copy.demand, request.demand);
  EXPECT_EQ(copy.places, request.places);
}

// Guards against partial answers: a failed answer must not contain results
// (guarantee G2 in docs/design.md).
TEST(JobTest, FailedAnswerCarriesNoResults) {
  const JobAnswer answer{
      "r1", Failure{Verdict::kMayHaveRun, Reason::kWorkerSilent,
                    RetryAdvice::kNever, std::chrono::milliseconds(5), "x"}};
  const std::string body = EncodeJobAnswer(answer);
  EXPECT_EQ(body.find("results"), std::string::npos);
  const auto decoded = DecodeJobAnswer(body);
  ASSERT_EQ(GetFailure(decoded), nullptr);
  const auto& failure = std::get<Failure>(std::get<JobAnswer>(decoded).outcome);
  EXPECT_EQ(failure.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(failure.retry_after, std::chrono::milliseconds(5));
}

// Guards against stack overflow: encoding a payload recurses once per nesting
// level, and a body of 2 MB crashed the process.
TEST(JobTest, DeeplyNestedBodyIsRejected) {
  constexpr std::size_t kLevels = 1'000'000;
  const auto decoded = DecodeJobRequest(R"({"service":"a","tasks":[)" +
                                        std::string(kLevels, '[') +
                                        std::string(kLevels, ']') + "]}");
  ASSERT_NE(GetFailure(decoded), nullptr);
  EXPECT_EQ(GetFailure(decoded)->reason, Reason::kInvalidRequest);
  const auto brackets = DecodeJobRequest(R"({"service":"a","tasks":["\"[)" +
                                         std::string(kLevels, '[') + "\"]}");
  EXPECT_EQ(GetFailure(brackets), nullptr) << "brackets inside a string";
}

}  // namespace
}  // namespace sequoiapath
