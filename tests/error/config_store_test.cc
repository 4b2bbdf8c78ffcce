// Tests configuration changes under failures of the store. Guards against
// changes that are applied twice, and against reports that differ from what the
// store contains.

#include "sequoiapath/state/config_store.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "store_bench.h"

namespace sequoiapath {
namespace {

class ConfigStoreTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(this->bench.Apply(this->base).outcome, ChangeOutcome::kApplied);
  }

  // Returns the base document with one quota changed.
  Document WithQuota(int quota) const {
    Document document = this->base;
    document.teams[0].quota = quota;
    return document;
  }

  // Checks that the store contains the change if and only if the report says
  // that the change was applied.
  // Precondition: the outcome is not kUnknown.
  void ExpectReportMatchesStore(const ChangeReport& report) {
    const bool applied = report.outcome == ChangeOutcome::kApplied;
    EXPECT_EQ(this->bench.TimesApplied(report.change_id), applied ? 1 : 0);
    if (applied) {
      EXPECT_EQ(this->bench.Stored().change_id, report.change_id);
    } else {
      EXPECT_NE(this->bench.Stored().change_id, report.change_id);
    }
  }

  StoreBench bench;
  Document base = SampleDocument(4);
};

TEST_F(ConfigStoreTest, LostReplyIsFoundByReading) {
  this->bench.Control(R"({"lose_replies": 1})");
  const ChangeReport report = this->bench.Apply(this->WithQuota(20));
  EXPECT_EQ(report.outcome, ChangeOutcome::kApplied);
  EXPECT_EQ(report.generation, 2U);
  this->ExpectReportMatchesStore(report);
}

// Guards against a console form that is submitted twice and applies its change
// twice, which would overwrite a newer change.
TEST_F(ConfigStoreTest, RepeatedChangeIdIsAppliedOnce) {
  const auto apply = [this](int quota) {
    std::optional<ChangeReport> report;
    this->bench.config->Apply(
        {{"ana", "desk-1"}, this->WithQuota(quota), {}, 0, "00ff"},
        [&](const ChangeReport& r) { report = r; });
    EXPECT_TRUE(this->bench.RunUntil([&] { return report.has_value(); }));
    return report.value_or(ChangeReport{});
  };
  EXPECT_EQ(apply(20).generation, 2U);
  this->bench.Apply(this->WithQuota(30));
  const ChangeReport repeated = apply(20);
  EXPECT_EQ(repeated.outcome, ChangeOutcome::kApplied);
  EXPECT_EQ(repeated.generation, 2U);
  EXPECT_EQ(this->bench.Stored().generation, 3U);
}

TEST_F(ConfigStoreTest, LostRequestIsSentAgain) {
  this->bench.Control(R"({"lose_requests": 2})");
  const ChangeReport report = this->bench.Apply(this->WithQuota(20));
  EXPECT_EQ(report.outcome, ChangeOutcome::kApplied);
  EXPECT_EQ(report.generation, 2U);
  this->ExpectReportMatchesStore(report);
}

// Guards against reporting kNotApplied because a read returns the old state
// while the unanswered write may still take effect.
TEST_F(ConfigStoreTest, UnansweredWritesAreUnknown) {
  this->bench.Control(R"({"lose_requests": 1000})");
  const ChangeReport report = this->bench.Apply(this->WithQuota(20));
  EXPECT_EQ(report.outcome, ChangeOutcome::kUnknown);
  EXPECT_EQ(this->bench.TimesApplied(report.change_id), 0);
}

// Guards against a second write of a change whose reply was lost and whose
// record another operator has replaced since, so that only the audit trail
// contains it.
TEST_F(ConfigStoreTest, ReplacedChangeIsFoundInTheAuditTrail) {
  this->bench.Control(R"({"lose_replies": 1})");
  std::optional<ChangeReport> first;
  this->bench.config->Apply({{"ana", ""}, this->WithQuota(20), {}, 0},
                            [&](const ChangeReport& r) { first = r; });
  ASSERT_TRUE(this->bench.RunUntil(
      [&] { return this->bench.Stored().generation == 2; }));
  Document other = this->WithQuota(20);
  other.workers[0].slots = 2;
  EXPECT_EQ(this->bench.Apply(other).generation, 3U);
  ASSERT_TRUE(this->bench.RunUntil([&] { return first.has_value(); }));
  EXPECT_EQ(first->outcome, ChangeOutcome::kApplied);
  EXPECT_EQ(first->generation, 2U);
  EXPECT_EQ(this->bench.TimesApplied(first->change_id), 1);
}

// Guards against applying a change twice when its write takes effect about as
// late as the call times out. The delays are below and above the call timeout
// of 200 ms.
TEST_F(ConfigStoreTest, SlowStoreNeverAppliesTwice) {
  for (const int delay_ms : {150, 190, 250}) {
    this->bench.Control(fmt::format(R"({{"delay_ms": {}}})", delay_ms));
    const ChangeReport report = this->bench.Apply(this->WithQuota(delay_ms));
    this->bench.Control(R"({"delay_ms": 0})");
    this->bench.RunFor(std::chrono::milliseconds(400));
    EXPECT_LE(this->bench.TimesApplied(report.change_id), 1);
    if (report.outcome != ChangeOutcome::kUnknown) {
      this->ExpectReportMatchesStore(report);
    }
  }
}

