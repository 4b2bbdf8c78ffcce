// Runs the ledgers of several VMs in virtual time, with message loss, delay and
// reordering, pauses, crashes and roster changes. Guards against tasks that
// together use more units of a worker or team than it has, and against units
// that are never returned.

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sequoiapath/coordination/share_ledger.h"
#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace {

using std::chrono::milliseconds;

constexpr auto kTick = milliseconds(20);
constexpr ShareTimes kTimes{milliseconds(200), milliseconds(600)};
// Longest run time of a task. It is below the longest task lease of kTimes; the
// difference is the margin for the delay of the start message.
constexpr auto kLongestRun = milliseconds(500);
constexpr int kVms = 5;

struct RunningTask {
  std::string worker, team;
  Units units;
};

struct Vm {
  std::string name;
  // Null while the daemon process is not running.
  std::unique_ptr<ShareLedger> ledger;
  std::uint64_t incarnation = 0;
  TimePoint paused_until;
  // False from the end of the VM until it is created again.
  bool exists = true;
  bool permanently_removed = false;
  std::map<std::string, VmState> view;
  std::map<std::string, TimePoint> last_heard;
  std::optional<TimePoint> proposal_due;
  std::uint32_t backlog = 0;
};

struct Cluster {
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) <
             std::pair(this->at, this->order);
    }
  };

  explicit Cluster(unsigned seed) : random(seed) {
    for (int i = 0; i < 6; ++i) {
      WorkerSpec worker;
      worker.name = "w" + std::to_string(i);
      worker.data_centre = "dc";
      worker.slots = 4;
      worker.accelerators = i < 2 ? 2 : 0;
      this->document.workers.push_back(worker);
    }
    this->document.teams = {{"a", 9, 1}, {"b", 40, 1}};
    for (int i = 0; i < kVms; ++i) {
      Vm& vm = this->vms["vm" + std::to_string(i)];
      vm.name = "vm" + std::to_string(i);
      this->listed.insert(vm.name);
      this->StartProcess(&vm);
      this->ScheduleAfter(kTick, [this, &vm] { this->Tick(&vm); });
    }
  }

  int RandomBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(this->random);
  }
  bool RandomOneIn(int n) { return this->faults && this->RandomBelow(n) == 0; }

  void ScheduleAfter(Duration delay, std::function<void()> run) {
    this->events.push({this->now + delay, this->order++, std::move(run)});
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (!this->events.empty() && this->events.top().at <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->now = end;
  }

  // Runs `action` on the process of a VM. If the process is paused, the action
  // runs after the pause. Drops the action if no process runs or, unless
  // `incarnation` is zero, if the process has another incarnation.
  void RunOnProcess(const std::string& name, std::uint64_t incarnation,
                    const std::function<void(Vm*)>& action) {
    Vm* vm = &this->vms.at(name);
    if (vm->ledger == nullptr ||
        (incarnation != 0 && vm->incarnation != incarnation)) {
      return;
    }
    if (vm->paused_until <= this->now) return action(vm);
    this->ScheduleAfter(vm->paused_until - this->now, [=, this] {
      this->RunOnProcess(name, incarnation, action);
    });
  }

  // Sends a message, which may be lost, delayed and reordered at random.
  void Send(const std::string& to, const std::function<void(Vm*)>& action,
            std::uint64_t incarnation = 0) {
    if (this->RandomOneIn(15)) return;
    const auto delay =
        milliseconds(this->RandomOneIn(20) ? this->RandomBelow(500)
                                           : 1 + this->RandomBelow(10));
    this->ScheduleAfter(
        delay, [=, this] { this->RunOnProcess(to, incarnation, action); });
  }

  void StartProcess(Vm* vm) {
    const bool known = this->roster.epoch > 0 &&
                       (std::count(this->roster.members.begin(),
                                   this->roster.members.end(), vm->name) +
                            std::count(this->roster.former.begin(),
                                       this->roster.former.end(), vm->name) >
                        0);
    vm->ledger = std::make_unique<ShareLedger>();
    vm->incarnation = (++this->processes) << 32;
    vm->view.clear();
    vm->last_heard.clear();
    vm->proposal_due.reset();
    vm->paused_until = this->now;
    InitializeLedger(vm->ledger.get(), vm->name, kTimes, vm->incarnation, known,
                     this->now);
    SetResources(vm->ledger.get(), this->document, "dc", this->now);
  }

  void Tick(Vm* vm) {
    this->ScheduleAfter(kTick, [this, vm] { this->Tick(vm); });
    this->InjectFaults(vm);
    if (vm->ledger == nullptr || vm->paused_until > this->now) return;
    this->ReadPlatform(vm);
    UpdateOwnershipAndLoans(vm->ledger.get(), this->now);
    this->StartTasks(vm);
    this->ExchangeLoans(vm);
    const ShareReport report =
        MakeReport(vm->ledger.get(), ++this->sequence, vm->backlog, this->now);
    for (const auto& [name, other] : this->vms) {
      if (name == vm->name) continue;
      this->Send(name, [this, report](Vm* to) {
        to->last_heard[report.vm] = this->now;
        ReceiveReport(to->ledger.get(), report, this->now);
      });
    }
  }

  // Removes a VM permanently, so that the other VMs must acquire its units.
  void RemoveVm(const std::string& name) {
    Vm& vm = this->vms.at(name);
    vm.permanently_removed = true;
    vm.ledger.reset();
    this->listed.erase(name);
  }

  void InjectFaults(Vm* vm) {
    if (vm->permanently_removed) return;
    if (this->RandomOneIn(150)) {
      // A planned stop that is cancelled: the VM is removed from the roster
      // while its process runs.
      this->leaving.insert(vm->name);
      this->ScheduleAfter(milliseconds(200 + this->RandomBelow(2000)),
                          [this, vm] { this->leaving.erase(vm->name); });
    }
    if (vm->ledger != nullptr && this->RandomOneIn(300)) {
      vm->paused_until = this->now + milliseconds(this->RandomBelow(2500));
    }
    if (vm->ledger != nullptr && this->RandomOneIn(200)) vm->ledger.reset();
    if (vm->ledger == nullptr && vm->exists && this->RandomOneIn(6)) {
      // The VM itself ends and is removed from the list after a delay. It is
      // created again later.
      vm->exists = false;
      this->ScheduleAfter(milliseconds(this->RandomBelow(500)),
                          [this, vm] { this->listed.erase(vm->name); });
      this->ScheduleAfter(milliseconds(500 + this->RandomBelow(3000)),
                          [this, vm] {
                            vm->exists = true;
                            if (!vm->permanently_removed) {
                              this->listed.insert(vm->name);
                            }
                          });
    }
    if (vm->ledger == nullptr && vm->exists &&
        (!this->faults || this->RandomOneIn(8))) {
      this->StartProcess(vm);
    }
  }

  void ReadPlatform(Vm* vm) {
    // VMs skip reads at random, so that they receive a change at different
    // times.
    if (this->RandomOneIn(2)) return;
    SetRoster(vm->ledger.get(), this->roster, this->now);
    SetListedVms(vm->ledger.get(), this->listed, this->now);
    for (const auto& [name, other] : this->vms) {
      auto [it, added] = vm->view.try_emplace(name);
      const bool is_listed = this->listed.contains(name);
      if (added || is_listed != it->second.listed) {
        (is_listed ? it->second.listed_since : it->second.unlisted_since) =
            this->now;
      }
      it->second.listed = is_listed;
      it->second.leaving = this->leaving.contains(name);
      it->second.live = name == vm->name ||
                        (vm->last_heard.contains(name) &&
                         this->now - vm->last_heard[name] < milliseconds(300));
    }
    const RosterTimes times{milliseconds(100), HoldDown(kTimes),
                            milliseconds(100)};
    const auto next = ProposeRoster(vm->name, vm->ledger->roster, vm->view,
                                    times, &vm->proposal_due, this->now);
    if (next && this->roster.epoch + 1 == next->epoch) {
      this->roster = *next;  // Compare-and-swap.
    }
  }

  void StartTasks(Vm* vm) {
    vm->backlog = 0;
    if (!this->load || this->RandomBelow(3) == 0) return;
    for (int i = this->RandomBelow(8); i > 0; --i) {
      const std::string team = this->RandomBelow(2) == 0 ? "a" : "b";
      Placement placement;
      placement.demand.accelerators = this->RandomBelow(5) == 0 ? 1 : 0;
      const auto held =
          AcquireUnits(vm->ledger.get(), team, placement, this->now,
                       [](const std::string&) { return true; });
      if (held) {
        this->RunTask(vm, team, *held);
      } else {
        ++vm->backlog;
        this->Borrow(vm, team, placement);
      }
    }
  }

  void RunTask(Vm* vm, const std::string& team, const HeldUnits& held) {
    const int id = this->next_task++;
    this->running[id] = {held.worker, team, held.units};
    this->CheckUnitsInUse();
    const auto run = this->RandomBelow(4) == 0
                         ? kLongestRun
                         : milliseconds(1 + this->RandomBelow(200));
    const bool answered = !this->RandomOneIn(10);
    this->ScheduleAfter(run, [this, id] { this->running.erase(id); });
    const auto known =
        answered ? run + milliseconds(1) : kLongestRun + milliseconds(10);
    this->ScheduleAfter(known, [this, vm, held, incarnation = vm->incarnation] {
      this->RunOnProcess(vm->name, incarnation, [held](Vm* owner) {
        ReleaseUnits(owner->ledger.get(), held);
      });
    });
  }

  void CheckUnitsInUse() {
    ++this->starts;
    std::map<std::string, Units> used;
    std::map<std::string, int> teams;
    for (const auto& [id, task] : this->running) {
      used[task.worker] = used[task.worker] + task.units;
      ++teams[task.team];
    }
    for (const WorkerSpec& worker : this->document.workers) {
      SEQUOIAPATH_ASSERT(
          Covers({worker.slots, worker.accelerators}, used[worker.name]),
          "{} slots of worker {} are in use", used[worker.name].slots,
          worker.name);
    }
    for (const TeamSpec& team : this->document.teams) {
      SEQUOIAPATH_ASSERT(teams[team.name] <= team.quota,
                         "team {} runs {} tasks", team.name, teams[team.name]);
    }
  }

  std::string RandomOtherVm(const Vm* vm) {
    const std::string name = "vm" + std::to_string(this->RandomBelow(kVms));
    return name == vm->name ? "vm0" : name;
  }

  void Borrow(Vm* vm, const std::string& team, const Placement& placement) {
    const std::string lender = this->RandomOtherVm(vm);
    const BorrowRequest request{vm->name,
                                {{placement, 1 + this->RandomBelow(3), team,
                                  1 + this->RandomBelow(3)}}};
    this->Send(lender, [=, this, sent = this->now, name = vm->name,
                        incarnation = vm->incarnation](Vm* to) {
      for (const Grant& grant :
           LendUnits(to->ledger.get(), request, this->now)) {
        ++this->grants;
        this->Send(
            name,
            [=, this](Vm* borrower) {
              ReceiveGrant(borrower->ledger.get(), lender, grant, sent,
                           this->now);
            },
            incarnation);
      }
    });
  }

  void ExchangeLoans(Vm* vm) {
    ShareLedger* ledger = vm->ledger.get();
    // Idle units are returned in only some of the ticks, so that loans are also
    // renewed and also expire.
    if (vm->backlog == 0 && (!this->load || this->RandomBelow(10) == 0)) {
      ReturnIdleUnits(ledger);
    }
    for (const LoanReturn& loan_return : DrainReturns(ledger)) {
      this->Send(loan_return.lender, [loan_return, name = vm->name](Vm* to) {
        ReceiveReturn(to->ledger.get(), name, loan_return);
      });
    }
    for (const auto& [lender, loans] :
         LoansToRenew(*ledger, vm->backlog > 0, this->now)) {
      this->Renew(vm, lender, loans);
    }
    if (vm->backlog < 3) return;
    for (const auto& [borrower, loans] :
         RecallLoans(ledger, [](const std::string&) { return true; })) {
      this->Send(borrower, [loans = loans, name = vm->name](Vm* to) {
        for (const LoanId loan : loans) {
          ReceiveRecall(to->ledger.get(), name, loan);
        }
      });
    }
  }

  void Renew(Vm* vm, const std::string& lender,
             const std::vector<LoanId>& loans) {
    this->Send(lender, [=, this, sent = this->now, name = vm->name,
                        incarnation = vm->incarnation](Vm* to) {
      const auto renewed = RenewLoans(to->ledger.get(), name, loans, this->now);
      this->Send(
          name,
          [=](Vm* borrower) {
            for (const LoanId loan : renewed) {
              ReceiveRenewal(borrower->ledger.get(), lender, loan,
                             kTimes.loan_duration, sent);
            }
          },
          incarnation);
    });
  }

  std::mt19937 random;
  TimePoint now{std::chrono::hours(1)};
  std::priority_queue<Event> events;
  std::uint64_t order = 0, sequence = 0, processes = 0;
  bool faults = true, load = true;
  Document document;
  Roster roster;
  std::set<std::string> listed, leaving;
  std::map<std::string, Vm> vms;
  std::map<int, RunningTask> running;
  int next_task = 0, starts = 0, grants = 0;
};

