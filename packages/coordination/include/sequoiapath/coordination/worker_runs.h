// Defines WorkerRuns, the record of the runs that one worker executes or may
// execute.
//
// Some workers enforce no capacity and accept every start order. The scheduler
// therefore counts the resources of a run as used from the moment that it sends
// the start order until a report of the worker shows that the run ended, or
// that it can no longer start.

#ifndef SEQUOIAPATH_COORDINATION_WORKER_RUNS_H_
#define SEQUOIAPATH_COORDINATION_WORKER_RUNS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

enum class RunState {
  kStarting,  // The start order was sent and its reply is awaited.
  kRunning,   // The worker confirmed that it executes the run.
  kUnknown,   // The start order failed without a reply, so it may still arrive.
};

struct WorkerRun {
  std::uint32_t run = 0;
  Resources demand;
  RunState state = RunState::kStarting;
  // True for a run that an earlier scheduler started and whose job is not known
  // to this scheduler.
  bool orphan = false;
  // No other task may start on the worker beside this run, because a worker has
  // crashed under the task.
  bool alone = false;
  std::chrono::milliseconds estimate{0};
  // The daemon that submitted the run's job when the run was started or
  // adopted; empty if it is not known.
  std::string origin;
  // End of the lease in the start order, on the worker's clock. The worker
  // rejects a start order that arrives later.
  WorkerTime lease_end{0};
  TimePoint ordered_at;
  // When a reply or a report of the worker first showed the run as running.
  TimePoint confirmed_running_at;
  bool stop_wanted = false;     // The run must be stopped.
  bool stop_in_flight = false;  // A stop order was sent and awaits its reply.
  // When the worker accepted a stop order for the run.
  std::optional<TimePoint> stopped_at;
};

enum class ClaimState {
  // The worker has not yet accepted a renewal from this scheduler.
  kUnclaimed,
  // The worker rejects lower fencing tokens, so its reports list every run.
  kClaimed,
  // The worker has accepted a higher fencing token from another scheduler.
  kForeign,
};

// Returns a short name for logs. Thread-safe.
const char* ToString(ClaimState state);

// The capacity in a worker's report.
struct ReportedCapacity {
  Resources capacity;
  WorkerTime clock{0};  // In that report.
};

// A task whose run counts as ended because the worker stopped answering.
struct UnansweredTask {
  TaskName task;
  // The worker had acknowledged the start or reported the run.
  bool confirmed = false;
};

struct WorkerRuns {
  WorkerDescription description;
  ClaimState claim = ClaimState::kUnclaimed;
  // The worker has accepted a renewal since this daemon began to schedule or
  // since RetryForeignWorkers last reset this member.
  bool has_accepted_claim = false;
  // The worker has rejected this scheduler's fencing token while
  // `has_accepted_claim` was false.
  bool has_rejected_claim = false;
  FencingToken fence = 0;  // Sent with every order to this worker.
  // By how much the worker's next rejection of `fence` raises its time. Doubles
  // with each rejection, up to one hour.
  std::chrono::milliseconds fence_step{1000};
  bool listed = true;
  TimePoint unlisted_at;
  // Another worker now uses this worker's address.
  bool replaced = false;

  // Renewals claim the worker, extend its leases and return its report.
  bool renewal_in_flight = false;
  std::uint64_t renewal_id = 0;  // Of the latest renewal.
  TimePoint renewal_sent_at;
  // When the renewal that returned the latest report was sent.
  TimePoint report_sent_at;
  // When a report was last requested at once for resubmitted jobs.
  TimePoint report_requested_at;
  TimePoint next_renewal;
  std::uint32_t unanswered_renewals = 0;  // Since the last reply.
  WorkerTime clock{0};                    // In the latest report.
  TimePoint clock_received_at;            // When the latest report arrived.
  bool clock_known = false;
  WorkerTime last_lease_end{0};  // Latest lease end sent to the worker.
  // When the leases have ended that another scheduler granted before the worker
  // accepted this scheduler's claim.
  TimePoint former_leases_end;
  // Start time of the worker's process, as reported by the worker. A change
  // shows that the worker was restarted.
  std::int64_t started_at_ms = 0;
  // In the latest report of this process that contains a capacity.
  std::optional<ReportedCapacity> reported_capacity;
  // Highest number of an end of a run in the worker's reports. The next renewal
  // acknowledges all ends up to it.
  std::uint64_t last_seen_end = 0;