// Guards against reporting an applied change as not applied when the reads
// succeed, but the write is answered after the call timeout and takes effect
// between two reads.
TEST_F(ConfigStoreTest, LateWriteIsReportedAsApplied) {
  std::optional<ChangeReport> report;
  this->bench.config->Apply({{"ana", ""}, this->WithQuota(20), {}, 0},
                            [&](const ChangeReport& r) { report = r; });
  ASSERT_TRUE(this->bench.RunUntil(
      [&] { return this->bench.fake.CallCounts().at("range") >= 4; }));
  this->bench.Control(R"({"delay_ms": 500})");
  this->bench.RunFor(std::chrono::milliseconds(100));
  this->bench.Control(R"({"delay_ms": 0})");
  ASSERT_TRUE(this->bench.RunUntil([&] { return report.has_value(); }));
  this->bench.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(report->outcome, ChangeOutcome::kApplied);
  this->ExpectReportMatchesStore(*report);
}

TEST_F(ConfigStoreTest, StoreThatIsDownAppliesNothingWithinTheBound) {
  this->bench.Control(R"({"down": true})");
  const TimePoint start = this->bench.loop.Now();
  const ChangeReport report = this->bench.Apply(this->WithQuota(20));
  EXPECT_LT(this->bench.loop.Now() - start,
            kTestTimeLimit + 4 * kTestCallTimeout);
  EXPECT_EQ(report.outcome, ChangeOutcome::kNotApplied);
  this->bench.Control(R"({"down": false})");
  this->ExpectReportMatchesStore(report);
}

TEST_F(ConfigStoreTest, ChangeIsAppliedAfterAShortOutage) {
  this->bench.Control(R"({"down": true})");
  this->bench.loop.Schedule(std::chrono::milliseconds(400), [this] {
    this->bench.Control(R"({"down": false})");
  });
  const ChangeReport report = this->bench.Apply(this->WithQuota(20));
  EXPECT_EQ(report.outcome, ChangeOutcome::kApplied);
  this->ExpectReportMatchesStore(report);
}

// Guards against writing a change again when the reply to its write is lost and
// the store is restored from a backup before ConfigStore reads the store to
// find out whether the write took effect.
TEST_F(ConfigStoreTest, RestoreDuringAChangeIsNotAppliedTwice) {
  this->bench.Control(R"({"snapshot": true})");
  ASSERT_EQ(this->bench.Apply(this->WithQuota(20)).generation, 2U);
  this->bench.Control(R"({"lose_replies": 1})");
  std::optional<ChangeReport> report;
  this->bench.config->Apply({{"ana", ""}, this->WithQuota(30), {}, 0},
                            [&](const ChangeReport& r) { report = r; });
  ASSERT_TRUE(this->bench.RunUntil(
      [&] { return this->bench.Stored().generation == 3; }));
  this->bench.Control(R"({"restore": true})");
  ASSERT_TRUE(this->bench.RunUntil([&] { return report.has_value(); }));
  EXPECT_EQ(report->outcome, ChangeOutcome::kUnknown);
  EXPECT_EQ(this->bench.Stored().generation, 1U);
}

TEST_F(ConfigStoreTest, ChangeAfterARestoreCanExceedTheGenerationInForce) {
  const ChangeReport report = this->bench.Apply(this->WithQuota(20), {}, 40);
  EXPECT_EQ(report.generation, 40U);
  EXPECT_EQ(this->bench.Apply(this->WithQuota(20), {}, 50).generation, 50U);
}

TEST_F(ConfigStoreTest, ConflictIsRefusedAndRecorded) {
  ASSERT_EQ(this->bench.Apply(this->WithQuota(20)).generation, 2U);
  const ChangeReport report = this->bench.Apply(this->WithQuota(30), 1);
  EXPECT_EQ(report.outcome, ChangeOutcome::kNotApplied);
  ASSERT_EQ(report.conflicts.size(), 1U);
  EXPECT_EQ(report.conflicts[0].ours, "30");
  EXPECT_EQ(report.conflicts[0].theirs, "20");
  const auto history = this->bench.History();
  ASSERT_EQ(history.size(), 3U);
  EXPECT_EQ(history[0].outcome, "refused");
  EXPECT_EQ(history[0].operator_name, "ana");
  EXPECT_EQ(history[0].operator_host, "desk-1");
  EXPECT_EQ(history[0].change_id, report.change_id);
  ASSERT_EQ(history[0].changes.size(), 1U);
  this->ExpectReportMatchesStore(report);
}

