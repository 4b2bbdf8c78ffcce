// Tests which daemons exchange heartbeats: their number grows in proportion to
// the daemons, a standby replaces the scheduler as quickly as when all daemons
// exchanged heartbeats, and a data centre that is cut off goes on scheduling.

#include "sequoiapath/coordination/daemon_monitoring.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <string>
#include <vector>

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kWallClock{1'790'000'000'000};
constexpr std::uint32_t kStrongWeight = 500;
constexpr std::uint32_t kWeakWeight = 120;
constexpr int kStrongPerDataCentre = 3;

// Daemons that exchange heartbeats in virtual time. A heartbeat and its reply
// arrive at once, or not at all.
class HeartbeatGroup {
 public:
  HeartbeatGroup(int count, int data_centres) : data_centres(data_centres) {
    std::vector<ListedDaemon> listed;
    listed.reserve(count);
    for (int i = 0; i < count; ++i) {
      listed.push_back({Name(i),
                        DataCentre(i),
                        {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)}});
    }
    for (int i = 0; i < count; ++i) {
      SchedulerElection election;
      election.self.vm = Name(i);
      election.self.data_centre = DataCentre(i);
      election.self.endpoint = listed[i].endpoint;
      election.self.incarnation = static_cast<std::uint64_t>(i) + 1;
      election.self.weight =
          i < kStrongPerDataCentre * data_centres ? kStrongWeight : kWeakWeight;
      election.started = kStart;
      SetListedDaemons(&election, listed);
      this->daemons.push_back(election);
    }
    this->up.assign(count, true);
    this->sent.assign(count, 0);
  }

  static std::string Name(int i) { return fmt::format("vm-{:03}", i); }
  static int Index(const std::string& vm) { return std::stoi(vm.substr(3)); }
  int DataCentreIndex(int i) const { return i % this->data_centres; }
  std::string DataCentre(int i) const {
    return fmt::format("dc-{}", this->DataCentreIndex(i));
  }
  int Count() const { return static_cast<int>(this->daemons.size()); }

  // Cuts a data centre off from the others; none if it is -1.
  void CutOff(int data_centre) { this->cut_off = data_centre; }

  void Run(Duration length) {
    const TimePoint end = this->now + length;
    for (; this->now < end; this->now += milliseconds(50)) {
      for (int i = 0; i < this->Count(); ++i) {
        if (this->up[i]) this->Tick(i);
      }
    }
  }

  // Returns the daemons that schedule.
  std::vector<int> Schedulers() const {
    std::vector<int> schedulers;
    for (int i = 0; i < this->Count(); ++i) {
      if (this->up[i] && this->daemons[i].self.claim != 0) {
        schedulers.push_back(i);
      }
    }
    return schedulers;
  }

  // Returns how many of the daemons that run follow `scheduler`.
  int Followers(int scheduler) const {
    int count = 0;
    for (int i = 0; i < this->Count(); ++i) {
      if (this->up[i] && this->daemons[i].leader == Name(scheduler)) ++count;
    }
    return count;
  }

  int Up() const {
    return static_cast<int>(std::count(this->up.begin(), this->up.end(), true));
  }

  // Returns the number of heartbeats sent since the latest call.
  int TakeSent() {
    const int total = std::accumulate(this->sent.begin(), this->sent.end(), 0);
    this->sent.assign(this->sent.size(), 0);
    return total;
  }

  std::vector<SchedulerElection> daemons;
  std::vector<bool> up;
  std::vector<int> sent;  // Heartbeats, by sender.
  // Ended processes refuse connections instead of being silent.
  bool refuses = false;
  TimePoint now = kStart;

 private:
  bool Connected(int a, int b) const {
    const bool a_inside = this->DataCentreIndex(a) == this->cut_off;
    const bool b_inside = this->DataCentreIndex(b) == this->cut_off;
    return a_inside == b_inside;
  }

  void RunElectionOf(int i) {
    RunElection(&this->daemons[i], this->now,
                kWallClock + std::chrono::duration_cast<milliseconds>(
                                 this->now - kStart));
  }

  // Records a report as EntryDaemon does.
  void Receive(int i, const DaemonReport& report) {
    const bool decisive = ChangesElection(this->daemons[i], report, this->now);
    RecordReport(&this->daemons[i], report, this->now);
    if (decisive) this->RunElectionOf(i);
  }

  void Tick(int i) {
    const bool scheduled = this->daemons[i].self.claim != 0;
    this->RunElectionOf(i);
    const bool schedules = this->daemons[i].self.claim != 0;
    for (const std::string& vm : DueHeartbeats(this->daemons[i], this->now)) {
      this->Exchange(i, Index(vm));
    }
    if (scheduled == schedules) return;
    for (int peer = 0; peer < this->Count(); ++peer) {
      if (peer != i) this->Exchange(i, peer);
    }
  }

  void Exchange(int from, int to) {
    RecordHeartbeatSent(&this->daemons[from], Name(to), this->now);
    ++this->sent[from];
    if (!this->Connected(from, to)) return;
    if (this->up[to]) {
      this->Receive(to, this->daemons[from].self);
      this->Receive(from, this->daemons[to].self);
    } else if (this->refuses) {
      RecordDaemonFailure(&this->daemons[from], Name(to),
                          IncarnationOf(this->daemons[from], Name(to)));
    }
  }

  int data_centres;
  int cut_off = -1;
};

