// Guards the validation of the document. Each violated rule must be reported
// with its line, its key, the rejected value and the allowed values, and all
// errors must be reported together.

#include "sequoiapath/protocol/document.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sequoiapath {
namespace {

constexpr const char* kBase = R"([[data_centres]]
name = "heredia"
[[services]]
name = "label-check"
[[teams]]
name = "clerks"
quota = 5
[[workers]]
name = "w1"
data_centre = "heredia"
address = "127.0.0.1:19000"
)";
constexpr int kBaseLines = 11;

DocumentErrors ErrorsOf(const std::string& toml) {
  const DocumentResult result = ParseDocumentToml(toml);
  const auto* errors = std::get_if<DocumentErrors>(&result);
  return errors == nullptr ? DocumentErrors{} : *errors;
}

struct Case {
  const char* appended;  // TOML text that is appended to kBase.
  int line;              // Line relative to the end of kBase.
  const char* key;
  const char* found;    // Substring of DocumentError::found.
  const char* allowed;  // Substring of DocumentError::allowed.
};

const Case kCases[] = {
    {"slots = 0", 1, "workers[0].slots", "0", "1 to 1024"},
    {"slots = 9999999999999", 1, "workers[0].slots", "9999999999999", "1024"},
    {"slots = \"8\"", 1, "workers[0].slots", "\"8\"", "integer"},
    {"slots = 8.0", 1, "workers[0].slots", "8", "integer"},
    {"cores = nan", 1, "workers[0].cores", "nan", "number"},
    {"cores = -1.5", 1, "workers[0].cores", "-1.5", "0 to"},
    {"leaving = 1", 1, "workers[0].leaving", "1", "true or false"},
    {"rack = \"Rack_1\"", 1, "workers[0].rack", "Rack_1", "lower-case"},
    {"speed = 3", 1, "workers[0].speed", "unknown key", "slots"},
    {"connections = 4", -3, "workers[0].connections", "4", "8 slots"},
    {"[colours]", 1, "colours", "unknown key", "data_centres"},
    {"[[teams]]\nname=\"t\"\nquota = 0", 3, "teams[1].quota", "0", "1 to"},
    {"[[teams]]\nname=\"t\"", 1, "teams[1].quota", "nothing", "value"},
    {"[[teams]]\nname=\"t\"\nquota=1\nweight=0", 1, "teams[1].weight", "0",
     "greater than 0"},
    {"[[teams]]\nname=\"clerks\"\nquota=1", 1, "teams[1].name", "teams[0]",
     "no other"},
    {"[[services]]\nname=\"s\"\npriority=\"high\"", 3, "services[1].priority",
     "\"high\"", "urgent"},
    {"[[services]]\nname=\"s\"\nplaces=[\"nowhere\"]", 1, "services[1].places",
     "nowhere", "rack"},
    {"[[services]]\nname=\"s\"\nmax_rack_percent=101", 3,
     "services[1].max_rack_percent", "101", "1 to 100"},
    {"[[data_centres]]\nname=\"a\"\nneighbours=[\"a\"]", 1,
     "data_centres[1].neighbours", "\"a\"", "another"},
    {"[[data_centres]]\nname=\"a\"\nneighbours=[\"heredia\", \"heredia\"]", 3,
     "data_centres[1].neighbours", "twice", "once"},
    {"[[workers]]\nname=\"w2\"\ndata_centre=\"limon\"\naddress=\"1.2.3.4:5\"",
     1, "workers[1].data_centre", "limon", "data centre"},
    {"[[workers]]\nname=\"w2\"\ndata_centre=\"heredia\"\naddress=\"1.2.3:5\"",
     4, "workers[1].address", "1.2.3:5", "IPv4"},
    {"[[workers]]\nname=\"w2\"\ndata_centre=\"heredia\"\n"
     "address=\"127.0.0.1:19000\"",
     1, "workers[1].address", "workers[0]", "no other worker"},
    {"slots = ", 1, "", "", "valid TOML"},
};

TEST(DocumentErrorTest, EachErrorIsReportedWithLineAndKey) {
  ASSERT_TRUE(ErrorsOf(kBase).empty());
  for (const Case& expected : kCases) {
    const auto errors = ErrorsOf(std::string(kBase) + expected.appended);
    ASSERT_EQ(errors.size(), 1U) << expected.appended;
    const DocumentError& error = errors.front();
    EXPECT_EQ(error.line, kBaseLines + expected.line) << expected.appended;
    EXPECT_EQ(error.key, expected.key) << expected.appended;
    EXPECT_NE(error.found.find(expected.found), std::string::npos)
        << expected.appended << ": " << error.found;
    EXPECT_NE(error.allowed.find(expected.allowed), std::string::npos)
        << expected.appended << ": " << error.allowed;
  }
}

TEST(DocumentErrorTest, AllErrorsAreReportedInTheOrderOfLines) {
  const auto errors = ErrorsOf(
      "extra = 1\n[[teams]]\nname = \"A\"\nquota = 0\n[[workers]]\nslots = "
      "0\n");
  ASSERT_EQ(errors.size(), 7U);
  EXPECT_TRUE(std::is_sorted(
      errors.begin(), errors.end(),
      [](const auto& a, const auto& b) { return a.line < b.line; }));
}

// Guards against documents that the store would reject: its values are limited
// to 1 MiB.
TEST(DocumentErrorTest, DocumentAboveTheStoreLimitIsRejected) {
  std::string toml;
  for (int i = 0; i < 30'000; ++i) {
    toml += "[[teams]]\nname = \"t" + std::to_string(i) + "\"\nquota = 1\n";
  }
  const auto errors = ErrorsOf(toml);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_NE(errors.front().found.find("bytes encoded"), std::string::npos);
}

TEST(DocumentErrorTest, JsonFormIsValidatedByTheSameRules) {
  const DocumentResult result = ParseDocumentJson(
      R"({"teams":[{"name":"t","quota":0,"x":1}],"workers":{}})");
  const auto* errors = std::get_if<DocumentErrors>(&result);
  ASSERT_NE(errors, nullptr);
  EXPECT_EQ(errors->size(), 3U);
  EXPECT_TRUE(std::holds_alternative<DocumentErrors>(ParseDocumentJson("[]")));
}

}  // namespace
}  // namespace sequoiapath