TEST_F(ConfigStoreTest, LostReplyOfARefusalIsRecordedOnce) {
  this->bench.Control(R"({"lose_replies": 1})");
  std::optional<bool> recorded;
  this->bench.config->RecordRefusal({"ana", ""}, "line 3: no",
                                    [&](bool ok) { recorded = ok; });
  ASSERT_TRUE(this->bench.RunUntil([&] { return recorded.has_value(); }));
  EXPECT_TRUE(*recorded);
  EXPECT_EQ(this->bench.History().size(), 2U);
}

TEST_F(ConfigStoreTest, RevertWritesOldContentAsNewGeneration) {
  ASSERT_EQ(this->bench.Apply(this->WithQuota(20)).generation, 2U);
  std::optional<ChangeReport> report;
  const auto revert = [&](std::uint64_t generation) {
    report.reset();
    this->bench.config->RevertTo(generation, {"ana", ""}, 0,
                                 [&](const ChangeReport& r) { report = r; });
    ASSERT_TRUE(this->bench.RunUntil([&] { return report.has_value(); }));
  };
  revert(1);
  EXPECT_EQ(report->generation, 3U);
  EXPECT_EQ(this->bench.Stored().document, EncodeDocument(this->base));
  revert(99);
  EXPECT_EQ(report->outcome, ChangeOutcome::kNotApplied);
  EXPECT_EQ(this->bench.History().front().outcome, "refused");
}

// Guards against unbounded growth of an audit segment and of the number of
// stored documents.
TEST_F(ConfigStoreTest, AuditTrailStartsNewSegmentsAndDocumentsAreBounded) {
  constexpr int kChanges = 400;
  for (int i = 0; i < kChanges; ++i) {
    this->bench.Apply(this->WithQuota(100 + i));
  }
  EXPECT_EQ(this->bench.History().size(), kChanges + 1U);
  const auto first = this->bench.fake.Peek("/sequoiapath/audit/0000000000");
  ASSERT_TRUE(first.has_value());
  EXPECT_LE(first->size(), kMaxAuditSegmentBytes);
  EXPECT_TRUE(
      this->bench.fake.Peek("/sequoiapath/audit/0000000001").has_value());
  const auto kept = [this](std::uint64_t generation) {
    return this->bench.fake
        .Peek(fmt::format("{}{:010}", kDocumentPrefix, generation))
        .has_value();
  };
  EXPECT_FALSE(kept(kChanges + 1 - kMaxStoredDocuments));
  EXPECT_TRUE(kept(kChanges + 2 - kMaxStoredDocuments));
}

// Guards against changes that are lost or applied twice when several operators
// submit changes concurrently and messages are lost. Each operator changes
// other fields, so every change must be in force exactly once unless its report
// says that it was not applied.
TEST_F(ConfigStoreTest, RacingOperatorsUnderFaultsKeepTheInvariant) {
  for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
    std::mt19937 random(seed);
    constexpr int kOperators = 4;
    std::vector<std::optional<ChangeReport>> reports(kOperators);
    const std::uint64_t before = this->bench.Stored().generation;
    const DocumentResult current =
        ParseDocumentJson(this->bench.Stored().document);
    for (int i = 0; i < kOperators; ++i) {
      Document wanted = std::get<Document>(current);
      wanted.workers[i].slots = 10 + static_cast<int>(seed);
      wanted.workers[i].accelerators = 10 + static_cast<int>(seed);
      this->bench.config->Apply(
          {{"ana", ""}, wanted, before, 0},
          [&reports, i](const ChangeReport& r) { reports[i] = r; });
      this->bench.RunFor(std::chrono::milliseconds(random() % 30));
      this->bench.Control(fmt::format(
          R"({{"lose_replies": {}, "lose_requests": {}, "delay_ms": {}}})",
          random() % 2, random() % 2, random() % 3 * 60));
    }
    ASSERT_TRUE(this->bench.RunUntil([&] {
      return std::all_of(reports.begin(), reports.end(),
                         [](const auto& r) { return r.has_value(); });
    }));
    this->bench.Control(
        R"({"delay_ms": 0, "lose_requests": 0, "lose_replies": 0})");
    this->bench.RunFor(std::chrono::milliseconds(300));
    const DocumentResult after =
        ParseDocumentJson(this->bench.Stored().document);
    std::uint64_t applied = 0;
    for (int i = 0; i < kOperators; ++i) {
      const int times = this->bench.TimesApplied(reports[i]->change_id);
      const bool in_force = std::get<Document>(after).workers[i].slots ==
                            10 + static_cast<int>(seed);
      EXPECT_EQ(times, in_force ? 1 : 0) << "seed " << seed;
      if (reports[i]->outcome != ChangeOutcome::kUnknown) {
        EXPECT_EQ(in_force, reports[i]->outcome == ChangeOutcome::kApplied)
            << "seed " << seed << ": " << reports[i]->detail;
      }
      applied += static_cast<std::uint64_t>(times);
    }
    EXPECT_EQ(this->bench.Stored().generation, before + applied);
  }
}

}  // namespace
}  // namespace sequoiapath