class DaemonMonitoringTest : public testing::TestWithParam<int> {
 protected:
  static constexpr int kDataCentres = 5;

  void SetUp() override {
    this->group.Run(seconds(3));
    this->scheduler = 0;
    ASSERT_EQ(this->group.Schedulers(), std::vector<int>{this->scheduler});
    ASSERT_EQ(this->group.Followers(this->scheduler), this->group.Count());
  }

  // Stops the scheduler, and its standbys too if `standbys` is true.
  void StopScheduler(bool standbys) {
    this->group.up[this->scheduler] = false;
    if (!standbys) return;
    for (const std::string& vm :
         this->group.daemons[this->scheduler].self.standbys) {
      this->group.up[HeartbeatGroup::Index(vm)] = false;
    }
  }

  // Expects that one daemon schedules for all that run.
  void ExpectOneScheduler() {
    ASSERT_EQ(this->group.Schedulers().size(), 1U);
    EXPECT_EQ(this->group.Followers(this->group.Schedulers()[0]),
              this->group.Up());
  }

  HeartbeatGroup group{GetParam(), kDataCentres};
  int scheduler = 0;
};

// Guards against heartbeats whose number grows with the square of the daemons.
// The scheduler and a standby in each data centre send five a second to each.
TEST_P(DaemonMonitoringTest, HeartbeatsGrowInProportionToTheDaemons) {
  constexpr int kMonitors = kDataCentres + 1;
  constexpr int kHeartbeatsPerSecond = 5;
  this->group.TakeSent();
  this->group.Run(seconds(10));
  EXPECT_LE(this->group.TakeSent(),
            10 * kHeartbeatsPerSecond * kMonitors * this->group.Count());
}

// Guards against a data centre without a daemon that may replace the scheduler
// at once.
TEST_P(DaemonMonitoringTest, EachDataCentreHasAStandby) {
  const std::vector<std::string>& standbys =
      this->group.daemons[this->scheduler].self.standbys;
  std::set<int> data_centres;
  for (const std::string& vm : standbys) {
    const int i = HeartbeatGroup::Index(vm);
    data_centres.insert(this->group.DataCentreIndex(i));
    EXPECT_TRUE(this->group.daemons[i].self.eligible) << vm;
    EXPECT_EQ(this->group.daemons[i].self.weight, kStrongWeight) << vm;
  }
  EXPECT_EQ(data_centres.size(), static_cast<std::size_t>(kDataCentres));
}

// Guards against a takeover that is slower than with heartbeats between all
// daemons: a silent scheduler is replaced before the leases of its runs expire.
TEST_P(DaemonMonitoringTest, StandbyReplacesASilentScheduler) {
  this->StopScheduler(false);
  this->group.Run(milliseconds(800));
  this->ExpectOneScheduler();
  EXPECT_EQ(this->group.daemons[this->group.Schedulers()[0]].role,
            SchedulerRole::kFull);
}

