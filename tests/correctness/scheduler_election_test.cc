// Tests the election of the scheduling daemon: there is one at a time while all
// daemons are connected, it is replaced quickly, a group that is separated from
// the majority does not claim all workers, and fencing tokens only grow.

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

// A group of daemons that exchange reports in virtual time.
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

  // Advances the time by `length` in steps of 50 ms. In each step daemon `a`
  // receives the report of daemon `b` if `connected(a, b)` returns true.
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

// Guards against several schedulers, or daemons that follow different ones.
TEST(SchedulerElectionTest, OneDaemonSchedulesForAll) {
  ElectionGroup group(8);
  group.Run(seconds(4));
  EXPECT_EQ(group.Schedulers(), 1);
  for (const auto& daemon : group.daemons) {
    EXPECT_EQ(daemon.leader, group.daemons[0].leader);
    EXPECT_FALSE(daemon.leader.empty());
    EXPECT_EQ(daemon.self.scheduler, daemon.leader);
  }
}

// Guards against two schedulers that use every worker for as long as both run:
// daemons that claim in the same millisecond have equal fencing tokens if the
// hashes in the tokens collide, and no worker rejects either of them.
TEST(SchedulerElectionTest, EqualTokensLeaveOneScheduler) {
  ElectionGroup group(3);
  group.Run(seconds(2));
  ASSERT_NE(group.daemons[0].self.claim, 0U);
  group.daemons[1].self.claim = group.daemons[0].self.claim;
  group.daemons[1].role = SchedulerRole::kFull;
  group.daemons[1].leader = ElectionGroup::Name(1);
  group.Run(seconds(1));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[0].leader, group.daemons[1].leader);
  EXPECT_EQ(group.daemons[0].leader, group.daemons[2].leader);
}

// Guards against a delayed restart of the service after all daemons have lost
// power: they elect a scheduler once each has received every other's report.
TEST(SchedulerElectionTest, DaemonsThatStartTogetherElectAtOnce) {
  ElectionGroup group(8);
  group.Run(milliseconds(400));
  EXPECT_EQ(group.Schedulers(), 1);
}

// Guards against waiting without limit for a listed daemon that does not run.
TEST(SchedulerElectionTest, MissingDaemonDelaysTheFirstClaimOnly) {
  ElectionGroup group(8);
  group.up[5] = false;
  group.Run(milliseconds(400));
  EXPECT_EQ(group.Schedulers(), 0);
  group.Run(milliseconds(700));
  EXPECT_EQ(group.Schedulers(), 1);
}

// Guards against a scheduler with too little CPU time for all workers after all
// daemons have started together.
TEST(SchedulerElectionTest, StrongestDaemonSchedulesAfterACommonStart) {
  ElectionGroup group(6, 120);
  group.daemons[4].self.weight = 500;
  group.Run(seconds(4));
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(4));
}

// Guards against keeping a scheduler with too little CPU time when a daemon of
// much greater weight starts later.
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

// Guards against the loss of runs when a scheduler stops reporting: it is
// replaced before the leases of its runs expire.
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

// Guards against waiting for `silence_timeout` when connection failures show
// that the process of the scheduler has ended.
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

// Guards against a second scheduler after a restart of all daemons. Connections
// to the previous processes fail late, and such a failure must not make the new
// process of the same VM count as ended.
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

// Guards against a partition in which a side stops scheduling or the minority
// claims all workers.
TEST(SchedulerElectionTest, GroupThatIsCutOffSchedulesPartially) {
  ElectionGroup group(5);
  group.Run(seconds(4));
  ASSERT_EQ(group.daemons[0].role, SchedulerRole::kFull);
  const auto separated = [](std::size_t a, std::size_t b) {
    return (a < 2) == (b < 2);
  };
  group.Run(seconds(2), separated);
  EXPECT_EQ(group.daemons[0].role, SchedulerRole::kPartial);
  EXPECT_EQ(group.daemons[2].role, SchedulerRole::kFull);
  EXPECT_EQ(group.daemons[1].leader, ElectionGroup::Name(0));
  int homes = 0;
  for (int w = 0; w < 100; ++w) {
    const std::string worker = fmt::format("w{}", w);
    if (IsHomeWorker(group.daemons[0], worker, "limon", group.now)) ++homes;
    // The majority uses the workers of its own data centre.
    EXPECT_TRUE(IsHomeWorker(group.daemons[2], worker, "cartago", group.now));
  }
  EXPECT_GT(homes, 20);
  EXPECT_LT(homes, 60);
  group.Run(seconds(1));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(2));
}

