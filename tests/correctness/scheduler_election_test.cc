// Guards the election of the scheduling daemon: one at a time while all are
// connected, a quick successor, no takeover by a group that is cut off, and
// fencing tokens that only grow.

#include "sequoiapath/coordination/scheduler_election.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <vector>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kWallClock{1'790'000'000'000};

// Daemons that exchange reports in virtual time.
class ElectionGroup {
 public:
  explicit ElectionGroup(int count, std::uint32_t weight = 250) {
    std::vector<ListedDaemon> listed;
    for (int i = 0; i < count; ++i) {
      SchedulerElection election;
      election.self.vm = Name(i);
      election.self.data_centre = i < (count + 1) / 2 ? "heredia" : "cartago";
      election.self.incarnation = static_cast<std::uint64_t>(i) + 1;
      election.self.weight = weight;
      election.started = kStart;
      this->daemons.push_back(election);
      listed.push_back({Name(i), election.self.data_centre, {"127.0.0.1", 1}});
    }
    for (auto& daemon : this->daemons) SetListedDaemons(&daemon, listed);
    this->up.assign(this->daemons.size(), true);
  }

  static std::string Name(int i) { return fmt::format("vm-{}", i); }

  // Lets time pass; `connected` says which daemons hear each other.
  template <typename Connected>
  void Run(Duration length, Connected connected) {
    const TimePoint end = this->now + length;
    for (; this->now < end; this->now += milliseconds(50)) {
      for (std::size_t a = 0; a < this->daemons.size(); ++a) {
        for (std::size_t b = 0; b < this->daemons.size(); ++b) {
          if (a == b || !this->up[a] || !this->up[b] || !connected(a, b)) {
            continue;
          }
          RecordReport(&this->daemons[a], this->daemons[b].self, this->now);
        }
        if (!this->up[a]) continue;
        RunElection(&this->daemons[a], this->now,
                    kWallClock + std::chrono::duration_cast<milliseconds>(
                                     this->now - kStart));
      }
    }
  }
  void Run(Duration length) {
    this->Run(length, [](std::size_t, std::size_t) { return true; });
  }

  int Schedulers() const {
    int count = 0;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (this->up[i] && this->daemons[i].self.claim != 0) ++count;
    }
    return count;
  }

  std::vector<SchedulerElection> daemons;
  std::vector<bool> up;
  TimePoint now = kStart;
};

TEST(SchedulerElectionTest, OneDaemonSchedulesForAll) {
  ElectionGroup group(8);
  group.Run(seconds(4));
  EXPECT_EQ(group.Schedulers(), 1);
  for (const auto& daemon : group.daemons) {
    EXPECT_EQ(daemon.leader, group.daemons[0].leader);
    EXPECT_FALSE(daemon.leader.empty());
  }
}

// After a loss of power of all daemons service begins as soon as they have
// heard each other.
TEST(SchedulerElectionTest, DaemonsThatStartTogetherElectAtOnce) {
  ElectionGroup group(8);
  group.Run(milliseconds(400));
  EXPECT_EQ(group.Schedulers(), 1);
}

TEST(SchedulerElectionTest, MissingDaemonDelaysTheFirstClaimOnly) {
  ElectionGroup group(8);
  group.up[5] = false;
  group.Run(milliseconds(400));
  EXPECT_EQ(group.Schedulers(), 0);
  group.Run(milliseconds(700));
  EXPECT_EQ(group.Schedulers(), 1);
}

TEST(SchedulerElectionTest, StrongestDaemonSchedulesAfterACommonStart) {
  ElectionGroup group(6, 120);
  group.daemons[4].self.weight = 500;
  group.Run(seconds(4));
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(4));
}

TEST(SchedulerElectionTest, StrongDaemonReplacesAWeakScheduler) {
  ElectionGroup group(6, 120);
  group.up[4] = false;
  group.daemons[4].self.weight = 500;
  group.Run(seconds(4));
  ASSERT_NE(group.daemons[0].leader, ElectionGroup::Name(4));
  group.up[4] = true;
  group.daemons[4].started = group.now;
  group.Run(seconds(5));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(4));
}

// A silent scheduler is replaced before the leases of its runs have lapsed.
TEST(SchedulerElectionTest, SilentSchedulerIsReplacedWithinASecond) {
  ElectionGroup group(8);
  group.Run(seconds(4));
  const FencingToken former = group.daemons[0].self.claim;
  ASSERT_NE(former, 0U);
  group.up[0] = false;
  group.Run(milliseconds(800));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[1].role, SchedulerRole::kFull);
  EXPECT_GT(group.daemons[1].self.claim, former);
}

