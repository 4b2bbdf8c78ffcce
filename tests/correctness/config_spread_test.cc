// Tests the distribution of the configuration between daemons: the
// configuration never reverts (G8), reaches every daemon through any connected
// peer, and is sent as patches.

#include "sequoiapath/coordination/config_spread.h"

#include <gtest/gtest.h>

#include <random>

namespace sequoiapath {
namespace {

ConfigRecord MakeRecord(std::uint64_t generation, int workers,
                        const std::string& change_id = "c") {
  Document document;
  document.data_centres.push_back({"heredia", "region-1", {}});
  for (int i = 0; i < workers; ++i) {
    WorkerSpec worker;
    worker.name = "w-" + std::to_string(100000 + i);
    worker.data_centre = "heredia";
    worker.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
    document.workers.push_back(worker);
  }
  document.teams.push_back({"team", static_cast<int>(generation), 1});
  ConfigRecord record{generation, change_id, "", EncodeDocument(document)};
  record.digest = Sha256Hex(record.document);
  return record;
}

// Guards against a lower or conflicting record replacing the one in force.
TEST(ConfigSpreadTest, OnlyAGreaterGenerationIsAdopted) {
  ConfigDistribution distribution;
  EXPECT_EQ(AdoptRecord(&distribution, MakeRecord(5, 3)),
            AdoptOutcome::kAdopted);
  EXPECT_EQ(AdoptRecord(&distribution, MakeRecord(4, 3)), AdoptOutcome::kOlder);
  EXPECT_EQ(AdoptRecord(&distribution, MakeRecord(5, 3)),
            AdoptOutcome::kAlreadyInForce);
  EXPECT_EQ(AdoptRecord(&distribution, MakeRecord(5, 2)),
            AdoptOutcome::kConflict);
  EXPECT_EQ(distribution.current->document, MakeRecord(5, 3).document);
}

// Guards against a patch that contains the rest of a list because an entry was
// added in the middle of that list.
TEST(ConfigSpreadTest, PatchOfOneAddedWorkerIsSmall) {
  const ConfigRecord before = MakeRecord(1, 1000);
  Document document = std::get<Document>(ParseDocumentJson(before.document));
  WorkerSpec added = document.workers[500];
  added.name += "-b";
  document.workers.insert(document.workers.begin() + 501, added);
  ConfigRecord after{2, "c2", "", EncodeDocument(document)};
  after.digest = Sha256Hex(after.document);
  const ConfigPatch patch = MakeConfigPatch(before, after);
  EXPECT_LT(patch.patch.size(), 1000u);
  const auto applied = ApplyConfigPatch(before, patch);
  ASSERT_EQ(GetFailure(applied), nullptr);
  EXPECT_EQ(std::get<ConfigRecord>(applied), after);
}

// Guards against applying a patch to a record that is not its base.
TEST(ConfigSpreadTest, PatchWithAnotherBaseIsRefused) {
  const ConfigPatch patch = MakeConfigPatch(MakeRecord(1, 5), MakeRecord(2, 6));
  ConfigRecord other = MakeRecord(1, 4);
  EXPECT_NE(GetFailure(ApplyConfigPatch(other, patch)), nullptr);
  other = MakeRecord(3, 5);
  EXPECT_NE(GetFailure(ApplyConfigPatch(other, patch)), nullptr);
}

// Guards against an incomplete chain of patches for a daemon whose generation
// precedes the oldest stored patch.
TEST(ConfigSpreadTest, DaemonWithoutStoredPatchesGetsTheWholeDocument) {
  ConfigDistribution distribution;
  distribution.limits.max_patch_bytes = 200;
  for (std::uint64_t generation = 1; generation <= 10; ++generation) {
    AdoptRecord(&distribution, MakeRecord(generation, 20));
  }
  EXPECT_TRUE(std::holds_alternative<PatchChain>(AnswerPull(distribution, 9)));
  EXPECT_TRUE(
      std::holds_alternative<WholeDocument>(AnswerPull(distribution, 1)));
  EXPECT_TRUE(std::holds_alternative<UpToDate>(AnswerPull(distribution, 10)));
}

// Guards against too few watchers after a watcher has failed.
TEST(ConfigSpreadTest, AnotherDaemonReplacesAFailedWatcher) {
  const ConfigDistributionLimits limits;
  std::vector<std::string> live = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"};
  const auto watchers = [&] {
    std::vector<std::string> result;
    for (const std::string& vm : live) {
      if (IsWatcher(limits, vm, live)) result.push_back(vm);
    }
    return result;
  };
  const auto before = watchers();
  ASSERT_EQ(before.size(), 2u);
  std::erase(live, before[0]);
  const auto after = watchers();
  EXPECT_EQ(after.size(), 2u);
  EXPECT_NE(std::find(after.begin(), after.end(), before[1]), after.end());
}

// Guards against repeated pulls from a peer that has failed.
TEST(ConfigSpreadTest, PullAfterAFailureAsksAnotherPeer) {
  ConfigDistribution distribution;
  const TimePoint now{};
  NotePeerGeneration(&distribution, "a", 7);
  NotePeerGeneration(&distribution, "b", 7);
  const auto first = StartPull(&distribution, 0, now);
  ASSERT_TRUE(first);
  EXPECT_FALSE(StartPull(&distribution, 0, now));
  FinishPull(&distribution, /*succeeded=*/false);
  const auto second = StartPull(&distribution, 0, now);
  ASSERT_TRUE(second);
  EXPECT_NE(*first, *second);
}

// Guards against memory exhaustion by a compressed document that is larger than
// allowed, and against accepting one that is not compressed data.
TEST(ConfigSpreadTest, CompressedDocumentIsBounded) {
  const std::string document(100000, 'x');
  const std::string compressed = CompressDocument(document);
  const auto whole = DecompressDocument(compressed, document.size());
  ASSERT_EQ(GetFailure(whole), nullptr);
  EXPECT_EQ(std::get<std::string>(whole), document);
  EXPECT_NE(GetFailure(DecompressDocument(compressed, 1000)), nullptr);
  EXPECT_NE(GetFailure(DecompressDocument("rubbish", 1000)), nullptr);
}

// Guards against a daemon that reverts to a lower generation while replies are
// lost, or that does not reach the greatest one once no reply is lost.
TEST(ConfigSpreadTest, RandomExchangesConvergeAndNeverRevert) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    constexpr std::size_t kDaemons = 8;
    std::vector<ConfigDistribution> daemons(kDaemons);
    std::uint64_t generation = 0;
    TimePoint now{};
    const auto exchange = [&](bool lossy) {
      const std::size_t to = random() % kDaemons;
      const std::size_t from = random() % kDaemons;
      now += std::chrono::milliseconds(100);
      if (daemons[from].current) {
        NotePeerGeneration(&daemons[to], std::to_string(from),
                           daemons[from].current->generation);
      }
      const auto peer = StartPull(&daemons[to], random(), now);
      if (!peer || (lossy && random() % 3 == 0)) return;
      const std::uint64_t before =
          daemons[to].current ? daemons[to].current->generation : 0;
      const auto applied = ApplyPullReply(
          &daemons[to], AnswerPull(daemons[std::stoul(*peer)], before));
      FinishPull(&daemons[to], GetFailure(applied) == nullptr);
      ASSERT_GE(daemons[to].current->generation, before);
    };
    for (int step = 0; step < 300; ++step) {
      if (step % 10 == 0) {
        ++generation;
        AdoptRecord(&daemons[random() % kDaemons],
                    MakeRecord(generation, 3 + static_cast<int>(generation)));
      }
      exchange(/*lossy=*/true);
    }
    for (int step = 0; step < 500; ++step) exchange(/*lossy=*/false);
    for (const ConfigDistribution& daemon : daemons) {
      ASSERT_TRUE(daemon.current);
      EXPECT_EQ(daemon.current->generation, generation);
    }
  }
}

}  // namespace
}  // namespace sequoiapath
