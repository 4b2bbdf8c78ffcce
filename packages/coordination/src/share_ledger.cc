#include "sequoiapath/coordination/share_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

// Number of rosters kept to interpret reports made under an older epoch. A peer
// whose report is older than all these rosters counts as holding every resource
// until it reports a newer epoch.
constexpr std::size_t kRosterHistory = 16;

bool AcceptAny(const UnitPool& /*pool*/) { return true; }

// Borrowed units are not lent to a third VM, because their lender could not
// recall them.
bool IsNotBorrowed(const UnitPool& pool) { return pool.loan == 0; }

UnitPool* PoolById(ShareLedger* ledger, PoolId id) {
  const auto it = ledger->index.pools.find(id);
  SEQUOIAPATH_ASSERT(it != ledger->index.pools.end(),
                     "pool {} does not exist on VM {}", id, ledger->self);
  return &it->second;
}

// Adds to the candidates of `placement` the worker classes from number `first`
// on that can run it.
void MapClasses(const ShareLedger& ledger, const Placement& placement,
                std::size_t first, ShareLedger::PlacementClasses* mapped) {
  mapped->units_by_class.resize(ledger.index.classes.size());
  for (std::size_t i = first; i < ledger.index.classes.size(); ++i) {
    const WorkerSpec& spec = ledger.index.classes[i].spec;
    if (spec.name.empty() || !AllowsPlace(placement, spec)) continue;
    const auto units = UnitsFor(spec, placement.demand);
    if (!units) continue;
    mapped->candidates.push_back({i, *units});
    mapped->units_by_class[i] = *units;
  }
}

const ShareLedger::PlacementClasses& ClassesFor(ShareLedger* ledger,
                                                const Placement& placement) {
  // Callers choose the placements of their submissions, so the size of the
  // cache must be bounded.
  constexpr std::size_t kMaxPlacements = 4096;
  if (ledger->placement_classes.size() >= kMaxPlacements) {
    ledger->placement_classes.clear();
  }
  if (ledger->mapped_class_count < ledger->index.classes.size()) {
    for (auto& [known, mapped] : ledger->placement_classes) {
      MapClasses(*ledger, known, ledger->mapped_class_count, &mapped);
    }
    ledger->mapped_class_count = ledger->index.classes.size();
  }
  const auto it = ledger->placement_classes.find(placement);
  if (it != ledger->placement_classes.end()) return it->second;
  auto& mapped = ledger->placement_classes[placement];
  MapClasses(*ledger, placement, 0, &mapped);
  return mapped;
}

struct Choice {
  UnitPool* pool = nullptr;
  Units units;
};

using AcceptPool = std::function<bool(const UnitPool&)>;

// Chooses the worker with the most free slots by a search in each candidate
// class.
Choice ChooseOfClasses(ShareLedger* ledger,
                       const ShareLedger::PlacementClasses& classes,
                       const AcceptPool& accepts) {
  Choice best;
  for (const auto& [unit_class, units] : classes.candidates) {
    // A class is skipped if its level, the most free slots of a worker in it,
    // is not above the best choice so far.
    const std::size_t level = ledger->index.classes[unit_class].level;
    const int best_free_slots =
        best.pool == nullptr ? 0 : FreeUnits(*best.pool).slots;
    if (static_cast<int>(level) <= best_free_slots) continue;
    UnitPool* pool = FindPool(&ledger->index, unit_class, units, accepts);
    if (pool == nullptr || FreeUnits(*pool).slots <= best_free_slots) continue;
    best = {pool, units};
  }
  return best;
}

// Searches the classes in descending order of level and returns the first
// worker that fits. This is the one with the most free slots, except after a
// class whose least loaded workers did not fit.
Choice ChooseByLevel(ShareLedger* ledger,
                     const ShareLedger::PlacementClasses& classes,
                     const AcceptPool& accepts) {
  for (std::size_t level = ledger->index.levels.size(); level-- > 1;) {
    for (const std::size_t unit_class : ledger->index.levels[level]) {
      const Units& units = classes.units_by_class[unit_class];
      if (units.slots == 0 || static_cast<int>(level) < units.slots) continue;
      UnitPool* pool = FindPool(&ledger->index, unit_class, units, accepts);
      if (pool != nullptr) return {pool, units};
    }
  }
  return {};
}