TEST(SchedulerElectionTest, EndedProcessIsReplacedAtOnce) {
  ElectionGroup group(4);
  group.Run(seconds(4));
  group.up[0] = false;
  for (auto& daemon : group.daemons) {
    RecordDaemonFailure(&daemon, ElectionGroup::Name(0),
                        IncarnationOf(daemon, ElectionGroup::Name(0)));
  }
  group.Run(milliseconds(100));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[2].leader, ElectionGroup::Name(1));
}

// After a restart of all daemons, connections to former processes fail late. If
// that counted against the new process, a second scheduler would claim.
TEST(SchedulerElectionTest, FailureOfAFormerProcessIsNoFailureOfItsSuccessor) {
  ElectionGroup group(4);
  group.Run(seconds(4));
  const std::string name = ElectionGroup::Name(0);
  const std::uint64_t former = IncarnationOf(group.daemons[1], name);
  group.daemons[0].self.incarnation = former + 100;
  group.Run(milliseconds(50));
  RecordDaemonFailure(&group.daemons[1], name, former);
  RecordDaemonFailure(&group.daemons[2], name, 0);
  EXPECT_TRUE(IsLive(group.daemons[1], name, group.now));
  EXPECT_TRUE(IsLive(group.daemons[2], name, group.now));
  RecordDaemonFailure(&group.daemons[1], name, former + 100);
  EXPECT_FALSE(IsLive(group.daemons[1], name, group.now));
}

// Both sides of a partition serve, and only the majority takes all workers.
TEST(SchedulerElectionTest, GroupThatIsCutOffSchedulesPartially) {
  ElectionGroup group(5);
  group.Run(seconds(4));
  ASSERT_EQ(group.daemons[0].role, SchedulerRole::kFull);
  const auto cut = [](std::size_t a, std::size_t b) {
    return (a < 2) == (b < 2);
  };
  group.Run(seconds(2), cut);
  EXPECT_EQ(group.daemons[0].role, SchedulerRole::kPartial);
  EXPECT_EQ(group.daemons[2].role, SchedulerRole::kFull);
  EXPECT_EQ(group.daemons[1].leader, ElectionGroup::Name(0));
  int homes = 0;
  for (int w = 0; w < 100; ++w) {
    const std::string worker = fmt::format("w{}", w);
    if (IsHomeWorker(group.daemons[0], worker, "limon", group.now)) ++homes;
    // A side uses the workers of its own data centre.
    EXPECT_TRUE(IsHomeWorker(group.daemons[2], worker, "cartago", group.now));
  }
  EXPECT_GT(homes, 20);
  EXPECT_LT(homes, 60);
  group.Run(seconds(1));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(2));
}

// When a partition heals, the daemon that was cut off may hear a majority
// before it hears the scheduler. It must not take all workers in between.
TEST(SchedulerElectionTest, HealedGroupLeavesTheSchedulerOfTheMajority) {
  ElectionGroup group(5);
  group.Run(seconds(4));
  const auto cut = [](std::size_t a, std::size_t b) {
    return (a < 3) == (b < 3);
  };
  group.Run(seconds(2), cut);
  ASSERT_EQ(group.daemons[0].role, SchedulerRole::kFull);
  ASSERT_EQ(group.daemons[3].role, SchedulerRole::kPartial);
  const FencingToken claim = group.daemons[0].self.claim;
  const auto heals = [](std::size_t a, std::size_t b) {
    return (a != 0 && b != 0) || (a < 3 && b < 3);
  };
  group.Run(milliseconds(200), heals);
  EXPECT_EQ(group.daemons[3].role, SchedulerRole::kPartial);
  group.Run(milliseconds(200));
  EXPECT_EQ(group.daemons[0].self.claim, claim);
  EXPECT_EQ(group.Schedulers(), 1);
}

// While a partition heals, a partial scheduler must not take the home workers
// of each daemon that it hears again: another scheduler still uses them.
TEST(SchedulerElectionTest, HealingGroupDoesNotTakeMoreWorkers) {
  ElectionGroup group(5);
  group.Run(seconds(4));
  group.Run(seconds(2),
            [](std::size_t a, std::size_t b) { return (a < 3) == (b < 3); });
  const auto homes = [&group] {
    int count = 0;
    for (int w = 0; w < 100; ++w) {
      if (IsHomeWorker(group.daemons[3], fmt::format("w{}", w), "heredia",
                       group.now)) {
        ++count;
      }
    }
    return count;
  };
  ASSERT_EQ(homes(), 0);
  group.Run(milliseconds(300),
            [](std::size_t a, std::size_t b) { return a != 0 && b != 0; });
  EXPECT_EQ(homes(), 0);
  group.Run(milliseconds(600),
            [](std::size_t a, std::size_t b) { return a != 0 && b != 0; });
  EXPECT_GT(homes(), 0);
}

