// Tests ConfigWatch under failures of the store. Guards against changes that
// are missed or reported twice, and against decreasing generations.

#include "sequoiapath/state/config_watch.h"

#include <gtest/gtest.h>

#include "store_bench.h"

namespace sequoiapath {
namespace {

class ConfigWatchTest : public testing::Test {
 protected:
  // Starts a watch that uses a separate store client.
  void Start() {
    this->watch_client = this->bench.NewClient();
    this->watch = std::make_unique<ConfigWatch>(
        &this->bench.loop, this->watch_client.get(),
        [this](const ConfigRecord& record) {
          this->reported.push_back(record.generation);
        });
  }

  void ApplyQuota(int quota) {
    Document document = SampleDocument(2);
    document.teams[0].quota = quota;
    ASSERT_EQ(this->bench.Apply(document).outcome, ChangeOutcome::kApplied);
  }

  bool WaitForGeneration(std::uint64_t generation,
                         Duration limit = std::chrono::seconds(15)) {
    return this->bench.RunUntil(
        [&] {
          return !this->reported.empty() && this->reported.back() == generation;
        },
        limit);
  }

  bool WaitForOpenWatches(std::uint64_t calls) {
    return this->bench.RunUntil([&] {
      const auto& counted = this->bench.fake.CallCounts();
      return counted.contains("watch") && counted.at("watch") >= calls;
    });
  }

  StoreBench bench;
  std::unique_ptr<StoreClient> watch_client;
  std::unique_ptr<ConfigWatch> watch;
  std::vector<std::uint64_t> reported;
};

using Generations = std::vector<std::uint64_t>;

// Guards against polling: an idle watch must send no further calls, whereas
// polling would send one each second.
TEST_F(ConfigWatchTest, EachChangeArrivesOverOneReadAndOneWatch) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForGeneration(1));
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  const auto ranges = this->bench.fake.CallCounts().at("range");
  this->bench.RunFor(std::chrono::seconds(3));
  EXPECT_EQ(this->bench.fake.CallCounts().at("range"), ranges);
  EXPECT_EQ(this->bench.fake.CallCounts().at("watch"), 1U);
  const TimePoint start = this->bench.loop.Now();
  this->ApplyQuota(2);
  ASSERT_TRUE(this->WaitForGeneration(2));
  fmt::print("change in force after {} us\n",
             std::chrono::duration_cast<std::chrono::microseconds>(
                 this->bench.loop.Now() - start)
                 .count());
  this->ApplyQuota(3);
  ASSERT_TRUE(this->WaitForGeneration(3));
  EXPECT_EQ(this->reported, (Generations{1, 2, 3}));
}

TEST_F(ConfigWatchTest, FirstDocumentArrivesWhenTheStoreWasEmpty) {
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->ApplyQuota(1);
  EXPECT_TRUE(this->WaitForGeneration(1));
}

TEST_F(ConfigWatchTest, ChangeDuringAnOutageOfTheWatchArrives) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.Control(R"({"down": true})");
  this->bench.RunFor(std::chrono::milliseconds(500));
  this->bench.Control(R"({"down": false})");
  this->ApplyQuota(2);
  EXPECT_TRUE(this->WaitForGeneration(2));
  EXPECT_EQ(this->reported, (Generations{1, 2}));
}

TEST_F(ConfigWatchTest, StoreThatIsDownAtTheStartIsReadLater) {
  this->ApplyQuota(1);
  this->bench.Control(R"({"down": true})");
  this->Start();
  this->bench.RunFor(std::chrono::milliseconds(300));
  this->bench.Control(R"({"down": false})");
  EXPECT_TRUE(this->WaitForGeneration(1));
}

// Guards against a stream that stays open but delivers nothing: changes must be
// in force within 15 s nevertheless.
TEST_F(ConfigWatchTest, UnresponsiveWatchIsReplaced) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.Control(R"({"mute_watches": true})");
  this->ApplyQuota(2);
  EXPECT_TRUE(this->WaitForGeneration(2, std::chrono::seconds(15)));
  EXPECT_EQ(this->reported, (Generations{1, 2}));
}

TEST_F(ConfigWatchTest, ProgressNotificationsKeepAnIdleWatchOpen) {
  this->ApplyQuota(1);
  this->bench.Control(R"({"progress_ms": 1000})");
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.RunFor(std::chrono::seconds(10));
  EXPECT_EQ(this->bench.fake.CallCounts().at("watch"), 1U);
}

TEST_F(ConfigWatchTest, DelayedEventsArriveOnceAndInOrder) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.Control(R"({"watch_delay_ms": 700})");
  this->ApplyQuota(2);
  this->ApplyQuota(3);
  EXPECT_TRUE(this->WaitForGeneration(3));
  EXPECT_EQ(this->reported, (Generations{1, 2, 3}));
}

TEST_F(ConfigWatchTest, CompactionLeadsToARead) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.Control(R"({"mute_watches": true})");
  this->ApplyQuota(2);
  this->ApplyQuota(3);
  this->bench.Control(R"({"compact": true})");
  EXPECT_TRUE(this->WaitForGeneration(3));
  EXPECT_EQ(this->reported, (Generations{1, 3}));
}

// Guards against returning to an older configuration (guarantee G8 in
// docs/design.md) when the store is
// restored from an old backup.
TEST_F(ConfigWatchTest, OlderStoreRaisesAnAlarmAndChangesNothing) {
  this->ApplyQuota(1);
  this->bench.Control(R"({"snapshot": true})");
  this->ApplyQuota(2);
  this->ApplyQuota(3);
  this->Start();
  ASSERT_TRUE(this->WaitForGeneration(3));
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.Control(R"({"restore": true})");
  ASSERT_TRUE(this->bench.RunUntil([&] { return this->watch->Alarms() > 0; }));
  this->ApplyQuota(9);  // Becomes generation 2 again.
  ASSERT_TRUE(this->bench.RunUntil([&] { return this->watch->Alarms() > 1; }));
  Document document = SampleDocument(2);
  EXPECT_EQ(this->bench.Apply(document, {}, 10).generation, 10U);
  EXPECT_TRUE(this->WaitForGeneration(10));
  EXPECT_EQ(this->reported, (Generations{3, 10}));
}

TEST_F(ConfigWatchTest, RecordFromAPeerIsNotReportedAgain) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  ConfigRecord record;
  record.generation = 2;
  record.digest = Sha256Hex(EncodeDocument([] {
    Document document = SampleDocument(2);
    document.teams[0].quota = 2;
    return document;
  }()));
  this->watch->SetInForce(record);
  this->ApplyQuota(2);
  this->ApplyQuota(3);
  EXPECT_TRUE(this->WaitForGeneration(3));
  EXPECT_EQ(this->reported, (Generations{1, 3}));
  EXPECT_EQ(this->watch->Alarms(), 0U);
}

// Guards against a false alarm when a peer sends a generation before this watch
// delivers the earlier ones; the store was not restored in this case.
TEST_F(ConfigWatchTest, EventOlderThanARecordFromAPeerRaisesNoAlarm) {
  this->ApplyQuota(1);
  this->Start();
  ASSERT_TRUE(this->WaitForOpenWatches(1));
  this->bench.Control(R"({"watch_delay_ms": 300})");
  this->ApplyQuota(2);
  this->ApplyQuota(3);
  this->watch->SetInForce(this->bench.Stored());
  this->bench.RunFor(std::chrono::seconds(1));
  EXPECT_EQ(this->reported, (Generations{1}));
  EXPECT_EQ(this->watch->Alarms(), 0U);
}

}  // namespace
}  // namespace sequoiapath