Choice ChooseWorker(ShareLedger* ledger, const Placement& placement,
                    const std::function<bool(const std::string&)>& eligible) {
  const AcceptPool accepts = [&eligible](const UnitPool& pool) {
    return eligible(pool.resource.name);
  };
  const auto& classes = ClassesFor(ledger, placement);
  // Up to this number of candidates, a search in each of them costs less than
  // a search by level through all classes.
  constexpr std::size_t kFewClasses = 8;
  return classes.candidates.size() <= kFewClasses
             ? ChooseOfClasses(ledger, classes, accepts)
             : ChooseByLevel(ledger, classes, accepts);
}

void ChangeInUse(ShareLedger* ledger, UnitPool* pool, const Units& units) {
  pool->in_use = pool->in_use + units;
  Reindex(&ledger->index, pool);
}

void RemoveBorrowed(ShareLedger* ledger, const UnitPool& pool) {
  ledger->loan_ends.erase({pool.loan_end, pool.id});
  ledger->borrowed.erase({pool.lender, pool.loan});
  RemovePool(&ledger->index, pool.id);
}

// Returns the free units of a borrowed pool to the lender, and removes the pool
// if no units are in use.
void ReturnFreeUnits(ShareLedger* ledger, UnitPool* pool) {
  if (pool->capacity == pool->in_use) return;
  pool->capacity = pool->in_use;
  ledger->returns.push_back({pool->lender, pool->loan, pool->capacity});
  if (IsZero(pool->capacity)) {
    RemoveBorrowed(ledger, *pool);
  } else {
    Reindex(&ledger->index, pool);
  }
}

// Stops allocations from borrowed pools whose loan has expired.
void EndExpiredLoans(ShareLedger* ledger, TimePoint now) {
  while (!ledger->loan_ends.empty() &&
         ledger->loan_ends.begin()->first <= now) {
    UnitPool* pool = PoolById(ledger, ledger->loan_ends.begin()->second);
    ledger->loan_ends.erase(ledger->loan_ends.begin());
    pool->usable = false;
    Reindex(&ledger->index, pool);
    ReturnFreeUnits(ledger, pool);
  }
}

// Makes all units of a loan but `kept` available to the lender again.
void ReclaimUnits(ShareLedger* ledger, LoanId id, const Units& kept) {
  const auto it = ledger->lent.find(id);
  SEQUOIAPATH_ASSERT(it != ledger->lent.end(),
                     "VM {} reclaims loan {}, which it has not lent",
                     ledger->self, id);
  LentLoan& loan = it->second;
  UnitPool* pool = PoolById(ledger, loan.pool);
  const Units reclaimed = loan.units - kept;
  SEQUOIAPATH_ASSERT(Covers(pool->lent, reclaimed),
                     "VM {} reclaims {} slots of {}, but has lent {}",
                     ledger->self, reclaimed.slots, ToString(pool->resource),
                     pool->lent.slots);
  pool->lent = pool->lent - reclaimed;
  loan.units = kept;
  Reindex(&ledger->index, pool);
  if (!IsZero(kept)) return;
  ledger->reclaims.erase({loan.reclaim_time, id});
  ledger->lent.erase(it);
}

void ReclaimDueLoans(ShareLedger* ledger, TimePoint now) {
  while (!ledger->reclaims.empty() && ledger->reclaims.begin()->first <= now) {
    ReclaimUnits(ledger, ledger->reclaims.begin()->second, {});
  }
}