// Checks that no unit is in use or lent and that each resource has one owner.
// Must be called long enough after the last fault.
void ExpectNoLeak(const Cluster& cluster) {
  std::map<std::string, int> holders;
  for (const auto& [name, vm] : cluster.vms) {
    if (vm.permanently_removed) continue;
    ASSERT_NE(vm.ledger, nullptr) << name;
    EXPECT_TRUE(vm.ledger->lent.empty()) << name;
    EXPECT_TRUE(vm.ledger->borrowed.empty()) << name;
    EXPECT_TRUE(vm.ledger->pending.empty()) << name;
    EXPECT_TRUE(vm.ledger->releasing.empty()) << name;
    for (const auto& [id, pool] : vm.ledger->index.pools) {
      EXPECT_EQ(pool.in_use, Units{}) << name << " " << ToString(pool.resource);
      ++holders[ToString(pool.resource)];
    }
  }
  EXPECT_EQ(holders.size(), 6 + 2 * kQuotaParts);
  for (const auto& [resource, count] : holders) EXPECT_EQ(count, 1) << resource;
}

class ShareExchangeTest : public testing::TestWithParam<unsigned> {};

TEST_P(ShareExchangeTest, UnitsInUseStayBoundedAndAllUnitsAreReturned) {
  Cluster cluster(GetParam());
  cluster.RunFor(std::chrono::seconds(60));
  cluster.faults = false;
  cluster.load = false;
  cluster.RemoveVm("vm4");
  cluster.RunFor(std::chrono::seconds(10));
  EXPECT_GT(cluster.starts, 1000);
  EXPECT_GT(cluster.grants, 50);
  EXPECT_GT(cluster.roster.epoch, 3U);
  ExpectNoLeak(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShareExchangeTest, testing::Range(1U, 41U));

}  // namespace
}  // namespace sequoiapath
