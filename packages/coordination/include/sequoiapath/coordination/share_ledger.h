// Defines ShareLedger, the account of the worker slots and quota units that
// this VM owns, has lent, has borrowed and uses.

#ifndef SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_
#define SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sequoiapath/coordination/roster.h"
#include "sequoiapath/coordination/unit_pool.h"
#include "sequoiapath/protocol/document.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A team's quota in a data centre is divided into this many parts, each owned
// by one VM. More parts divide it more evenly over the 8 VMs; each part costs
// one pool.
constexpr int kQuotaParts = 32;

// What a task needs of a worker and where it may run.
struct Placement {
  Demand demand;
  std::vector<std::string> places;  // Data centres or racks; empty: anywhere.

  friend bool operator==(const Placement&, const Placement&) = default;
};

struct PlacementHash {
  std::size_t operator()(const Placement& placement) const;
};

// Units taken from the ledger for one task.
struct HeldUnits {
  std::string worker;
  Units units;
  PoolId worker_pool = 0;
  PoolId quota_pool = 0;  // Zero if the team has no quota.
};

struct ShareTimes {
  Duration loan_duration = std::chrono::seconds(2);
  // Upper bound of all task leases, with the margin for a late start.
  Duration longest_task_lease = std::chrono::seconds(10);
};

// Returns the time after which a lost VM's units are free.
Duration HoldDown(const ShareTimes& times);

// The part of a heartbeat about ownership and load.
struct ShareReport {
  std::string vm;
  std::uint64_t sequence = 0;  // Increases over all processes of the VM.
  std::uint64_t roster_epoch = 0;
  // A restarted process does not know which units its predecessor still uses,
  // so it counts as holding every one until this is false.
  bool settling = false;
  std::vector<ResourceId> unreleased;     // Owned before, not released yet.
  Units free;                             // Worker units that it would lend.
  std::map<std::string, int> free_quota;  // Quota units by team, no zeros.
  std::uint32_t backlog = 0;              // Waiting tasks.
  Units units;                            // See UsableUnits.
};

// A request for units. A task may lack worker units, quota units or both.
struct BorrowDemand {
  Placement placement;
  int worker_tasks = 0;  // Tasks of this placement that lack a worker.
  std::string team;
  int quota_units = 0;
};
struct BorrowRequest {
  std::string borrower;
  std::vector<BorrowDemand> demands;
};

struct Grant {
  LoanId loan = 0;
  ResourceId resource;
  Units units;
  Duration duration{};  // The borrower counts from when it sent its request.
};

// Tells the lender how much of a loan the borrower keeps. What is kept never
// grows, so copies and reordered messages do no harm.
struct LoanReturn {
  std::string lender;
  LoanId loan = 0;
  Units kept;
};

struct LentLoan {
  std::string borrower;
  PoolId pool = 0;
  Units units;
  TimePoint reclaim_time;  // Loan end plus longest task lease.
  bool recalled = false;
};

// Whether this VM may use a resource that the roster gave to it.
enum class Ownership { kPending, kHeld, kReleasing };
struct OwnedResource {
  Ownership ownership = Ownership::kPending;
  PoolId pool = 0;  // Zero while pending.
};

struct ShareLedger {
  std::string self;
  ShareTimes times;
  TimePoint settled_at;  // Start of the process plus hold-down, if restarted.
  Roster roster;
  // Rosters seen in sequence up to the current one, to tell which VMs could
  // own a resource since a report.
  std::map<std::uint64_t, Roster> roster_history;
  std::map<std::string, ShareReport> reports;
  std::map<std::string, TimePoint> unlisted_since;  // From the platform's list.

  std::map<std::string, WorkerSpec> workers;  // All of the document.
  std::map<ResourceId, Units> resources;      // Capacities of the data centre.
  std::map<ResourceId, OwnedResource> owned;
  std::set<ResourceId> pending;
  std::set<ResourceId> releasing;

  UnitIndex index;
  std::map<std::string, std::size_t> quota_classes;  // By team with a quota.
  struct Candidate {
    std::size_t unit_class = 0;
    Units units;
  };
  struct PlacementClasses {
    std::vector<Candidate> candidates;
    std::vector<Units> units_by_class;  // No slots: not a candidate.
  };
  std::unordered_map<Placement, PlacementClasses, PlacementHash>
      placement_classes;
  std::size_t classes_mapped = 0;  // Classes known to `placement_classes`.

  std::map<LoanId, LentLoan> lent;
  std::set<std::pair<TimePoint, LoanId>> reclaims;
  LoanId next_loan = 1;
  std::map<std::pair<std::string, LoanId>, PoolId> borrowed;
  std::set<std::pair<TimePoint, PoolId>> loan_ends;
  std::vector<LoanReturn> returns;  // To be sent; see DrainReturns.
};

// Returns the units that a task with `demand` takes on `worker`, or nothing if
// it can never fit there. A slot carries an equal share of the worker's cores
// and memory. Thread-safe.
std::optional<Units> UnitsFor(const WorkerSpec& worker, const Demand& demand);

// Says whether `placement` allows `worker`. Thread-safe.
bool AllowsPlace(const Placement& placement, const WorkerSpec& worker);

