#include "sequoiapath/coordination/unit_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sequoiapath/protocol/assert.h"

namespace sequoiapath {
namespace internal {
namespace {

std::size_t GetOrCreateClass(UnitIndex* index, const std::string& key,
                             const WorkerSpec& spec) {
  const auto [it, added] =
      index->class_by_key.emplace(key, index->classes.size());
  if (added) {
    UnitClass new_class;
    new_class.spec = spec;
    new_class.max_accelerators = spec.accelerators;
    index->classes.push_back(std::move(new_class));
  }
  return it->second;
}

std::size_t BucketNumber(const Units& free, int max_accelerators) {
  return static_cast<std::size_t>(free.slots) *
             static_cast<std::size_t>(max_accelerators + 1) +
         static_cast<std::size_t>(free.accelerators);
}

// Updates `highest_bucket` of a class after a change of its buckets, and moves
// the class to the level of its pool with the most free slots.
void UpdateLevel(UnitIndex* index, std::size_t number) {
  UnitClass& unit_class = index->classes[number];
  while (unit_class.highest_bucket > 0 &&
         unit_class.buckets[unit_class.highest_bucket].empty()) {
    --unit_class.highest_bucket;
  }
  const std::size_t level =
      unit_class.highest_bucket /
      static_cast<std::size_t>(unit_class.max_accelerators + 1);
  const bool is_quota = unit_class.spec.name.empty();
  if (is_quota || level == unit_class.level) return;
  if (unit_class.level > 0) {
    auto& old = index->levels[unit_class.level];
    old[unit_class.position] = old.back();
    index->classes[old[unit_class.position]].position = unit_class.position;
    old.pop_back();
  }
  unit_class.level = level;
  if (level == 0) return;
  if (index->levels.size() <= level) index->levels.resize(level + 1);
  unit_class.position = index->levels[level].size();
  index->levels[level].push_back(number);
}

void Unlink(UnitClass* unit_class, UnitPool* pool) {
  auto& bucket = unit_class->buckets[pool->bucket];
  bucket[pool->position] = bucket.back();
  bucket[pool->position]->position = pool->position;
  bucket.pop_back();
  pool->indexed = false;
}

void Link(UnitClass* unit_class, UnitPool* pool, std::size_t number) {
  if (unit_class->buckets.size() <= number) {
    unit_class->buckets.resize(number + 1);
  }
  auto& bucket = unit_class->buckets[number];
  pool->bucket = number;
  pool->position = bucket.size();
  pool->indexed = true;
  bucket.push_back(pool);
  unit_class->highest_bucket = std::max(unit_class->highest_bucket, number);
}

UnitPool* FindInBucket(const std::vector<UnitPool*>& bucket,
                       const std::function<bool(const UnitPool&)>& eligible) {
  for (UnitPool* pool : bucket) {
    if (eligible(*pool)) return pool;
  }
  return nullptr;
}

}  // namespace
}  // namespace internal

Units operator+(const Units& a, const Units& b) {
  return {a.slots + b.slots, a.accelerators + b.accelerators};
}

Units operator-(const Units& a, const Units& b) {
  return {a.slots - b.slots, a.accelerators - b.accelerators};
}

bool IsZero(const Units& units) {
  return units.slots == 0 && units.accelerators == 0;
}

bool Covers(const Units& whole, const Units& part) {
  return whole.slots >= part.slots && whole.accelerators >= part.accelerators;
}

std::string ToString(const ResourceId& resource) {
  if (resource.kind == ResourceId::Kind::kWorker) return resource.name;
  return fmt::format("quota:{}#{}", resource.name, resource.part);
}

Units FreeUnits(const UnitPool& pool) {
  return pool.capacity - pool.in_use - pool.lent;
}

std::size_t GetOrCreateWorkerClass(UnitIndex* index, const WorkerSpec& spec) {
  return internal::GetOrCreateClass(
      index,
      fmt::format("w|{}|{}|{}|{}|{}|{}", spec.data_centre, spec.rack,
                  spec.slots, spec.cores, spec.memory_mb, spec.accelerators),
      spec);
}

std::size_t GetOrCreateQuotaClass(UnitIndex* index, const std::string& team) {
  return internal::GetOrCreateClass(index, "q|" + team, {});
}

UnitPool* AddPool(UnitIndex* index, UnitPool pool) {
  pool.id = index->next_pool++;
  pool.indexed = false;
  const PoolId id = pool.id;
  UnitPool* added = &index->pools.emplace(id, std::move(pool)).first->second;
  Reindex(index, added);
  return added;
}

void RemovePool(UnitIndex* index, PoolId id) {
  const auto it = index->pools.find(id);
  SEQUOIAPATH_ASSERT(it != index->pools.end(), "pool {} does not exist", id);
  UnitPool& pool = it->second;
  if (pool.indexed) {
    internal::Unlink(&index->classes[pool.unit_class], &pool);
    internal::UpdateLevel(index, pool.unit_class);
  }
  index->pools.erase(it);
}

void Reindex(UnitIndex* index, UnitPool* pool) {
  UnitClass* unit_class = &index->classes[pool->unit_class];
  if (pool->indexed) internal::Unlink(unit_class, pool);
  const Units free = FreeUnits(*pool);
  // Free units can be negative after a change of the document reduced the
  // worker's slots below the number in use.
  if (pool->usable && free.slots > 0 && free.accelerators >= 0) {
    internal::Link(unit_class, pool,
                   internal::BucketNumber(free, unit_class->max_accelerators));
  }
  internal::UpdateLevel(index, pool->unit_class);
}

UnitPool* FindPool(UnitIndex* index, std::size_t unit_class, const Units& need,
                   const std::function<bool(const UnitPool&)>& eligible) {
  UnitClass& found = index->classes[unit_class];
  const int width = found.max_accelerators + 1;
  for (int slots = static_cast<int>(found.highest_bucket) / width;
       slots >= std::max(need.slots, 1); --slots) {
    for (int more = need.accelerators; more < width; ++more) {
      const auto number =
          internal::BucketNumber({slots, more}, found.max_accelerators);
      if (number > found.highest_bucket) break;
      UnitPool* pool = internal::FindInBucket(found.buckets[number], eligible);
      if (pool != nullptr) return pool;
    }
  }
  return nullptr;
}

}  // namespace sequoiapath
