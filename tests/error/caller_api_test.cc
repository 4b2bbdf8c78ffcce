// Guards the callers' interface against malformed, slow and hostile input over
// real sockets: each gets a clear answer and other connections are unaffected.

#include "sequoiapath/state/caller_api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "support/caller_kit.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using test::CallerKit;
using test::Exchange;
using test::Format;
using test::OpenRawSession;

constexpr std::size_t kBodyLimit = 100'000;

nlohmann::json BodyOf(const std::string& response) {
  const std::size_t end = response.find("\r\n\r\n");
  return nlohmann::json::parse(
      end == std::string::npos ? "" : response.substr(end + 4), nullptr, false);
}

int StatusOf(const std::string& response) {
  return response.starts_with("HTTP/1.1 ") ? std::stoi(response.substr(9)) : 0;
}

// Expects a failed JSON answer with a status and a reason.
void ExpectRefused(const std::string& response, int status,
                   const std::string& reason) {
  EXPECT_EQ(StatusOf(response), status) << response;
  const auto body = BodyOf(response);
  ASSERT_TRUE(body.is_object()) << response;
  EXPECT_EQ(body.value("reason", ""), reason);
  EXPECT_EQ(body.value("verdict", ""), "not_run");
  EXPECT_FALSE(body.value("request_id", "").empty());
  EXPECT_FALSE(body.value("detail", "").empty());
}

TEST(CallerApiTest, RefusesUnknownPathsMethodsAndTypes) {
  CallerKit kit(kBodyLimit);
  const auto send = [&](const std::string& text) {
    return Exchange(&kit, text);
  };
  ExpectRefused(send(Format("GET", "/nothing", "")), 404, "invalid_request");
  ExpectRefused(send(Format("GET", "/v1/sessions", "")), 405,
                "invalid_request");
  ExpectRefused(send(Format("BREW", "/v1/jobs", "")), 405, "invalid_request");
  ExpectRefused(send(Format("POST", "/v1/ready", "")), 405, "invalid_request");
  ExpectRefused(send(Format("POST", "/v1/jobs", "{}")), 409,
                "session_required");
  ExpectRefused(send(Format("POST", "/v1/sessions", "<team/>",
                            "content-type: text/xml\r\n")),
                415, "invalid_request");
  const std::string head = send(Format("HEAD", "/v1/ready", ""));
  EXPECT_EQ(StatusOf(head), 200);
  EXPECT_TRUE(head.ends_with("\r\n\r\n")) << head;
}

TEST(CallerApiTest, RefusesMalformedSubmissions) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  int sequence = 1;
  const auto submit = [&](const std::string& body) {
    return Exchange(&kit,
                    Format("PUT", jobs + std::to_string(sequence++), body));
  };
  for (const char* body :
       {"", "{", "[]", "{\"service\":1}", R"({"service":"check"})",
        R"({"service":"check","tasks":[]})",
        R"({"service":"check","tasks":[1],"deadline_ms":-1})",
        R"({"service":"check","tasks":[1],"deadline_ms":1e30})",
        R"({"service":"check","tasks":[1],"extra":1})",
        R"({"service":"check","tasks":["\ud800"]})", "\xff\xfe"}) {
    ExpectRefused(submit(body), 400, "invalid_request");
  }
  ExpectRefused(submit(R"({"service":"other","tasks":[1]})"), 422,
                "unknown_service");
  ExpectRefused(
      submit(R"({"service":"check","tasks":[1],"demand":{"cores":999}})"), 422,
      "never_fits");
  // Encoding such a payload again would overflow the stack.
  ExpectRefused(
      submit(R"({"service":"check","tasks":[)" + std::string(40'000, '[') +
             std::string(40'000, ']') + "]}"),
      400, "invalid_request");
}

TEST(CallerApiTest, RefusesSequenceNumbersOutOfRange) {
  CallerKit kit(kBodyLimit);
  const std::string session = OpenRawSession(&kit);
  for (const char* number :
       {"0", "-1", "1x", "", "9007199254740992", "18446744073709551616"}) {
    ExpectRefused(
        Exchange(&kit, Format("PUT", session + "/jobs/" + number, "{}")), 400,
        "invalid_request");
  }
  ExpectRefused(Exchange(&kit, Format("PUT", "/v1/sessions/x/jobs/1", "{}")),
                400, "invalid_request");
}

TEST(CallerApiTest, RefusesOversizedBodies) {
  CallerKit kit(kBodyLimit);
  const std::string large(kBodyLimit + 1, ' ');
  EXPECT_EQ(StatusOf(Exchange(&kit, Format("POST", "/v1/sessions", large))),
            413);
}

// A bad connection must not delay or break the others.
TEST(CallerApiTest, BadConnectionsDoNotAffectOthers) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  const std::string body = R"({"service":"check","tasks":[1]})";
  const std::string whole = Format("PUT", jobs + "1", body);
  std::vector<int> open;
  const auto send_open = [&](const std::string& text) {
    open.push_back(test::ConnectRaw(kit.endpoint()));
    test::WriteRaw(open.back(), text);
  };
  send_open("");                                 // Never sends.
  send_open("PUT /v1/ses");                      // Truncated head.
  send_open(whole.substr(0, whole.size() - 5));  // Truncated body.
  send_open(std::string(3000, 'x'));             // No HTTP at all.
  send_open(whole.substr(0, whole.size() - 5));
  shutdown(open.back(), SHUT_WR);  // Half-closed too early.
  send_open(Format("PUT", jobs + "2", body, "transfer-encoding: chunked\r\n"));
  test::RunFor(&kit.loop, milliseconds(50));
  for (int sequence = 10; sequence < 20; ++sequence) {
    const TimePoint begin = kit.loop.Now();
    EXPECT_EQ(StatusOf(Exchange(
                  &kit, Format("PUT", jobs + std::to_string(sequence), body))),
              200);
    EXPECT_LT(kit.loop.Now() - begin, milliseconds(500));
  }
  for (const int fd : open) close(fd);
  test::RunFor(&kit.loop, milliseconds(50));
  // Neither truncated submission was started.
  EXPECT_EQ(StatusOf(Exchange(&kit, whole)), 200);
  EXPECT_EQ(kit.tasks, 11);
}

// Pipelined and half-closed requests are complete and must be answered in
// order.
TEST(CallerApiTest, AnswersPipelinedRequestsInOrder) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  const std::string responses = Exchange(
      &kit,
      Format("PUT", jobs + "1", R"({"service":"check","tasks":["first"]})") +
          Format("PUT", jobs + "1", R"({"service":"check","tasks":["no"]})") +
          Format("PUT", jobs + "2", R"({"service":"check","tasks":["last"]})"),
      /*answers=*/3);
  const std::size_t first = responses.find(R"(["first"])");
  const std::size_t again = responses.find(R"(["first"])", first + 1);
  const std::size_t last = responses.find(R"(["last"])");
  ASSERT_NE(last, std::string::npos) << responses;
  EXPECT_LT(first, again);
  EXPECT_LT(again, last);
  EXPECT_EQ(responses.find(R"(["no"])"), std::string::npos);
  EXPECT_EQ(kit.tasks, 2);
}

