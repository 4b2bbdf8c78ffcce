// Guards the caller API against malformed, slow and hostile input over real
// sockets: each such request gets a definite answer, and other connections are
// not affected.

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

// Expects a failed JSON answer with this status and reason and verdict not_run.
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

// Guards against a wrong status or an answer without a reason for requests that
// match no resource, method or content type.
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

// Guards against malformed submissions that start a job or end the process.
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
  // Encoding such a payload recurses once per level and would overflow the
  // stack.
  ExpectRefused(
      submit(R"({"service":"check","tasks":[)" + std::string(40'000, '[') +
             std::string(40'000, ']') + "]}"),
      400, "invalid_request");
}

// Guards against error messages that serialize or repeat a value as large as
// the request.
TEST(CallerApiTest, ErrorMessagesShortenLargeValues) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  const std::string large(50'000, 'x');
  int sequence = 1;
  const auto detail_for = [&](const std::string& service) {
    const std::string response =
        Exchange(&kit, Format("PUT", jobs + std::to_string(sequence++),
                              R"({"service":)" + service + R"(,"tasks":[1]})"));
    ExpectRefused(response, 400, "invalid_request");
    return BodyOf(response).value("detail", "");
  };
  EXPECT_EQ(detail_for(R"([")" + large + R"("])"),
            "service: expected a string, found an array");
  EXPECT_EQ(detail_for(R"({"a":")" + large + R"("})"),
            "service: expected a string, found an object");
  EXPECT_EQ(detail_for("17"), "service: expected a string, found 17");
  EXPECT_EQ(detail_for("true"), "service: expected a string, found true");
  // The limit of 64 bytes splits the last two-byte character.
  std::string characters = "y";
  for (int i = 0; i < 20'000; ++i) characters += "\u00e9";
  const std::string response =
      Exchange(&kit, Format("PUT", jobs + std::to_string(sequence++),
                            R"({"service":"check","tasks":[1],"priority":")" +
                                characters + R"("})"));
  ExpectRefused(response, 400, "invalid_request");
  const std::string detail = BodyOf(response).value("detail", "");
  EXPECT_TRUE(detail.ends_with("...\"")) << detail;
  EXPECT_LT(detail.size(), 200U);
}

// Guards against sequence numbers that overflow or are parsed in part.
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

// Guards against a body above the limit that is processed.
TEST(CallerApiTest, RefusesOversizedBodies) {
  CallerKit kit(kBodyLimit);
  const std::string large(kBodyLimit + 1, ' ');
  EXPECT_EQ(StatusOf(Exchange(&kit, Format("POST", "/v1/sessions", large))),
            413);
}

// Guards against a malformed or incomplete request that delays or breaks other
// connections or starts a job.
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
  send_open(std::string(3000, 'x'));             // Not HTTP.
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

// Guards against pipelined requests that are answered out of order, and against
// a repeated submission that runs again.
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

// Guards against a request that arrives byte by byte and is not answered.
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

// Guards against an answer that is dropped because the caller closed its
// sending side after the request.
TEST(CallerApiTest, AnswersHalfClosedRequest) {
  CallerKit kit(kBodyLimit);
  const std::string jobs = OpenRawSession(&kit) + "/jobs/";
  const std::string response = Exchange(
      &kit, Format("PUT", jobs + "1", R"({"service":"check","tasks":[1]})"),
      /*answers=*/1, /*half_close=*/true);
  EXPECT_EQ(StatusOf(response), 200);
}

// Guards against a stopping daemon that records a refused sequence number,
// which its successor could then not start, and against answers lost in the
// transfer.
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