// Returns whether `vm` may hold `resource` now, as far as the VM's last report
// and the time since which the platform does not list it show.
bool MayHold(const ShareLedger& ledger, const std::string& vm,
             const ResourceId& resource, TimePoint now) {
  const auto unlisted = ledger.unlisted_since.find(vm);
  if (unlisted != ledger.unlisted_since.end() &&
      now - unlisted->second >= HoldDown(ledger.times)) {
    return false;
  }
  const auto it = ledger.reports.find(vm);
  if (it == ledger.reports.end() || it->second.settling) return true;
  const ShareReport& report = it->second;
  if (std::find(report.unreleased.begin(), report.unreleased.end(), resource) !=
      report.unreleased.end()) {
    return true;
  }
  // The report does not list the resource as unreleased. So the VM can hold it
  // only as the owner under a roster from the reported epoch on. A roster that
  // is missing from the history counts as one under which the VM is the owner.
  for (std::uint64_t epoch = report.roster_epoch; epoch < ledger.roster.epoch;
       ++epoch) {
    const auto roster = ledger.roster_history.find(epoch);
    if (roster == ledger.roster_history.end() ||
        OwnerOf(roster->second, ToString(resource)) == vm) {
      return true;
    }
  }
  return false;
}

// Returns whether no other VM can hold `resource`, so that this VM may use it.
bool MayAcquireOwnership(const ShareLedger& ledger, const ResourceId& resource,
                         TimePoint now) {
  const auto may_be_held_by = [&](const std::string& vm) {
    return vm != ledger.self && MayHold(ledger, vm, resource, now);
  };
  return std::none_of(ledger.roster.members.begin(),
                      ledger.roster.members.end(), may_be_held_by) &&
         std::none_of(ledger.roster.former.begin(), ledger.roster.former.end(),
                      may_be_held_by);
}

// Returns whether a peer has reported a greater epoch than that of this VM's
// roster.
bool HasOutdatedRoster(const ShareLedger& ledger) {
  return std::any_of(ledger.reports.begin(), ledger.reports.end(),
                     [&ledger](const auto& entry) {
                       return entry.second.roster_epoch > ledger.roster.epoch;
                     });
}

void AddOwnedPool(ShareLedger* ledger, const ResourceId& resource,
                  OwnedResource* owned) {
  UnitPool pool;
  pool.resource = resource;
  pool.capacity = ledger->resources.at(resource);
  if (resource.kind == ResourceId::Kind::kWorker) {
    const WorkerSpec& spec = ledger->workers.at(resource.name);
    pool.unit_class = GetOrCreateWorkerClass(&ledger->index, spec);
    pool.usable = !spec.leaving;
  } else {
    pool.unit_class = GetOrCreateQuotaClass(&ledger->index, resource.name);
    pool.usable = true;
  }
  owned->pool = AddPool(&ledger->index, std::move(pool))->id;
  owned->ownership = Ownership::kHeld;
}

void AcquirePending(ShareLedger* ledger, TimePoint now) {
  if (ledger->pending.empty() || now < ledger->settled_at ||
      HasOutdatedRoster(*ledger)) {
    return;
  }
  for (auto it = ledger->pending.begin(); it != ledger->pending.end();) {
    if (!MayAcquireOwnership(*ledger, *it, now)) {
      ++it;
      continue;
    }
    AddOwnedPool(ledger, *it, &ledger->owned.at(*it));
    it = ledger->pending.erase(it);
  }
}

// Ends the ownership of releasing resources that are neither in use nor lent.
void ReleaseIdle(ShareLedger* ledger) {
  for (auto it = ledger->releasing.begin(); it != ledger->releasing.end();) {
    const PoolId id = ledger->owned.at(*it).pool;
    const UnitPool* pool = PoolById(ledger, id);
    if (!IsZero(pool->in_use) || !IsZero(pool->lent)) {
      ++it;
      continue;
    }
    RemovePool(&ledger->index, id);
    ledger->owned.erase(*it);
    it = ledger->releasing.erase(it);
  }
}

bool ShouldOwn(const ShareLedger& ledger, const ResourceId& resource) {
  return ledger.resources.contains(resource) && !ledger.self.empty() &&
         OwnerOf(ledger.roster, ToString(resource)) == ledger.self;
}

// Stops allocations of a resource that this VM no longer owns, and recalls its
// loans, so that the resource is released as early as possible.
void StartReleasing(ShareLedger* ledger, const ResourceId& resource,
                    OwnedResource* owned) {
  owned->ownership = Ownership::kReleasing;
  ledger->releasing.insert(resource);
  UnitPool* pool = PoolById(ledger, owned->pool);
  pool->usable = false;
  Reindex(&ledger->index, pool);
  for (auto& [id, loan] : ledger->lent) {
    if (loan.pool == owned->pool) loan.recalled = true;
  }
}

