// Defines UnitPool, units of one worker or quota part from one source, and
// UnitIndex, which finds the pool with the most free units of a class.

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

// A number of slots and accelerators of one worker, or (as slots) a number of
// a team's quota units.
struct Units {
  int slots = 0;
  int accelerators = 0;

  friend bool operator==(const Units&, const Units&) = default;
};

Units operator+(const Units& a, const Units& b);
Units operator-(const Units& a, const Units& b);
bool IsZero(const Units& units);
// Says whether `whole` has at least the slots and accelerators of `part`.
bool Covers(const Units& whole, const Units& part);

// The indivisible subject of ownership: a whole worker or one part of a team's
// quota. Only whole resources change owner; loans move single units.
struct ResourceId {
  enum class Kind { kWorker, kQuota };
  Kind kind = Kind::kWorker;
  std::string name;  // Worker or team.
  int part = 0;      // Of a quota.

  friend bool operator==(const ResourceId&, const ResourceId&) = default;
  friend bool operator<(const ResourceId& a, const ResourceId& b) {
    return std::tie(a.kind, a.name, a.part) < std::tie(b.kind, b.name, b.part);
  }
};

// Returns the text that is hashed to find the owner; also used in logs.
std::string ToString(const ResourceId& resource);

using PoolId = std::uint64_t;  // Zero names no pool.
using LoanId = std::uint64_t;  // Unique per lender process.

struct UnitPool {
  PoolId id = 0;
  ResourceId resource;
  Units capacity;
  Units in_use;
  Units lent;
  bool usable = false;  // New tasks may start on it.
  // Set for borrowed units only.
  std::string lender;
  LoanId loan = 0;
  TimePoint loan_end;
  bool recalled = false;
  // Place in the index.
  std::size_t unit_class = 0;
  std::size_t bucket = 0;
  std::size_t position = 0;
  bool indexed = false;
};

// Returns the units of a pool that are neither in use nor lent.
Units FreeUnits(const UnitPool& pool);

// Pools of workers of equal resources and place, or of one team's quota.
struct UnitClass {
  WorkerSpec spec;  // Of any worker of the class; name and address unused.
  int max_accelerators = 0;
  // Usable pools by free units: slots * (max_accelerators + 1) + accelerators.
  std::vector<std::vector<UnitPool*>> buckets;
  std::size_t highest_bucket = 0;  // The last bucket with a pool; zero if none.
  // Place in UnitIndex::levels.
  std::size_t level = 0;
  std::size_t position = 0;
};

// Keeps all pools. Addresses of pools are stable. Not copyable, because the
// buckets point to the pools.
struct UnitIndex {
  UnitIndex() = default;
  UnitIndex(const UnitIndex&) = delete;
  UnitIndex& operator=(const UnitIndex&) = delete;

  std::unordered_map<PoolId, UnitPool> pools;
  std::vector<UnitClass> classes;
  // Classes of workers by the free slots of their least loaded pool.
  std::vector<std::vector<std::size_t>> levels;
  std::map<std::string, std::size_t> class_by_key;
  PoolId next_pool = 1;
};

// Returns the class for workers like `spec` or for a team's quota, and makes it
// if needed. Thread safety of all functions here: one thread at a time.
std::size_t GetOrCreateWorkerClass(UnitIndex* index, const WorkerSpec& spec);
std::size_t GetOrCreateQuotaClass(UnitIndex* index, const std::string& team);

// Adds a pool and returns it; `pool.id` is assigned.
UnitPool* AddPool(UnitIndex* index, UnitPool pool);
void RemovePool(UnitIndex* index, PoolId id);

// Must be called after each change of a pool's units or usability.
void Reindex(UnitIndex* index, UnitPool* pool);

// Returns the usable pool of a class with the most free slots that covers
// `need` and that `eligible` accepts; null if there is none.
// Among equal slots, the one with the fewest sufficient accelerators.
UnitPool* FindPool(UnitIndex* index, std::size_t unit_class, const Units& need,
                   const std::function<bool(const UnitPool&)>& eligible);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_UNIT_POOL_H_