  std::map<TaskName, WorkerRun> runs;
  Resources used;           // Sum of the demands of `runs`.
  std::size_t orphans = 0;  // Number of orphans in `runs`.
  // Set when the worker stops answering or is claimed by another scheduler or
  // replaced. By then every lease has expired, so its runs count as ended.
  std::optional<TimePoint> latest_run_expiry;
  // If the worker has crashed, the crash is charged to these as well.
  std::vector<UnansweredTask> unanswered_tasks;
  TimePoint unreachable_since;  // Set if `unanswered_renewals` is not zero.
  // Number of the latest renewals in a row whose connection was refused.
  std::uint32_t refused_renewals = 0;
  // A crash that is only inferred from refused connections has been charged.
  bool crash_presumed = false;
  // Smoothed ratio of the estimated run time to the actual run time.
  double speed = 1;
  TimePoint slow_until;
  TimePoint blocked_until;
  TimePoint cold_until;  // Tasks take longer than their estimates until then.
  // The worker's record in the store is of another process than its latest
  // report, as logged.
  bool awaits_record = false;
  // The worker is in the scheduler's list of workers to examine.
  bool in_pending_workers = false;
};

struct LeaseTimes {
  std::chrono::milliseconds lease{950};
  // The largest fraction by which a worker's clock may run slow.
  double clock_drift = 0.02;
  // Time that a worker needs to end runs whose lease has expired.
  std::chrono::milliseconds expiry_margin{100};
  // Bounds how long a run continues after its worker was claimed by another
  // scheduler. That scheduler may extend leases for this long before it stops
  // the runs of jobs that it does not know.
  std::chrono::milliseconds foreign_run_lifetime{1300};
};

// The end of a run, as listed in a worker's report or inferred from it.
struct EndedRun {
  TaskName task;
  WorkerRun run;
  RunOutcome outcome = RunOutcome::kOther;
  // False if the report lists the end of a run that this scheduler has no
  // record of.
  bool known = true;
};

// None of the functions below is thread-safe: calls must not overlap.

// Returns the estimated time on the worker's clock at `now`. Precondition: the
// worker has sent a report.
WorkerTime EstimateClock(const WorkerRuns& worker, TimePoint now);

// Returns the end of a lease that is granted at `now`, on the worker's clock;
// zero if that clock is not known.
WorkerTime NextLeaseEnd(const WorkerRuns& worker, const LeaseTimes& times,
                        TimePoint now);

// Returns the time by which all leases on the worker have expired and their
// runs have ended, provided that no further order reaches the worker.
TimePoint LatestRunExpiry(const WorkerRuns& worker, const LeaseTimes& times,
                          TimePoint now);

// Returns the longest time from the grant of a lease until the runs that it
// covers have ended.
Duration LongestLeaseTime(const LeaseTimes& times);

// Returns whether the report comes from another process of the worker than the
// latest one, so that the worker was restarted in between.
bool ShowsRestart(const WorkerRuns& worker, const WorkerReport& report);

// Returns whether the worker's record in the store and its latest report are of
// the same process, as far as both name one. A restarted worker may have other
// labels and another capacity than the record of its former process says.
bool RecordIsOfReportedProcess(const WorkerRuns& worker);

// Returns the capacity that is not used by runs. It is negative in a resource
// whose capacity has shrunk below the demands of the worker's runs.
Resources FreeCapacity(const WorkerRuns& worker);

// Adds a run whose start order is about to be sent. Precondition: the worker
// has no run of the task.
void AddRun(WorkerRuns* worker, const TaskName& task, const WorkerRun& run);

// Removes and returns the run of the task. Precondition: the worker has one.
WorkerRun RemoveRun(WorkerRuns* worker, const TaskName& task);

// Assigns an orphan to the job step that it belongs to.
void AdoptRun(WorkerRuns* worker, const TaskName& task, const JobStep& step);

// Applies the report that answers the renewal sent at `sent_at`. Returns the
// runs that ended according to the report.
std::vector<EndedRun> ApplyReport(WorkerRuns* worker,
                                  const WorkerReport& report, TimePoint sent_at,
                                  TimePoint now);

// Returns the tasks for whose runs a stop order must be sent now, and marks
// their stop orders as in flight.
std::vector<TaskName> TakeRunsToStop(WorkerRuns* worker);

// Removes and returns all runs if `latest_run_expiry` has passed.
std::vector<EndedRun> EndExpiredRuns(WorkerRuns* worker, TimePoint now);

// Discards the state of the worker's previous process after a restart. A
// confirmed run stays, because the new process may have confirmed it; it ends
// with the next report that does not list it. A run whose start order may still
// arrive is marked to be stopped.
void ResetForNewProcess(WorkerRuns* worker);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_WORKER_RUNS_H_