// Updates the pool of a resource that this VM owns and holds. A resource in
// state kReleasing becomes usable at once: no other VM can have acquired it,
// because this VM has not released it.
void UpdateHeld(ShareLedger* ledger, const ResourceId& resource,
                OwnedResource* owned) {
  ledger->releasing.erase(resource);
  owned->ownership = Ownership::kHeld;
  UnitPool* pool = PoolById(ledger, owned->pool);
  pool->capacity = ledger->resources.at(resource);
  pool->usable = true;
  if (resource.kind == ResourceId::Kind::kWorker) {
    const WorkerSpec& spec = ledger->workers.at(resource.name);
    pool->usable = !spec.leaving;
    const std::size_t unit_class = GetOrCreateWorkerClass(&ledger->index, spec);
    if (unit_class != pool->unit_class) {
      pool->usable = false;
      Reindex(&ledger->index, pool);
      pool->unit_class = unit_class;
      pool->usable = !spec.leaving;
    }
  }
  Reindex(&ledger->index, pool);
}

// Updates the ownership states after a change of the roster or the resources.
void UpdateOwnership(ShareLedger* ledger) {
  for (auto it = ledger->owned.begin(); it != ledger->owned.end();) {
    auto& [resource, owned] = *it;
    const bool keep = ShouldOwn(*ledger, resource);
    if (owned.ownership == Ownership::kPending && !keep) {
      ledger->pending.erase(resource);
      it = ledger->owned.erase(it);
      continue;
    }
    if (owned.ownership != Ownership::kPending && keep) {
      UpdateHeld(ledger, resource, &owned);
    } else if (owned.ownership == Ownership::kHeld) {
      StartReleasing(ledger, resource, &owned);
    }
    ++it;
  }
  for (const auto& [resource, capacity] : ledger->resources) {
    if (!ShouldOwn(*ledger, resource)) continue;
    if (ledger->owned.try_emplace(resource).second) {
      ledger->pending.insert(resource);
    }
  }
}

// Returns the part of `quota` that belongs to the range from `from` to `to` of
// `total`. The parts of adjacent ranges add up without rounding loss.
int ProportionalPart(std::int64_t quota, std::int64_t from, std::int64_t to,
                     std::int64_t total) {
  return static_cast<int>(quota * to / total - quota * from / total);
}

// Adds the parts of a team's quota that this data centre gets: in proportion to
// its `slots` of `all_slots`, where `slots_before` are in data centres that
// precede it by name.
void AddQuotaParts(ShareLedger* ledger, const TeamSpec& team,
                   std::int64_t slots_before, std::int64_t slots,
                   std::int64_t all_slots) {
  ledger->quota_class_by_team[team.name] =
      GetOrCreateQuotaClass(&ledger->index, team.name);
  const int quota = all_slots == 0
                        ? 0
                        : ProportionalPart(team.quota, slots_before,
                                           slots_before + slots, all_slots);
  for (int part = 0; part < kQuotaParts; ++part) {
    const int units = ProportionalPart(quota, part, part + 1, kQuotaParts);
    ledger->resources[{ResourceId::Kind::kQuota, team.name, part}] = {units, 0};
  }
}

// Lends units for up to `wanted` tasks from usable owned pools of one class,
// and subtracts the tasks from `wanted`. Each task needs `units_per_task`.
void LendFromClass(ShareLedger* ledger, const std::string& borrower,
                   std::size_t unit_class, const Units& units_per_task,
                   int* wanted, TimePoint now, std::vector<Grant>* grants) {
  while (*wanted > 0) {
    UnitPool* pool =
        FindPool(&ledger->index, unit_class, units_per_task, IsNotBorrowed);
    if (pool == nullptr) return;
    const Units free = FreeUnits(*pool);
    int count =
        std::min(*wanted, free.slots / std::max(units_per_task.slots, 1));
    if (units_per_task.accelerators > 0) {
      count = std::min(count, free.accelerators / units_per_task.accelerators);
    }
    const Units units{units_per_task.slots * count,
                      units_per_task.accelerators * count};
    const LoanId id = ledger->next_loan++;
    const TimePoint reclaim_time =
        now + ledger->times.loan_duration + ledger->times.longest_task_lease;
    pool->lent = pool->lent + units;
    Reindex(&ledger->index, pool);
    ledger->lent[id] = {borrower, pool->id, units, reclaim_time, false};
    ledger->reclaims.insert({reclaim_time, id});
    grants->push_back({id, pool->resource, units, ledger->times.loan_duration});
    *wanted -= count;
  }
}

}  // namespace
}  // namespace internal

