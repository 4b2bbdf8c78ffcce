// Declares the functions that charge the crash of a worker to tasks and decide
// how tasks under which a worker has crashed may run.

#ifndef SEQUOIAPATH_COORDINATION_WORKER_CRASHES_H_
#define SEQUOIAPATH_COORDINATION_WORKER_CRASHES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sequoiapath/coordination/task_scheduler.h"
#include "task_placement.h"

namespace sequoiapath::internal {

// Reason of the answer to a job with a task that is given up.
constexpr const char* kCrashesWorkers = "crashes_workers";

// Charges the end of the worker's process, whose id or address belongs to
// another process now, unless it was draining and has ended as planned.
void ChargeIfNotDraining(TaskScheduler* scheduler, const WorkerRuns& worker,
                         TimePoint now);

// Records an unanswered renewal. A process that has crashed closes its
// connections and refuses all later ones, so the crash is charged after a few
// refusals in a row. That does not end the runs: a network that resets
// connections looks the same, and the worker may still execute them. A crash is
// not presumed if many workers became unreachable at the same time.
void ObserveUnansweredRenewal(TaskScheduler* scheduler, WorkerRuns* worker,
                              bool refused, TimePoint now);

// Applies the answer of an unreachable worker. Charges its crash if another
// process answers, and withdraws a presumed crash if the same one does.
void SettleCrash(TaskScheduler* scheduler, WorkerRuns* worker,
                 std::int64_t started_at_ms, TimePoint now);

// Keeps the tasks of runs that count as ended because the worker does not
// answer. If it has crashed, ChargeIfRestarted charges them later.
void KeepUnansweredRuns(WorkerRuns* worker, const std::vector<EndedRun>& ended);

// Returns whether a worker has crashed under the task.
bool IsSuspect(const TaskScheduler& scheduler, const TaskName& task);

// Adds the worker to the counts that limit the runs of suspects.
void CountWorker(const WorkerRuns& worker, SuspectLimit* limit);

// Returns whether the task may start now, as far as crashes are concerned. A
// suspect waits while `limit` is reached, and the other tasks of a job wait
// until its suspects have ended.
bool MayStartNow(const TaskScheduler& scheduler, const ScheduledJob& job,
                 const TaskName& task, const SuspectLimit& limit);

// Returns whether the worker runs a suspect, so that no other task may start.
bool RunsSuspect(const WorkerRuns& worker);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_WORKER_CRASHES_H_