// Guards against followers that stay with a scheduler whose process has ended,
// because they do not send it heartbeats themselves.
TEST_P(DaemonMonitoringTest, StandbyReplacesAnEndedSchedulerAtOnce) {
  this->group.refuses = true;
  this->StopScheduler(false);
  this->group.Run(milliseconds(400));
  this->ExpectOneScheduler();
}

// Guards against daemons that wait for a standby without end.
TEST_P(DaemonMonitoringTest, DaemonsElectASchedulerWithoutAnyStandby) {
  this->StopScheduler(true);
  // The silence, the wait for a standby and the discovery, with a margin.
  this->group.Run(milliseconds(600 + 300 + 500 + 300));
  this->ExpectOneScheduler();
}

// Guards against a data centre that is cut off and has no scheduler, and
// against two schedulers when it is reached again.
TEST_P(DaemonMonitoringTest, DataCentreThatIsCutOffSchedulesPartially) {
  for (const int data_centre : {0, 3}) {
    this->group.CutOff(data_centre);
    this->group.Run(milliseconds(800));
    const std::vector<int> schedulers = this->group.Schedulers();
    ASSERT_EQ(schedulers.size(), 2U);
    for (const int i : schedulers) {
      const bool inside = this->group.DataCentreIndex(i) == data_centre;
      EXPECT_EQ(this->group.daemons[i].role,
                inside ? SchedulerRole::kPartial : SchedulerRole::kFull);
    }
    EXPECT_EQ(this->group.Followers(schedulers[0]) +
                  this->group.Followers(schedulers[1]),
              this->group.Count());
    this->group.Run(seconds(4));
    this->group.CutOff(-1);
    this->group.Run(milliseconds(500));
    this->ExpectOneScheduler();
    this->group.Run(seconds(3));
  }
}

// Guards against requests that TCP delivers when a cut ends and that are taken
// as current: every daemon notices the cut for as long as it lasts.
TEST_P(DaemonMonitoringTest, EveryDaemonNoticesACutUntilItEnds) {
  this->group.CutOff(2);
  this->group.Run(seconds(1));
  for (int step = 0; step < 20; ++step) {
    for (int i = 0; i < this->group.Count(); ++i) {
      ASSERT_TRUE(
          AnyContactUnreachable(this->group.daemons[i], this->group.now))
          << HeartbeatGroup::Name(i) << " after " << step;
    }
    this->group.Run(milliseconds(250));
  }
  this->group.CutOff(-1);
  this->group.Run(seconds(2));
  for (int i = 0; i < this->group.Count(); ++i) {
    EXPECT_FALSE(AnyContactUnreachable(this->group.daemons[i], this->group.now))
        << HeartbeatGroup::Name(i);
  }
}

// Guards against a disruption that daemons see whenever the standbys change.
TEST_P(DaemonMonitoringTest, ChangedStandbysAreNoDisruption) {
  const std::string former =
      this->group.daemons[this->scheduler].self.standbys.front();
  const int stopped = HeartbeatGroup::Index(former);
  this->group.daemons[stopped].self.stopping = true;
  for (int step = 0; step < 20; ++step) {
    this->group.Run(milliseconds(50));
    for (int i = 0; i < this->group.Count(); ++i) {
      ASSERT_FALSE(
          AnyContactUnreachable(this->group.daemons[i], this->group.now))
          << HeartbeatGroup::Name(i) << " after " << step;
    }
  }
  const std::vector<std::string>& standbys =
      this->group.daemons[this->scheduler].self.standbys;
  EXPECT_EQ(std::find(standbys.begin(), standbys.end(), former),
            standbys.end());
}

// Guards against followers that claim the scheduler role without knowing which
// daemons can be reached.
TEST_P(DaemonMonitoringTest, OnlyDaemonsThatMonitorAllAreEligible) {
  int eligible = 0;
  for (const SchedulerElection& daemon : this->group.daemons) {
    if (daemon.self.eligible) ++eligible;
    EXPECT_TRUE(daemon.monitors_all || !daemon.self.eligible);
  }
  EXPECT_EQ(eligible, kDataCentres + 1);
}

INSTANTIATE_TEST_SUITE_P(Daemons, DaemonMonitoringTest,
                         testing::Values(25, 97));

}  // namespace
}  // namespace sequoiapath