using internal::PoolById;

std::size_t PlacementHash::operator()(const Placement& placement) const {
  const auto mix = [](std::size_t seed, std::size_t value) {
    return (seed ^ value) * 0x9E3779B97F4A7C15ULL;  // 2^64 / golden ratio.
  };
  std::size_t hash = std::hash<double>{}(placement.demand.cores);
  hash = mix(hash, static_cast<std::size_t>(placement.demand.memory_mb));
  hash = mix(hash, static_cast<std::size_t>(placement.demand.accelerators));
  for (const std::string& place : placement.places) {
    hash = mix(hash, std::hash<std::string>{}(place));
  }
  return hash;
}

Duration HoldDown(const ShareTimes& times) {
  return times.loan_duration + times.longest_task_lease;
}

std::optional<Units> UnitsFor(const WorkerSpec& worker, const Demand& demand) {
  double slots = 1;
  if (demand.cores > 0) {
    if (worker.cores <= 0) return std::nullopt;
    slots = std::max(slots, demand.cores * worker.slots / worker.cores);
  }
  if (demand.memory_mb > 0) {
    if (worker.memory_mb <= 0) return std::nullopt;
    slots =
        std::max(slots, static_cast<double>(demand.memory_mb) * worker.slots /
                            static_cast<double>(worker.memory_mb));
  }
  if (slots > worker.slots || demand.accelerators > worker.accelerators) {
    return std::nullopt;
  }
  return Units{static_cast<int>(std::ceil(slots)), demand.accelerators};
}

bool AllowsPlace(const Placement& placement, const WorkerSpec& worker) {
  if (placement.places.empty()) return true;
  return std::any_of(placement.places.begin(), placement.places.end(),
                     [&worker](const std::string& place) {
                       return place == worker.data_centre ||
                              place == worker.rack;
                     });
}

void SetWorkers(ShareLedger* ledger, const std::vector<WorkerSpec>& workers) {
  if (ledger->self.empty()) ledger->self = "self";
  ledger->workers.clear();
  ledger->resources.clear();
  for (const WorkerSpec& worker : workers) {
    ledger->workers[worker.name] = worker;
    ledger->resources[{ResourceId::Kind::kWorker, worker.name}] = {
        worker.slots, worker.accelerators};
  }
  ledger->roster = {1, {ledger->self}, {}};
  internal::UpdateOwnership(ledger);
  internal::AcquirePending(ledger, ledger->settled_at);
  internal::ReleaseIdle(ledger);
}

bool HasQuota(ShareLedger* ledger, const std::string& team, TimePoint now) {
  internal::EndExpiredLoans(ledger, now);
  const auto it = ledger->quota_class_by_team.find(team);
  return it == ledger->quota_class_by_team.end() ||
         FindPool(&ledger->index, it->second, {1, 0}, internal::AcceptAny) !=
             nullptr;
}

std::optional<HeldUnits> AcquireUnits(
    ShareLedger* ledger, const std::string& team, const Placement& placement,
    TimePoint now,
    const std::function<bool(const std::string& worker)>& eligible) {
  internal::EndExpiredLoans(ledger, now);
  UnitPool* quota = nullptr;
  const auto quota_class = ledger->quota_class_by_team.find(team);
  if (quota_class != ledger->quota_class_by_team.end()) {
    quota = FindPool(&ledger->index, quota_class->second, {1, 0},
                     internal::AcceptAny);
    if (quota == nullptr) return std::nullopt;
  }
  const internal::Choice choice =
      internal::ChooseWorker(ledger, placement, eligible);
  if (choice.pool == nullptr) return std::nullopt;
  internal::ChangeInUse(ledger, choice.pool, choice.units);
  HeldUnits held{choice.pool->resource.name, choice.units, choice.pool->id, 0};
  if (quota != nullptr) {
    internal::ChangeInUse(ledger, quota, {1, 0});
    held.quota_pool = quota->id;
  }
  return held;
}

