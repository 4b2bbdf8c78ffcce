// Declares what the evacuation of data centres decides about workers and jobs,
// and how a cold worker's run times are estimated.

#ifndef SEQUOIAPATH_COORDINATION_EVACUATED_WORKERS_H_
#define SEQUOIAPATH_COORDINATION_EVACUATED_WORKERS_H_

#include <chrono>
#include <optional>
#include <string>

#include "sequoiapath/coordination/task_scheduler.h"

namespace sequoiapath::internal {

// Delay after which a caller may retry a job that could run in evacuated data
// centres only. Operators withdraw a request after minutes, not seconds.
constexpr std::chrono::milliseconds kEvacuatedRetryDelay{5000};
// Ratio of the run time on a cold worker to the estimate. Records do not say
// how slow a cold worker is.
constexpr int kColdRunTimeFactor = 2;

// Returns whether the worker is in an evacuated data centre.
bool IsInEvacuatedDataCentre(const TaskScheduler& scheduler,
                             const WorkerRuns& worker);

// Returns the refusal of a job that could run in evacuated data centres only.
StepJobAnswer EvacuatedAnswer();

// Returns the refusal of a job that has not started, if all workers of its
// service are in evacuated data centres. Returns nothing if none is known.
std::optional<StepJobAnswer> CheckEvacuation(const TaskScheduler& scheduler,
                                             const StepJob& job);

// Returns whether a step with waiting tasks can run in evacuated data centres
// only.
bool NeedsEvacuatedWorker(const TaskScheduler& scheduler,
                          const ScheduledJob& job);

// Counts the waiting tasks that a worker in an evacuated data centre has the
// milli-cores for. Each job is counted once.
void CountWithheldStarts(TaskScheduler* scheduler);

// Applies the time that the worker stays cold according to its new record.
// `is_new` is true for a worker that was not known before. Call it before the
// record replaces the worker's description.
void ObserveColdRecord(WorkerRuns* worker, const WorkerDescription& record,
                       bool is_new, TimePoint now);

// Returns the expected run time of a task with this estimate on the worker.
std::chrono::milliseconds EstimateOn(const WorkerRuns& worker,
                                     std::chrono::milliseconds estimate,
                                     TimePoint now);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_EVACUATED_WORKERS_H_
