// Compares the answers of a caller's whole session with a golden file. Guards
// against unintended changes of statuses and bodies. The session id is replaced
// by a fixed text. SEQUOIAPATH_UPDATE_GOLDEN=1 writes the file.

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "support/caller_kit.h"

namespace sequoiapath {
namespace {

constexpr const char* kGolden =
    SEQUOIAPATH_SOURCE_DIR "/tests/correctness/golden/caller_session.txt";

std::string ReplaceAll(std::string text, const std::string& from,
                       const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

// Returns the status and body of a response.
std::string Summary(const std::string& response) {
  return response.substr(9, 3) + " " +
         response.substr(response.find("\r\n\r\n") + 4) + "\n";
}

TEST(CallerSessionTest, MatchesTheGoldenFile) {
  test::CallerKit kit(100'000);
  const std::string session = test::OpenRawSession(&kit);
  std::string log;
  const auto step = [&](const std::string& method, const std::string& path,
                        const std::string& body) {
    log += method + " " + path + " " + body + "\n";
    log += Summary(test::Exchange(&kit, test::Format(method, path, body)));
  };
  step("GET", "/v1/ready", "");
  step("POST", "/v1/sessions", R"({"team":"clerks"})");
  step("POST", "/v1/sessions", R"({"team":"nobody"})");
  step("POST", "/v1/jobs", "{}");
  step("PUT", session + "/jobs/1",
       R"({"service":"check","tasks":[1,{"a":2}]})");
  step("PUT", session + "/jobs/1",
       R"({"service":"check","tasks":[1,{"a":2}]})");
  step("PUT", session + "/jobs/2", R"({"service":"check"})");
  step("PUT", session + "/jobs/3", R"({"service":"other","tasks":[1]})");
  step("PUT", session + "/jobs/2000", R"({"service":"check","tasks":["x"]})");
  step("PUT", session + "/jobs/1",
       R"({"service":"check","tasks":[1,{"a":2}]})");
  step("PUT", session + "/jobs/0", "{}");
  step("DELETE", session + "/jobs/1", "");
  step("PUT", "/v1/sessions/forged/jobs/1", "{}");
  step("PATCH", "/v1/jobs", "{}");
  log = ReplaceAll(log, session.substr(std::string("/v1/sessions/").size()),
                   "SESSION");
  if (std::getenv("SEQUOIAPATH_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(kGolden) << log;
  }
  std::stringstream golden;
  golden << std::ifstream(kGolden).rdbuf();
  EXPECT_EQ(log, golden.str());
}

}  // namespace
}  // namespace sequoiapath
