// Guards against a late log that exceeds its limits or loses its newest
// entries, and against changes of its JSON form.

#include "sequoiapath/state/late_log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

LateEntry Entry(std::string request_id) {
  LateEntry entry;
  entry.request_id = std::move(request_id);
  return entry;
}

// Guards against unbounded memory use when many entries with long texts are
// added.
TEST(LateLogTest, NumberAndBytesAreBoundedAndTheNewestStay) {
  LateLog log;
  log.limits = {100, 30'000, 64};
  for (int i = 0; i < 1000; ++i) {
    LateEntry entry = Entry(std::to_string(i));
    entry.team = std::string(100'000, 't');
    AddLateEntry(&log, std::move(entry));
    std::size_t bytes = 0;
    for (const LateEntry& entry : log.entries) bytes += EntryBytes(entry);
    ASSERT_EQ(bytes, log.bytes);
    ASSERT_LE(bytes, log.limits.max_bytes);
    ASSERT_LE(log.entries.size(), log.limits.max_entries);
  }
  EXPECT_EQ(log.entries.back().request_id, "999");
  EXPECT_EQ(log.dropped + log.entries.size(), 1000u);
}

// Guards against wrong order or missing keys in the JSON, and against a text
// with invalid UTF-8 that makes the encoding fail.
TEST(LateLogTest, JsonListsAnswersNewestFirst) {
  LateLog log;
  AddLateEntry(&log, Entry("old"));
  LateEntry failed = Entry("new \xff");
  failed.verdict = Verdict::kNotRun;
  failed.reason = Reason::kOverloaded;
  failed.answer_summary = "429 overloaded";
  failed.callers_told = 1;
  failed.callers_gone = 2;
  AddLateEntry(&log, std::move(failed));
  const auto json = nlohmann::json::parse(EncodeLateLog(log, 10));
  ASSERT_EQ(json["entries"].size(), 2u);
  const auto& entry = json["entries"][0];
  EXPECT_EQ(entry["reason"], "overloaded");
  EXPECT_EQ(entry["told"], "429 overloaded");
  EXPECT_EQ(entry["callers_gone"], 2);
  EXPECT_EQ(json["entries"][1]["outcome"], "complete");
}

// Guards against short jobs that always count as late because only the ratio to
// the ideal is checked.
TEST(LateLogTest, LatenessNeedsBothTheRatioAndTheSlack) {
  const LatePolicy policy;
  const milliseconds deadline(10'000);
  EXPECT_FALSE(IsLate(policy, milliseconds(50), milliseconds(10), deadline));
  EXPECT_FALSE(
      IsLate(policy, milliseconds(1500), milliseconds(1000), deadline));
  EXPECT_TRUE(IsLate(policy, milliseconds(2100), milliseconds(1000), deadline));
  EXPECT_FALSE(IsLate(policy, milliseconds(9000), milliseconds(0), deadline));
  EXPECT_TRUE(IsLate(policy, milliseconds(10'001), milliseconds(0), deadline));
}

}  // namespace
}  // namespace sequoiapath