// Thread safety of all functions below: one thread at a time.

// Replaces the set of usable workers; units in use are kept. This VM owns all
// of them without a roster: for a cluster of a single VM.
void SetWorkers(ShareLedger* ledger, const std::vector<WorkerSpec>& workers);

// Says whether a task of `team` could get a quota unit now.
bool HasQuota(ShareLedger* ledger, const std::string& team, TimePoint now);

// Takes units of a worker that `eligible` accepts, least loaded first, and one
// quota unit of `team`; nothing if either has none free. A team without a
// quota in the document is not limited.
std::optional<HeldUnits> AcquireUnits(
    ShareLedger* ledger, const std::string& team, const Placement& placement,
    TimePoint now,
    const std::function<bool(const std::string& worker)>& eligible);

// Gives units back. Precondition: AcquireUnits returned them, and the task is
// known to have ended or its lease has ended.
void ReleaseUnits(ShareLedger* ledger, const HeldUnits& held);

// --- Ownership ---

// Starts the account of a process. `restarted`: the VM was in the roster when
// the process started, or the store could not be asked. `incarnation` is random
// per process: loan ids count from it, so that messages about the loans of a
// predecessor match none of this process.
void InitializeLedger(ShareLedger* ledger, std::string self,
                      const ShareTimes& times, std::uint64_t incarnation,
                      bool restarted, TimePoint now);

// Raises the longest task lease, also for units that are lent already.
// Precondition: `lease` is not below the present one.
void ExtendLongestTaskLease(ShareLedger* ledger, Duration lease);

// Takes over the workers and quotas that `data_centre` divides over its VMs.
// Quotas are divided over data centres by worker slots.
void SetResources(ShareLedger* ledger, const Document& document,
                  const std::string& data_centre, TimePoint now);

// Takes over a roster; one with a smaller epoch is ignored.
void SetRoster(ShareLedger* ledger, const Roster& roster, TimePoint now);

// Records which VMs the platform lists; absence is counted from the first call
// without the VM.
void SetListedVms(ShareLedger* ledger, const std::set<std::string>& listed,
                  TimePoint now);

// Records a peer's report; reordered ones are ignored.
void ReceiveReport(ShareLedger* ledger, const ShareReport& report,
                   TimePoint now);

// Returns the report for heartbeats; `sequence` is the caller's.
ShareReport MakeReport(ShareLedger* ledger, std::uint64_t sequence,
                       std::uint32_t backlog, TimePoint now);

// Ends due loans, takes back due units, and acquires and releases resources.
// Call it at least every 250 ms. Loan ends are also checked by AcquireUnits.
void UpdateOwnershipAndLoans(ShareLedger* ledger, TimePoint now);

// --- Loans ---

// Lends free units, at most what is asked for. An empty answer is a refusal.
std::vector<Grant> LendUnits(ShareLedger* ledger, const BorrowRequest& request,
                             TimePoint now);

// Takes over a grant. An expired one or one of an unknown worker is returned.
void ReceiveGrant(ShareLedger* ledger, const std::string& lender,
                  const Grant& grant, TimePoint request_sent, TimePoint now);

// Returns the loans to renew by lender: used ones (all if `backlog`) in the
// second half of their time.
std::map<std::string, std::vector<LoanId>> LoansToRenew(
    const ShareLedger& ledger, bool backlog, TimePoint now);

// Lender: extends those of `loans` that it still lends to `borrower` and has
// not recalled, and returns them. The new duration is times.loan.
std::vector<LoanId> RenewLoans(ShareLedger* ledger, const std::string& borrower,
                               const std::vector<LoanId>& loans, TimePoint now);

// Borrower: takes over a renewal that it requested at `request_sent`.
void ReceiveRenewal(ShareLedger* ledger, const std::string& lender, LoanId loan,
                    Duration duration, TimePoint request_sent);

// Lender with a backlog: recalls its loans to borrowers that `should_recall`
// accepts. Returns all recalled ones by borrower, to be sent with heartbeats.
std::map<std::string, std::vector<LoanId>> RecallLoans(
    ShareLedger* ledger,
    const std::function<bool(const std::string& borrower)>& should_recall);

// Borrower: starts nothing more on the loan and returns units as they get free.
void ReceiveRecall(ShareLedger* ledger, const std::string& lender, LoanId loan);

// Borrower without a backlog: returns all idle borrowed units.
void ReturnIdleUnits(ShareLedger* ledger);

// Returns the messages to send to lenders and forgets them. A lost one costs
// the lender the units until loan end plus longest task lease.
std::vector<LoanReturn> DrainReturns(ShareLedger* ledger);

// Lender: takes units back.
void ReceiveReturn(ShareLedger* ledger, const std::string& borrower,
                   const LoanReturn& loan_return);

// --- Sums, for tests and metrics ---

// Returns the units in use of a resource on this VM, owned and borrowed.
Units UnitsInUse(const ShareLedger& ledger, const ResourceId& resource);

// Returns the worker units that this VM may use now: owned and borrowed,
// without lent ones.
Units UsableUnits(const ShareLedger& ledger);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_
