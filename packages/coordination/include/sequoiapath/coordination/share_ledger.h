// Defines ShareLedger, the record of the worker slots and quota units that this
// VM owns, lends, borrows and uses.

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

// Number of parts into which a team's quota in a data centre is divided. Each
// part is owned by one VM. More parts spread the quota more evenly over the 8
// VMs of a data centre, but each part needs one UnitPool.
constexpr int kQuotaParts = 32;

// The resources that a task needs and the places where it may run.
struct Placement {
  Demand demand;
  // Names of allowed data centres and racks; empty: all are allowed.
  std::vector<std::string> places;

  friend bool operator==(const Placement&, const Placement&) = default;
};

struct PlacementHash {
  std::size_t operator()(const Placement& placement) const;
};

// Units that AcquireUnits allocated to one task.
struct HeldUnits {
  std::string worker;
  Units units;
  PoolId worker_pool = 0;
  PoolId quota_pool = 0;  // Zero if the team has no quota.
};

// Durations from which the times of loans and ownership changes are computed.
struct ShareTimes {
  Duration loan_duration = std::chrono::seconds(2);
  // Upper bound of all task leases, including a margin for tasks that start
  // late.
  Duration longest_task_lease = std::chrono::seconds(10);
};

// Returns how long after the loss of a VM its units may still be in use: the
// loan duration plus the longest task lease.
Duration HoldDown(const ShareTimes& times);

// The ownership and load that a VM reports to its peers in each heartbeat.
struct ShareReport {
  std::string vm;
  // Increases with each report, also across restarts of the VM's process.
  std::uint64_t sequence = 0;
  std::uint64_t roster_epoch = 0;
  // True until the hold-down time after a restart has passed. A restarted
  // process does not know which units the previous process of its VM still
  // uses, so peers assume until then that it holds every resource.
  bool settling = false;
  // Resources that the VM no longer owns under its roster, but has not yet
  // released because they are in use or lent.
  std::vector<ResourceId> unreleased;
  Units free;                             // Free units of owned workers.
  std::map<std::string, int> free_quota;  // Free quota units by team, no zeros.
  std::uint32_t backlog = 0;              // Number of waiting tasks.
  Units units;                            // Sum that UsableUnits returns.
};

// Units of one placement and team that a VM asks to borrow. A waiting task may
// lack worker units, quota units or both.
struct BorrowDemand {
  Placement placement;
  int worker_tasks = 0;  // Number of tasks that lack worker units.
  std::string team;
  int quota_units = 0;
};
struct BorrowRequest {
  std::string borrower;
  std::vector<BorrowDemand> demands;
};

// A loan as the lender grants it.
struct Grant {
  LoanId loan = 0;
  ResourceId resource;
  Units units;
  // The borrower counts the duration from the time at which it sent the
  // request, so that the loan ends at the borrower before it ends at the
  // lender.
  Duration duration{};
};

// A message that tells the lender how many units of a loan the borrower keeps.
// This number only decreases, so duplicated and reordered messages are
// harmless.
struct LoanReturn {
  std::string lender;
  LoanId loan = 0;
  Units kept;
};

// A loan as the lender records it.
struct LentLoan {
  std::string borrower;
  PoolId pool = 0;
  Units units;
  // The loan end plus the longest task lease. At this time the lender reclaims
  // the units even if the borrower has not returned them.
  TimePoint reclaim_time;
  bool recalled = false;
};

// State of a resource that the roster assigns, or assigned before, to this VM.
// kPending: other VMs may still hold it. kHeld: this VM may use it.
// kReleasing: this VM no longer owns the resource, but its tasks and loans
// still use it; no more are added.
enum class Ownership { kPending, kHeld, kReleasing };
struct OwnedResource {
  Ownership ownership = Ownership::kPending;
  PoolId pool = 0;  // Zero while pending.
};

