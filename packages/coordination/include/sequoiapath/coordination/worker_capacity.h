// Defines CurrentCapacity, which determines a worker's capacity from its record
// in the store and its reports.
//
// The capacity may shrink and grow while the worker runs. A worker that does
// not enforce its capacity accepts every start order, so the scheduler must
// notice a smaller capacity also while the store is unavailable.

#ifndef SEQUOIAPATH_COORDINATION_WORKER_CAPACITY_H_
#define SEQUOIAPATH_COORDINATION_WORKER_CAPACITY_H_

#include "sequoiapath/coordination/worker_runs.h"

namespace sequoiapath {

// Returns the worker's capacity according to the newer one of its record and
// its latest report that contains a capacity. If their order is not known,
// returns the smaller amount of each resource. If no report of the present
// process contains a capacity, returns that of the record, even if a former
// process wrote it: nothing else is known until the next record.
// Thread-safe for a worker that no other thread changes.
Resources CurrentCapacity(const WorkerRuns& worker);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_WORKER_CAPACITY_H_