void ReleaseUnits(ShareLedger* ledger, const HeldUnits& held) {
  const auto release = [ledger](PoolId id, const Units& units) {
    UnitPool* pool = PoolById(ledger, id);
    SEQUOIAPATH_ASSERT(Covers(pool->in_use, units),
                       "VM {} releases {} slots of {}, but {} are in use",
                       ledger->self, units.slots, ToString(pool->resource),
                       pool->in_use.slots);
    internal::ChangeInUse(ledger, pool, Units{} - units);
    if (pool->loan != 0 && !pool->usable) {
      internal::ReturnFreeUnits(ledger, pool);
    }
  };
  release(held.worker_pool, held.units);
  if (held.quota_pool != 0) release(held.quota_pool, {1, 0});
  if (!ledger->releasing.empty()) internal::ReleaseIdle(ledger);
}

void InitializeLedger(ShareLedger* ledger, std::string self,
                      const ShareTimes& times, std::uint64_t incarnation,
                      bool restarted, TimePoint now) {
  ledger->self = std::move(self);
  ledger->next_loan = incarnation;
  ledger->times = times;
  // The hold-down time includes the loan duration, because a VM that borrowed
  // from the previous process may start a task at the end of its loan.
  ledger->settled_at = restarted ? now + HoldDown(times) : now;
}

void ExtendLongestTaskLease(ShareLedger* ledger, Duration lease) {
  const Duration added = lease - ledger->times.longest_task_lease;
  SEQUOIAPATH_ASSERT(added >= Duration::zero(),
                     "VM {} decreases the longest task lease", ledger->self);
  ledger->times.longest_task_lease = lease;
  ledger->reclaims.clear();
  for (auto& [id, loan] : ledger->lent) {
    loan.reclaim_time += added;
    ledger->reclaims.insert({loan.reclaim_time, id});
  }
}

void SetResources(ShareLedger* ledger, const Document& document,
                  const std::string& data_centre, TimePoint now) {
  ledger->workers.clear();
  ledger->resources.clear();
  ledger->quota_class_by_team.clear();
  std::map<std::string, std::int64_t> slots;
  std::int64_t all_slots = 0;
  for (const WorkerSpec& worker : document.workers) {
    ledger->workers[worker.name] = worker;
    slots[worker.data_centre] += worker.slots;
    all_slots += worker.slots;
    if (worker.data_centre != data_centre) continue;
    ledger->resources[{ResourceId::Kind::kWorker, worker.name}] = {
        worker.slots, worker.accelerators};
  }
  std::int64_t before = 0;
  for (const auto& [name, count] : slots) {
    if (name < data_centre) before += count;
  }
  for (const TeamSpec& team : document.teams) {
    internal::AddQuotaParts(ledger, team, before, slots[data_centre],
                            all_slots);
  }
  internal::UpdateOwnership(ledger);
  UpdateOwnershipAndLoans(ledger, now);
}

void SetRoster(ShareLedger* ledger, const Roster& roster, TimePoint now) {
  if (roster.epoch <= ledger->roster.epoch) return;
  // The history must hold consecutive epochs, so it is cleared if an epoch was
  // skipped.
  if (roster.epoch != ledger->roster.epoch + 1) ledger->roster_history.clear();
  ledger->roster = roster;
  ledger->roster_history[roster.epoch] = roster;
  while (ledger->roster_history.size() > internal::kRosterHistory) {
    ledger->roster_history.erase(ledger->roster_history.begin());
  }
  internal::UpdateOwnership(ledger);
  UpdateOwnershipAndLoans(ledger, now);
}

void SetListedVms(ShareLedger* ledger, const std::set<std::string>& listed,
                  TimePoint now) {
  const auto update = [&](const std::string& vm) {
    if (listed.contains(vm)) {
      ledger->unlisted_since.erase(vm);
    } else {
      ledger->unlisted_since.emplace(vm, now);
    }
  };
  for (const std::string& vm : ledger->roster.members) update(vm);
  for (const std::string& vm : ledger->roster.former) update(vm);
}