// Guards against two schedulers for all workers when a partition ends. A daemon
// of the minority may receive the reports of a majority before it receives that
// of the scheduler, and must not claim all workers in between.
TEST(SchedulerElectionTest, HealedGroupLeavesTheSchedulerOfTheMajority) {
  ElectionGroup group(5);
  group.Run(seconds(4));
  const auto separated = [](std::size_t a, std::size_t b) {
    return (a < 3) == (b < 3);
  };
  group.Run(seconds(2), separated);
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

// Guards against two schedulers for the same worker while a partition ends.
// When a partial scheduler receives reports of another daemon again, a
// different scheduler still uses the home workers of that daemon.
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

// Guards against a partial scheduler that stays partial after its group has
// become the majority, which would leave workers unused.
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

// Guards against the loss of the majority in a rolling restart, if stopping
// daemons counted as members.
TEST(SchedulerElectionTest, StoppingDaemonsDoNotCountAsMembers) {
  ElectionGroup group(6);
  group.Run(seconds(4));
  for (int i = 3; i < 6; ++i) group.daemons[i].self.stopping = true;
  group.Run(milliseconds(200));
  for (int i = 3; i < 6; ++i) group.up[i] = false;
  group.Run(seconds(1));
  EXPECT_EQ(group.daemons[0].role, SchedulerRole::kFull);
}

// Guards against stopping the jobs of a daemon that is stopping as planned. The
// scheduler stops only the jobs of daemons that it cannot reach.
TEST(SchedulerElectionTest, StoppingDaemonStaysReachable) {
  ElectionGroup group(3);
  group.Run(seconds(3));
  group.daemons[1].self.stopping = true;
  group.Run(milliseconds(500));
  EXPECT_TRUE(IsReachable(group.daemons[0], ElectionGroup::Name(1), group.now));
  EXPECT_FALSE(IsLive(group.daemons[0], ElectionGroup::Name(1), group.now));
}

// Guards against unused workers after two daemons claimed at the same time and
// both claimed workers. The daemon that keeps its claim must detect that the
// other one gave up its claim.
TEST(SchedulerElectionTest, TellsWhenTheLastOtherSchedulerHasEnded) {
  ElectionGroup group(3);
  group.Run(seconds(4));
  SchedulerElection& scheduler = group.daemons[0];
  ASSERT_NE(scheduler.self.claim, 0U);
  DaemonReport other = group.daemons[1].self;
  other.claim = scheduler.self.claim - 1;
  RecordReport(&scheduler, other, group.now);
  EXPECT_FALSE(RunElection(&scheduler, group.now, kWallClock)
                   .last_other_scheduler_ended);
  EXPECT_NE(scheduler.self.claim, 0U);
  other.claim = 0;
  RecordReport(&scheduler, other, group.now);
  EXPECT_TRUE(RunElection(&scheduler, group.now, kWallClock)
                  .last_other_scheduler_ended);
  EXPECT_FALSE(RunElection(&scheduler, group.now, kWallClock)
                   .last_other_scheduler_ended);
}

// Guards against a gap without a scheduler during a planned stop.
TEST(SchedulerElectionTest, PlannedStopHandsOverWithinOneExchange) {
  ElectionGroup group(4);
  group.Run(seconds(4));
  group.daemons[0].self.stopping = true;
  StepDown(&group.daemons[0], group.now);
  group.Run(milliseconds(150));
  EXPECT_EQ(group.Schedulers(), 1);
  EXPECT_EQ(group.daemons[0].leader, ElectionGroup::Name(1));
}

// Guards against a fencing token that workers reject because the time of day
// was set back between two claims.
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

// Guards against two daemons with the same fencing token, and against tokens
// that a reader which stores numbers as doubles would round.
TEST(SchedulerElectionTest, TokensOfDaemonsDifferInTheSameMillisecond) {
  EXPECT_NE(MakeFencingToken(kWallClock, "vm-1", 1),
            MakeFencingToken(kWallClock, "vm-2", 2));
  // Doubles represent integers below 2^53 exactly.
  EXPECT_LT(MakeFencingToken(kWallClock, "vm-1", 1), FencingToken{1} << 53);
}

}  // namespace
}  // namespace sequoiapath