// A group that became the majority without a scheduler in it takes all workers.
TEST(SchedulerElectionTest, PartialSchedulerIsPromotedOnceItHasTheMajority) {
  ElectionGroup group(5);
  group.Run(seconds(4));
  for (const int i : {2, 3, 4}) group.up[i] = false;
  group.Run(seconds(2));
  ASSERT_EQ(group.daemons[0].role, SchedulerRole::kPartial);
  group.up[2] = true;
  group.daemons[2].started = group.now;
  group.daemons[2].self.eligible = false;
  group.Run(milliseconds(500));
  EXPECT_EQ(group.daemons[0].role, SchedulerRole::kPartial);
  group.Run(milliseconds(300));
  EXPECT_EQ(group.daemons[0].role, SchedulerRole::kFull);
}

// A rolling restart must not cost the majority.
TEST(SchedulerElectionTest, StoppingDaemonsDoNotCountAsMembers) {
  ElectionGroup group(6);
  group.Run(seconds(4));
  for (int i = 3; i < 6; ++i) group.daemons[i].self.stopping = true;
  group.Run(milliseconds(200));
  for (int i = 3; i < 6; ++i) group.up[i] = false;
  group.Run(seconds(1));
  EXPECT_EQ(group.daemons[0].role, SchedulerRole::kFull);
}

// The scheduler stops the jobs of daemons that are lost, not of those that
// stop.
TEST(SchedulerElectionTest, StoppingDaemonStaysReachable) {
  ElectionGroup group(3);
  group.Run(seconds(3));
  group.daemons[1].self.stopping = true;
  group.Run(milliseconds(500));
  EXPECT_TRUE(IsReachable(group.daemons[0], ElectionGroup::Name(1), group.now));
  EXPECT_FALSE(IsLive(group.daemons[0], ElectionGroup::Name(1), group.now));
}

// Two daemons that claim at the same time both take workers. The one that stays
// must learn when the other has given up, or it leaves workers unused.
TEST(SchedulerElectionTest, TellsWhenTheLastOtherSchedulerHasEnded) {
  ElectionGroup group(3);
  group.Run(seconds(4));
  SchedulerElection& scheduler = group.daemons[0];
  ASSERT_NE(scheduler.self.claim, 0U);
  DaemonReport rival = group.daemons[1].self;
  rival.claim = scheduler.self.claim - 1;
  RecordReport(&scheduler, rival, group.now);
  EXPECT_FALSE(RunElection(&scheduler, group.now, kWallClock).last_rival_ended);
  EXPECT_NE(scheduler.self.claim, 0U);
  rival.claim = 0;
  RecordReport(&scheduler, rival, group.now);
  EXPECT_TRUE(RunElection(&scheduler, group.now, kWallClock).last_rival_ended);
  EXPECT_FALSE(RunElection(&scheduler, group.now, kWallClock).last_rival_ended);
}

TEST(SchedulerElectionTest, PlannedStopHandsOverWithinOneExchange) {
  ElectionGroup group(4);
  group.Run(seconds(4));
  group.daemons[0].self.stopping = true;
  StepDown(&group.daemons[0], group.now);
  group.Run(milliseconds(150));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(1));
}

// The time of day may jump back between two claims.
TEST(SchedulerElectionTest, TokenGrowsAlthoughTheTimeOfDayJumpsBack) {
  ElectionGroup group(3);
  group.Run(seconds(4));
  const FencingToken former = group.daemons[0].self.claim;
  group.up[0] = false;
  const TimePoint end = group.now + seconds(2);
  for (; group.now < end; group.now += milliseconds(50)) {
    for (int a = 1; a < 3; ++a) {
      RecordReport(&group.daemons[a], group.daemons[3 - a].self, group.now);
      RunElection(&group.daemons[a], group.now, kWallClock - seconds(60));
    }
  }
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_GT(group.daemons[1].self.claim, former);
}

TEST(SchedulerElectionTest, TokensOfDaemonsDifferInTheSameMillisecond) {
  EXPECT_NE(MakeFence(kWallClock, "vm-1", 1), MakeFence(kWallClock, "vm-2", 2));
  // Readers may keep numbers as doubles.
  EXPECT_LT(MakeFence(kWallClock, "vm-1", 1), FencingToken{1} << 53);
}

}  // namespace
}  // namespace sequoiapath