void ReceiveReport(ShareLedger* ledger, const ShareReport& report,
                   TimePoint now) {
  ShareReport& known = ledger->reports[report.vm];
  if (report.sequence <= known.sequence) return;
  known = report;
  internal::AcquirePending(ledger, now);
}

ShareReport MakeReport(ShareLedger* ledger, std::uint64_t sequence,
                       std::uint32_t backlog, TimePoint now) {
  UpdateOwnershipAndLoans(ledger, now);
  ShareReport report;
  report.vm = ledger->self;
  report.sequence = sequence;
  report.roster_epoch = ledger->roster.epoch;
  report.settling = now < ledger->settled_at;
  report.unreleased.assign(ledger->releasing.begin(), ledger->releasing.end());
  report.backlog = backlog;
  report.units = UsableUnits(*ledger);
  for (const auto& [resource, owned] : ledger->owned) {
    if (owned.ownership != Ownership::kHeld) continue;
    const UnitPool* pool = PoolById(ledger, owned.pool);
    const Units free = FreeUnits(*pool);
    if (!pool->usable || free.slots <= 0) continue;
    if (resource.kind == ResourceId::Kind::kWorker) {
      report.free = report.free + free;
    } else {
      report.free_quota[resource.name] += free.slots;
    }
  }
  return report;
}

void UpdateOwnershipAndLoans(ShareLedger* ledger, TimePoint now) {
  internal::EndExpiredLoans(ledger, now);
  internal::ReclaimDueLoans(ledger, now);
  internal::ReleaseIdle(ledger);
  internal::AcquirePending(ledger, now);
}

std::vector<Grant> LendUnits(ShareLedger* ledger, const BorrowRequest& request,
                             TimePoint now) {
  UpdateOwnershipAndLoans(ledger, now);
  std::vector<Grant> grants;
  for (const BorrowDemand& demand : request.demands) {
    int tasks = demand.worker_tasks;
    if (tasks > 0) {
      for (const auto& [unit_class, units] :
           internal::ClassesFor(ledger, demand.placement).candidates) {
        internal::LendFromClass(ledger, request.borrower, unit_class, units,
                                &tasks, now, &grants);
      }
    }
    int quota = demand.quota_units;
    const auto quota_class = ledger->quota_class_by_team.find(demand.team);
    if (quota > 0 && quota_class != ledger->quota_class_by_team.end()) {
      internal::LendFromClass(ledger, request.borrower, quota_class->second,
                              {1, 0}, &quota, now, &grants);
    }
  }
  return grants;
}

void ReceiveGrant(ShareLedger* ledger, const std::string& lender,
                  const Grant& grant, TimePoint request_sent, TimePoint now) {
  const bool is_worker = grant.resource.kind == ResourceId::Kind::kWorker;
  const auto worker = ledger->workers.find(grant.resource.name);
  const bool unknown =
      is_worker ? worker == ledger->workers.end() || worker->second.leaving
                : !ledger->quota_class_by_team.contains(grant.resource.name);
  const TimePoint loan_end = request_sent + grant.duration;
  if (unknown || loan_end <= now) {
    ledger->returns.push_back({lender, grant.loan, {}});
    return;
  }
  if (ledger->borrowed.contains({lender, grant.loan})) return;
  UnitPool pool;
  pool.resource = grant.resource;
  pool.capacity = grant.units;
  pool.usable = true;
  pool.lender = lender;
  pool.loan = grant.loan;
  pool.loan_end = loan_end;
  pool.unit_class =
      is_worker ? GetOrCreateWorkerClass(&ledger->index, worker->second)
                : GetOrCreateQuotaClass(&ledger->index, grant.resource.name);
  const PoolId id = AddPool(&ledger->index, std::move(pool))->id;
  ledger->borrowed[{lender, grant.loan}] = id;
  ledger->loan_ends.insert({loan_end, id});
}