struct ShareLedger {
  std::string self;
  ShareTimes times;
  // The time from which this VM may acquire resources: the start of the
  // process, plus the hold-down time if it was restarted.
  TimePoint settled_at;
  Roster roster;
  // Rosters of consecutive epochs up to the current one. They show which VMs
  // could have become owner of a resource since their last report.
  std::map<std::uint64_t, Roster> roster_history;
  std::map<std::string, ShareReport> reports;  // Latest report of each VM.
  // The time at which each VM of the roster that is missing from the platform's
  // list was first found missing.
  std::map<std::string, TimePoint> unlisted_since;

  // All workers of the document, by name.
  std::map<std::string, WorkerSpec> workers;
  // Capacities of the resources of this data centre.
  std::map<ResourceId, Units> resources;
  std::map<ResourceId, OwnedResource> owned;
  // The keys of `owned` in the states kPending and kReleasing.
  std::set<ResourceId> pending;
  std::set<ResourceId> releasing;

  UnitIndex index;
  // Position in index.classes of the quota class of each team that has a quota.
  std::map<std::string, std::size_t> quota_class_by_team;
  // A class of workers that can run tasks of a placement, and the units that
  // such a task needs on one of them.
  struct Candidate {
    std::size_t unit_class = 0;  // Position in index.classes.
    Units units;
  };
  struct PlacementClasses {
    std::vector<Candidate> candidates;
    // Units per task by class; zero slots mean that the class is no candidate.
    std::vector<Units> units_by_class;
  };
  // Cache of the candidates by placement.
  std::unordered_map<Placement, PlacementClasses, PlacementHash>
      placement_classes;
  // Number of classes that the entries of `placement_classes` cover.
  std::size_t mapped_class_count = 0;

  std::map<LoanId, LentLoan>
      lent;  // Loans to other VMs, until fully reclaimed.
  // The keys of `lent`, by reclaim time.
  std::set<std::pair<TimePoint, LoanId>> reclaims;
  LoanId next_loan = 1;
  // Pools of borrowed units by lender and loan.
  std::map<std::pair<std::string, LoanId>, PoolId> borrowed;
  // Borrowed pools whose loan has not ended, by loan end.
  std::set<std::pair<TimePoint, PoolId>> loan_ends;
  // Messages to be sent to lenders; see DrainReturns.
  std::vector<LoanReturn> returns;
};

// Returns the units that a task with `demand` needs on `worker`, or nothing if
// the demand exceeds the worker's capacity. Each slot stands for an equal part
// of the worker's cores and memory. Thread-safe.
std::optional<Units> UnitsFor(const WorkerSpec& worker, const Demand& demand);

// Returns whether `placement` allows `worker`. Thread-safe.
bool AllowsPlace(const Placement& placement, const WorkerSpec& worker);

// Thread safety of all functions below: one thread at a time.

// Replaces the set of usable workers; units in use stay allocated. This VM
// becomes the owner of all of them, as the only member of the roster. For a
// cluster of a single VM.
void SetWorkers(ShareLedger* ledger, const std::vector<WorkerSpec>& workers);

// Returns whether a task of `team` could get a quota unit now.
bool HasQuota(ShareLedger* ledger, const std::string& team, TimePoint now);

// Allocates units of the least loaded worker that `eligible` accepts, and one
// quota unit of `team`. Returns nothing and allocates nothing if either is not
// available. A team without a quota in the document is not limited.
std::optional<HeldUnits> AcquireUnits(
    ShareLedger* ledger, const std::string& team, const Placement& placement,
    TimePoint now,
    const std::function<bool(const std::string& worker)>& eligible);

// Releases units. Precondition: AcquireUnits returned them, and the task is
// known to have ended or its lease has expired.
void ReleaseUnits(ShareLedger* ledger, const HeldUnits& held);

// --- Ownership ---

// Initializes the ledger of a process. `restarted` is true if the VM was in the
// roster when the process started, or if the store did not answer.
// `incarnation` is random for each process; loan ids count up from it, so that
// messages about loans of an earlier process of the VM match no loan of this
// one.
void InitializeLedger(ShareLedger* ledger, std::string self,
                      const ShareTimes& times, std::uint64_t incarnation,
                      bool restarted, TimePoint now);

// Increases the longest task lease, and delays the reclaim times of units that
// are already lent accordingly.
// Precondition: `lease` is at least the current value.
void ExtendLongestTaskLease(ShareLedger* ledger, Duration lease);

