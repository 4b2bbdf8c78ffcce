// Tests the decisions of the session table at its limits and after a transfer
// of its sessions to another process.

#include "sequoiapath/coordination/session_table.h"

#include <gtest/gtest.h>

namespace sequoiapath {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

SessionKey Open(SessionTable* table, const std::string& team = "clerks") {
  const auto opened = OpenSession(table, team, kNow);
  EXPECT_EQ(GetFailure(opened), nullptr);
  return std::get<SessionKey>(opened);
}

bool Starts(SessionTable* table, const SessionKey& key, SequenceNumber n) {
  return std::holds_alternative<StartJob>(AdmitSubmission(table, key, n, kNow));
}

Failure RefusalOf(SessionTable* table, const SessionKey& key,
                  SequenceNumber n) {
  const auto decision = AdmitSubmission(table, key, n, kNow);
  const auto* failure = std::get_if<Failure>(&decision);
  EXPECT_NE(failure, nullptr) << "number " << n << " was not refused";
  return failure == nullptr ? Failure{} : *failure;
}

void Finish(SessionTable* table, const SessionKey& key, SequenceNumber n,
            const std::string& body) {
  FinishSubmission(table, key, n, {"r", JobResults{}}, body, kNow);
}

// Guards against a second start of a used sequence number after the caller has
// skipped many numbers, which moves the window past all earlier ones.
TEST(SessionTableTest, NumberFarAboveTheWindowKeepsOldNumbersUsed) {
  SessionTable table;
  const SessionKey key = Open(&table);
  ASSERT_TRUE(Starts(&table, key, 1));
  Finish(&table, key, 1, "one");
  ASSERT_TRUE(Starts(&table, key, 2));
  ASSERT_TRUE(Starts(&table, key, kMaxSequenceNumber));
  EXPECT_EQ(RefusalOf(&table, key, 1).reason, Reason::kSequenceTooOld);
  EXPECT_EQ(RefusalOf(&table, key, 1).verdict, Verdict::kMayHaveRun);
  EXPECT_TRUE(std::holds_alternative<JoinRunningJob>(
      AdmitSubmission(&table, key, 2, kNow)));
  EXPECT_EQ(RefusalOf(&table, key, kMaxSequenceNumber + 1).reason,
            Reason::kInvalidRequest);
}

// Guards against dropping the stored answers of one team because of the large
// answers of another team.
TEST(SessionTableTest, TeamBoundKeepsAnswersOfOthers) {
  SessionTable table;
  table.limits.max_stored_answer_bytes = 100;
  table.limits.max_stored_answer_bytes_per_team = 50;
  const SessionKey small = Open(&table, "clerks");
  const SessionKey large = Open(&table, "drivers");
  ASSERT_TRUE(Starts(&table, small, 1));
  Finish(&table, small, 1, "one");
  for (SequenceNumber n = 1; n <= 10; ++n) {
    ASSERT_TRUE(Starts(&table, large, n));
    Finish(&table, large, n, std::string(40, 'x'));
  }
  const auto kept = AdmitSubmission(&table, small, 1, kNow);
  ASSERT_TRUE(std::holds_alternative<StoredAnswer>(kept));
  EXPECT_EQ(std::get<StoredAnswer>(kept).body, "one");
  const Failure dropped = RefusalOf(&table, large, 9);
  EXPECT_EQ(dropped.reason, Reason::kAnswerDropped);
  EXPECT_EQ(dropped.verdict, Verdict::kRan);
}

// Guards against one team that opens sessions without limit, so that no other
// team can open a session.
TEST(SessionTableTest, TeamCannotExhaustTheTable) {
  SessionTable table;
  table.limits.max_sessions = 4;
  table.limits.max_sessions_per_team = 2;
  Open(&table, "clerks");
  Open(&table, "clerks");
  const auto refused = OpenSession(&table, "clerks", kNow);
  ASSERT_NE(GetFailure(refused), nullptr);
  EXPECT_EQ(GetFailure(refused)->reason, Reason::kOverloaded);
  EXPECT_EQ(GetFailure(refused)->verdict, Verdict::kNotRun);
  Open(&table, "drivers");
}

// Guards against the expiry of a session whose job runs longer than the idle
// timeout.
TEST(SessionTableTest, ExpiryWaitsForRunningJobs) {
  SessionTable table;
  const SessionKey busy = Open(&table);
  const SessionKey idle = Open(&table);
  ASSERT_TRUE(Starts(&table, busy, 1));
  ExpireSessions(&table, kNow + table.limits.idle_expiry);
  EXPECT_TRUE(table.sessions.contains(busy));
  EXPECT_FALSE(table.sessions.contains(idle));
  EXPECT_EQ(RefusalOf(&table, idle, 1).reason, Reason::kSessionUnknown);
}

// Guards against a graceful shutdown that loses stored answers or verdicts, or
// after which the successor starts a used sequence number again.
TEST(SessionTableTest, SuccessorKeepsAnswersWatermarkAndRunningNumbers) {
  SessionTable owner;
  owner.incarnation = 7;
  const SessionKey key = Open(&owner);
  for (const SequenceNumber n : {1, 2, 2000, 2001}) {
    ASSERT_TRUE(Starts(&owner, key, n));
  }
  Finish(&owner, key, 2000, "answer");
  SessionTable successor;
  successor.incarnation = 8;
  EXPECT_FALSE(ServesIncarnation(successor, 7));
  ASSERT_EQ(ImportSessions(&successor, ExportSessions(owner, kNow), kNow), 1U);
  EXPECT_TRUE(ServesIncarnation(successor, 7));
  // The successor's own first session has the same counter.
  const SessionKey own = Open(&successor);
  ASSERT_EQ(own.counter, key.counter);
  EXPECT_TRUE(Starts(&successor, own, 1));
  const auto stored = AdmitSubmission(&successor, key, 2000, kNow);
  ASSERT_TRUE(std::holds_alternative<StoredAnswer>(stored));
  EXPECT_EQ(std::get<StoredAnswer>(stored).body, "answer");
  EXPECT_EQ(RefusalOf(&successor, key, 3).reason, Reason::kSequenceTooOld);
  for (const SequenceNumber n : {1, 2001}) {
    EXPECT_EQ(RefusalOf(&successor, key, n).reason, Reason::kAnswerDropped);
    EXPECT_EQ(RefusalOf(&successor, key, n).verdict, Verdict::kMayHaveRun);
  }
  EXPECT_TRUE(Starts(&successor, key, 2002));
}

}  // namespace
}  // namespace sequoiapath
