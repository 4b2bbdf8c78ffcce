#include "sequoiapath/coordination/worker_capacity.h"

#include <algorithm>

namespace sequoiapath {
namespace internal {
namespace {

// Start times are zero if they are not known.
bool IsEarlierProcess(std::int64_t started_at_ms, std::int64_t other_ms) {
  return started_at_ms != 0 && other_ms != 0 && started_at_ms < other_ms;
}

Resources Smaller(const Resources& a, const Resources& b) {
  return {std::min(a.milli_cores, b.milli_cores),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

}  // namespace
}  // namespace internal

Resources CurrentCapacity(const WorkerRuns& worker) {
  const WorkerDescription& record = worker.description;
  if (!worker.reported_capacity) return record.capacity;
  const ReportedCapacity& reported = *worker.reported_capacity;
  if (internal::IsEarlierProcess(record.started_at_ms, worker.started_at_ms)) {
    return reported.capacity;
  }
  // The next report shows the restart.
  if (internal::IsEarlierProcess(worker.started_at_ms, record.started_at_ms)) {
    return internal::Smaller(record.capacity, reported.capacity);
  }
  if (record.clock) {
    return *record.clock > reported.clock ? record.capacity : reported.capacity;
  }
  // A worker in use reports several times per second and writes its record
  // every second or two, so the latest report is newer than the record.
  if (reported.clock == worker.clock) return reported.capacity;
  return internal::Smaller(record.capacity, reported.capacity);
}

}  // namespace sequoiapath