// Replaces the workers and quotas that the VMs of `data_centre` own with those
// of `document`. A team's quota is divided over the data centres in proportion
// to their worker slots.
void SetResources(ShareLedger* ledger, const Document& document,
                  const std::string& data_centre, TimePoint now);

// Replaces the roster if the epoch of `roster` is greater than the current one.
void SetRoster(ShareLedger* ledger, const Roster& roster, TimePoint now);

// Records which VMs the platform lists. A VM counts as unlisted from the first
// call in which it is missing.
void SetListedVms(ShareLedger* ledger, const std::set<std::string>& listed,
                  TimePoint now);

// Records a peer's report if its sequence is greater than that of the peer's
// last recorded report.
void ReceiveReport(ShareLedger* ledger, const ShareReport& report,
                   TimePoint now);

// Returns the report for heartbeats. The calling code provides `sequence`,
// which must increase; see ShareReport.
ShareReport MakeReport(ShareLedger* ledger, std::uint64_t sequence,
                       std::uint32_t backlog, TimePoint now);

// Ends borrowed loans that have expired, reclaims lent units whose reclaim time
// has come, and acquires and releases ownership of resources. Must be called at
// least every 250 ms. AcquireUnits and HasQuota also end expired loans.
void UpdateOwnershipAndLoans(ShareLedger* ledger, TimePoint now);

// --- Loans ---

// Lends free units, at most as many as requested. An empty result is a refusal.
std::vector<Grant> LendUnits(ShareLedger* ledger, const BorrowRequest& request,
                             TimePoint now);

// Records a grant as borrowed units. If it has expired, or if its worker is
// unknown or leaving or its team has no quota, all its units are returned to
// the lender.
void ReceiveGrant(ShareLedger* ledger, const std::string& lender,
                  const Grant& grant, TimePoint request_sent, TimePoint now);

// Returns the loans to renew, by lender: those in the second half of their
// duration that have units in use or, if `backlog`, all in that half. Recalled
// loans are left out.
std::map<std::string, std::vector<LoanId>> LoansToRenew(
    const ShareLedger& ledger, bool backlog, TimePoint now);

// On the lender: extends those of `loans` that are still lent to `borrower` and
// not recalled, and returns their ids. Their new duration is
// times.loan_duration.
std::vector<LoanId> RenewLoans(ShareLedger* ledger, const std::string& borrower,
                               const std::vector<LoanId>& loans, TimePoint now);

// On the borrower: applies a renewal that it requested at `request_sent`.
void ReceiveRenewal(ShareLedger* ledger, const std::string& lender, LoanId loan,
                    Duration duration, TimePoint request_sent);

// On a lender with a backlog: recalls its loans to those borrowers for which
// `should_recall` returns true. Returns all loans recalled so far, by borrower,
// to be sent with heartbeats.
std::map<std::string, std::vector<LoanId>> RecallLoans(
    ShareLedger* ledger,
    const std::function<bool(const std::string& borrower)>& should_recall);

// On the borrower: stops allocating units of the loan and returns its units to
// the lender, those in use as soon as tasks release them.
void ReceiveRecall(ShareLedger* ledger, const std::string& lender, LoanId loan);

// On a borrower without a backlog: returns all borrowed units that are not in
// use.
void ReturnIdleUnits(ShareLedger* ledger);

// Returns the messages to send to lenders and removes them from the ledger. If
// a message is lost, the lender reclaims the units at their reclaim time.
std::vector<LoanReturn> DrainReturns(ShareLedger* ledger);

// On the lender: makes returned units available again.
void ReceiveReturn(ShareLedger* ledger, const std::string& borrower,
                   const LoanReturn& loan_return);

// --- Totals ---

// Returns the owned and borrowed units of a resource that tasks of this VM use.
Units UnitsInUse(const ShareLedger& ledger, const ResourceId& resource);

// Returns the worker units that this VM may use now: owned and borrowed units,
// excluding lent ones.
Units UsableUnits(const ShareLedger& ledger);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_
