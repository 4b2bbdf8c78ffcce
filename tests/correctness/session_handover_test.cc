#include "sequoiapath/state/session_handover.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sequoiapath::test {
namespace {

const MemberIdentity kSender{"heredia", "vm-1", {"127.0.0.1", 1}, 7};

std::vector<ExportedSession> MakeSessions(std::size_t count,
                                          std::size_t answer_bytes) {
  std::vector<ExportedSession> sessions(count);
  for (std::size_t i = 0; i < count; ++i) {
    sessions[i].key = {7, i + 1};
    sessions[i].team = "clerks";
    sessions[i].submissions = {
        {1, Verdict::kRan, StoredAnswer{200, std::string(answer_bytes, 'a')}}};
  }
  return sessions;
}

// Guards against messages that the receiver refuses as too large, against lost
// sessions, and against a succession that is recorded before the receiver has
// all messages.
TEST(SplitHandoverTest, BoundsMessagesAndMarksTheLast) {
  const auto messages = SplitHandover(kSender, MakeSessions(10, 1000),
                                      {.max_bytes = 3500, .max_sessions = 100});
  ASSERT_EQ(messages.size(), 4u);
  std::uint64_t next = 1;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    EXPECT_LE(EncodePeerMessage(messages[i]).size(), 3700u);
    EXPECT_EQ(messages[i].last, i + 1 == messages.size());
    for (const HandedOverSession& session : messages[i].sessions) {
      EXPECT_EQ(session.counter, next++);
      EXPECT_EQ(session.incarnation, 7u);
    }
  }
  EXPECT_EQ(next, 11u);
}

// Guards against messages with too many sessions, and against a session above
// max_bytes that is never sent.
TEST(SplitHandoverTest, BoundsSessionsAndSendsALargeOneAlone) {
  EXPECT_EQ(
      SplitHandover(kSender, MakeSessions(5, 0), {.max_sessions = 2}).size(),
      3u);
  EXPECT_EQ(
      SplitHandover(kSender, MakeSessions(2, 1000), {.max_bytes = 10}).size(),
      2u);
  EXPECT_TRUE(SplitHandover(kSender, {}).empty());
}

// Guards against a second start: a sequence number below the watermark has no
// record, so a successor without the watermark would start its job again.
TEST(SplitHandoverTest, KeepsTheWatermark) {
  auto sessions = MakeSessions(1, 0);
  sessions[0].watermark = 40;
  sessions[0].greatest = 41;
  const auto decoded = DecodePeerMessage<Handover>(
      EncodePeerMessage(SplitHandover(kSender, sessions).front()));
  ASSERT_TRUE(std::holds_alternative<Handover>(decoded));
  const HandedOverSession& session = std::get<Handover>(decoded).sessions[0];
  EXPECT_EQ(session.watermark, 40u);
  EXPECT_EQ(session.greatest_sequence, 41u);
}

}  // namespace
}  // namespace sequoiapath::test