// A request that arrives byte by byte is complete in the end.
TEST(CallerApiTest, AnswersSlowRequest) {
  CallerKit kit(kBodyLimit);
  const std::string request =
      Format("POST", "/v1/sessions", R"({"team":"clerks"})");
  const int fd = test::ConnectRaw(kit.endpoint());
  for (const char c : request) {
    test::WriteRaw(fd, std::string(1, c));
    test::RunFor(&kit.loop, milliseconds(1));
  }
  char buffer[1024];
  ssize_t count = 0;
  ASSERT_TRUE(test::RunUntil(&kit.loop, [&] {
    return (count = recv(fd, buffer, sizeof(buffer), 0)) > 0;
  }));
  close(fd);
  EXPECT_EQ(StatusOf(std::string(buffer, static_cast<std::size_t>(count))),
            201);
}

// A caller that closes its writing side still waits for its answer.
TEST(CallerApiTest, AnswersHalfClosedRequest) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  const std::string response = Exchange(
      &kit, Format("PUT", jobs + "1", R"({"service":"check","tasks":[1]})"),
      /*answers=*/1, /*half_close=*/true);
  EXPECT_EQ(StatusOf(response), 200);
}

// A stopping daemon must not use up numbers that its successor may start.
TEST(CallerApiTest, StoppingRefusesNewNumbersAndServesOldOnes) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  const std::string body = R"({"service":"check","tasks":[1]})";
  const std::string answer = Exchange(&kit, Format("PUT", jobs + "1", body));
  kit.api.BeginStop();
  ExpectRefused(Exchange(&kit, Format("PUT", jobs + "2", body)), 503,
                "stopping");
  EXPECT_EQ(BodyOf(Exchange(&kit, Format("PUT", jobs + "1", body))),
            BodyOf(answer));
  CallerKit successor(kBodyLimit, /*incarnation=*/2);
  EXPECT_EQ(BodyOf(Exchange(&successor, Format("PUT", jobs + "1", body)))
                .value("reason", ""),
            "owner_lost");
  ASSERT_EQ(successor.api.ImportSessions(kit.api.ExportSessions()), 1U);
  EXPECT_EQ(BodyOf(Exchange(&successor, Format("PUT", jobs + "1", body))),
            BodyOf(answer));
  EXPECT_EQ(StatusOf(Exchange(&successor, Format("PUT", jobs + "2", body))),
            200);
  EXPECT_EQ(kit.tasks + successor.tasks, 2);
}

}  // namespace
}  // namespace sequoiapath