std::map<std::string, std::vector<LoanId>> LoansToRenew(
    const ShareLedger& ledger, bool backlog, TimePoint now) {
  std::map<std::string, std::vector<LoanId>> renewals;
  for (const auto& [end, id] : ledger.loan_ends) {
    if (end - now > ledger.times.loan_duration / 2) break;
    const UnitPool& pool = ledger.index.pools.at(id);
    if (pool.recalled || (!backlog && IsZero(pool.in_use))) continue;
    renewals[pool.lender].push_back(pool.loan);
  }
  return renewals;
}

std::vector<LoanId> RenewLoans(ShareLedger* ledger, const std::string& borrower,
                               const std::vector<LoanId>& loans,
                               TimePoint now) {
  std::vector<LoanId> renewed;
  for (const LoanId id : loans) {
    const auto it = ledger->lent.find(id);
    if (it == ledger->lent.end() || it->second.borrower != borrower ||
        it->second.recalled) {
      continue;
    }
    ledger->reclaims.erase({it->second.reclaim_time, id});
    it->second.reclaim_time = now + HoldDown(ledger->times);
    ledger->reclaims.insert({it->second.reclaim_time, id});
    renewed.push_back(id);
  }
  return renewed;
}

void ReceiveRenewal(ShareLedger* ledger, const std::string& lender, LoanId loan,
                    Duration duration, TimePoint request_sent) {
  const auto it = ledger->borrowed.find({lender, loan});
  if (it == ledger->borrowed.end()) return;
  UnitPool* pool = PoolById(ledger, it->second);
  // A loan that has ended or was recalled is not renewed, because its free
  // units have been returned.
  if (!pool->usable || request_sent + duration <= pool->loan_end) return;
  ledger->loan_ends.erase({pool->loan_end, pool->id});
  pool->loan_end = request_sent + duration;
  ledger->loan_ends.insert({pool->loan_end, pool->id});
}

std::map<std::string, std::vector<LoanId>> RecallLoans(
    ShareLedger* ledger,
    const std::function<bool(const std::string& borrower)>& should_recall) {
  std::map<std::string, std::vector<LoanId>> recalls;
  for (auto& [id, loan] : ledger->lent) {
    loan.recalled = loan.recalled || should_recall(loan.borrower);
    if (loan.recalled) recalls[loan.borrower].push_back(id);
  }
  return recalls;
}

void ReceiveRecall(ShareLedger* ledger, const std::string& lender,
                   LoanId loan) {
  const auto it = ledger->borrowed.find({lender, loan});
  if (it == ledger->borrowed.end()) return;
  UnitPool* pool = PoolById(ledger, it->second);
  pool->recalled = true;
  pool->usable = false;
  Reindex(&ledger->index, pool);
  internal::ReturnFreeUnits(ledger, pool);
}

void ReturnIdleUnits(ShareLedger* ledger) {
  std::vector<PoolId> ids;
  for (const auto& [key, id] : ledger->borrowed) ids.push_back(id);
  for (const PoolId id : ids) {
    internal::ReturnFreeUnits(ledger, PoolById(ledger, id));
  }
}

std::vector<LoanReturn> DrainReturns(ShareLedger* ledger) {
  return std::exchange(ledger->returns, {});
}

void ReceiveReturn(ShareLedger* ledger, const std::string& borrower,
                   const LoanReturn& loan_return) {
  const auto it = ledger->lent.find(loan_return.loan);
  if (it == ledger->lent.end() || it->second.borrower != borrower ||
      !Covers(it->second.units, loan_return.kept)) {
    return;
  }
  internal::ReclaimUnits(ledger, loan_return.loan, loan_return.kept);
  internal::ReleaseIdle(ledger);
}

Units UnitsInUse(const ShareLedger& ledger, const ResourceId& resource) {
  Units sum;
  for (const auto& [id, pool] : ledger.index.pools) {
    if (pool.resource == resource) sum = sum + pool.in_use;
  }
  return sum;
}

Units UsableUnits(const ShareLedger& ledger) {
  Units sum;
  for (const auto& [id, pool] : ledger.index.pools) {
    if (pool.usable && pool.resource.kind == ResourceId::Kind::kWorker) {
      sum = sum + pool.capacity - pool.lent;
    }
  }
  return sum;
}

}  // namespace sequoiapath
