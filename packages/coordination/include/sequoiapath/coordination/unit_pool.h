// Defines UnitPool, the units of one worker or quota part that are either owned
// or borrowed through one loan, and UnitIndex, which finds the pool of a class
// with the most free units.

#ifndef SEQUOIAPATH_COORDINATION_UNIT_POOL_H_
#define SEQUOIAPATH_COORDINATION_UNIT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "sequoiapath/protocol/document.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A number of slots and accelerators of a worker, or a number of a team's quota
// units, which are counted as slots.
struct Units {
  int slots = 0;
  int accelerators = 0;

  friend bool operator==(const Units&, const Units&) = default;
};

Units operator+(const Units& a, const Units& b);
Units operator-(const Units& a, const Units& b);
bool IsZero(const Units& units);
// Returns whether `whole` has at least the slots and accelerators of `part`.
bool Covers(const Units& whole, const Units& part);

// A whole worker or one part of a team's quota. Ownership applies to whole
// resources; a loan transfers some units of one resource.
struct ResourceId {
  enum class Kind { kWorker, kQuota };
  Kind kind = Kind::kWorker;
  std::string name;  // Name of the worker or team.
  int part = 0;      // Number of the quota part; zero for workers.

  friend bool operator==(const ResourceId&, const ResourceId&) = default;
  friend bool operator<(const ResourceId& a, const ResourceId& b) {
    return std::tie(a.kind, a.name, a.part) < std::tie(b.kind, b.name, b.part);
  }
};

// Returns the name that is hashed to find the owner and that appears in logs.
std::string ToString(const ResourceId& resource);

using PoolId = std::uint64_t;  // Zero: no pool.
using LoanId = std::uint64_t;  // Unique within the lender's process.

// The units of one resource that this VM owns or has borrowed through one loan.
struct UnitPool {
  PoolId id = 0;
  ResourceId resource;
  Units capacity;
  Units in_use;
  Units lent;
  bool usable = false;  // Whether units may be allocated to new tasks.
  // The next four members are set for borrowed units only.
  std::string lender;
  LoanId loan = 0;
  TimePoint loan_end;
  bool recalled = false;
  // Position in the index: classes[unit_class].buckets[bucket][position].
  std::size_t unit_class = 0;
  std::size_t bucket = 0;
  std::size_t position = 0;
  bool indexed = false;
};

// Returns the units of a pool that are neither in use nor lent.
Units FreeUnits(const UnitPool& pool);

// Pools of workers with equal resources in the same rack, or of one team's
// quota.
struct UnitClass {
  // The spec of the first worker of the class; its name and address do not
  // apply to the others. The name is empty for a quota.
  WorkerSpec spec;
  int max_accelerators = 0;
  // Usable pools by free units. The bucket number is
  // slots * (max_accelerators + 1) + accelerators.
  std::vector<std::vector<UnitPool*>> buckets;
  std::size_t highest_bucket = 0;  // The last bucket with a pool; zero if none.
  // `level` is the greatest number of free slots of a pool in this class. The
  // class is listed in UnitIndex::levels[level][position] unless `level` is
  // zero, as it always is for quotas.
  std::size_t level = 0;
  std::size_t position = 0;
};

// Stores all pools. The address of a pool stays the same until it is removed.
// Not copyable, because the buckets point to the pools.
struct UnitIndex {
  UnitIndex() = default;
  UnitIndex(const UnitIndex&) = delete;
  UnitIndex& operator=(const UnitIndex&) = delete;

  std::unordered_map<PoolId, UnitPool> pools;
  std::vector<UnitClass> classes;
  // Positions in `classes` of the worker classes, by level; level zero is
  // empty.
  std::vector<std::vector<std::size_t>> levels;
  // Positions in `classes` by a key that contains what the pools of a class
  // have in common.
  std::map<std::string, std::size_t> class_by_key;
  PoolId next_pool = 1;
};

// Return the position in `classes` of the class for workers with the resources
// and rack of `spec`, or for a team's quota. A missing class is created. Thread
// safety of all functions here: one thread at a time.
std::size_t GetOrCreateWorkerClass(UnitIndex* index, const WorkerSpec& spec);
std::size_t GetOrCreateQuotaClass(UnitIndex* index, const std::string& team);

// Adds a pool, assigns its id and returns it.
UnitPool* AddPool(UnitIndex* index, UnitPool pool);
void RemovePool(UnitIndex* index, PoolId id);

// Updates the position of a pool in the index. Must be called after each change
// of its units or of `usable`.
void Reindex(UnitIndex* index, UnitPool* pool);

// Returns the usable pool of a class that has the most free slots among those
// that cover `need` and that `eligible` accepts; null if there is none. Among
// pools with equally many free slots, returns the one with the fewest free
// accelerators.
UnitPool* FindPool(UnitIndex* index, std::size_t unit_class, const Units& need,
                   const std::function<bool(const UnitPool&)>& eligible);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_UNIT_POOL_H_
