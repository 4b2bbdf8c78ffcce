// Defines WorkerRuns, the account of what runs, or may run, on one worker.
//
// Workers that enforce no capacity start whatever they are told to, so a run
// takes its room from the moment of its start order until the worker's lists
// show that it ended, or that it can never start.

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
  kStarting,  // The start order is under way.
  kRunning,   // The worker confirmed it.
  kUnknown,   // The start order was not answered.
};

struct WorkerRun {
  std::uint32_t run = 0;
  Resources demand;
  RunState state = RunState::kStarting;
  // No job is known for it: a former scheduler started it.
  bool orphan = false;
  std::chrono::milliseconds estimate{0};
  // End of the lease in the start order; the worker rejects the order later.
  WorkerTime lease_end{0};
  TimePoint ordered_at;
  TimePoint confirmed_at;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  std::optional<TimePoint> stopped_at;  // When a stop order was accepted.
};

enum class ClaimState {
  kUnclaimed,  // No hold was accepted yet.
  kClaimed,    // Lower fencing tokens are rejected; the lists are complete.
  kForeign,    // Another scheduler has used a higher fencing token.
};

struct WorkerRuns {
  WorkerDescription description;
  ClaimState claim = ClaimState::kUnclaimed;
  bool claimed_before = false;   // With this scheduler's claim.
  bool rejected_before = false;  // The same.
  FencingToken fence = 0;
  std::chrono::milliseconds fence_step{1000};
  bool listed = true;
  TimePoint unlisted_at;
  // The address belongs to another worker now.
  bool replaced = false;

  bool hold_in_flight = false;
  std::uint64_t hold_id = 0;  // Of the latest hold.
  TimePoint hold_sent_at;
  TimePoint report_sent_at;  // When the hold of the latest report was sent.
  TimePoint next_hold;
  std::uint32_t unanswered = 0;  // Holds in a row.
  WorkerTime clock{0};           // In the latest report.
  TimePoint clock_at;            // When it arrived.
  bool clock_known = false;
  WorkerTime last_lease_end{0};  // Highest that was ever sent.
  std::int64_t started_at_ms = 0;
  std::uint64_t last_seen_end = 0;

  std::map<TaskName, WorkerRun> runs;
  Resources used;
  std::size_t orphans = 0;
  // Set while runs are lost: all leases have ended by then.
  std::optional<TimePoint> lapse_at;
  double speed = 1;  // Estimated over actual run time, smoothed.
  TimePoint slow_until;
  TimePoint blocked_until;
  bool touched = false;  // In the scheduler's list of workers to look at.
};

struct LeaseTimes {
  std::chrono::milliseconds lease{950};
  // Workers' clocks may be this much slower.
  double clock_drift = 0.02;
  // Time that a worker needs to end what has lapsed.
  std::chrono::milliseconds end_slack{100};
  // Another scheduler extends leases for so long at most until it stops what
  // it cannot account for.
  std::chrono::milliseconds foreign_slack{1300};
};

// The end of a run, as found in a worker's report or concluded.
struct RunEnded {
  TaskName task;
  WorkerRun run;
  RunOutcome how = RunOutcome::kOther;
  // False for an end that was listed for a run that this scheduler never had.
  bool known = true;
};

// Thread safety of all functions here: one thread at a time.

// Returns the worker's clock at `now`, as far as it is known.
WorkerTime EstimateClock(const WorkerRuns& worker, TimePoint now);

// Returns the end of a lease that is granted now.
WorkerTime NextLeaseEnd(const WorkerRuns& worker, const LeaseTimes& times,
                        TimePoint now);

// Returns the time by which everything on the worker has lapsed, if no further
// order reaches it.
TimePoint LapseTime(const WorkerRuns& worker, const LeaseTimes& times,
                    TimePoint now);

// Returns the room that is left.
Resources FreeRoom(const WorkerRuns& worker);

// Adds a run whose start order is about to be sent. Precondition: no run of the
// task is on the worker.
void AddRun(WorkerRuns* worker, const TaskName& task, const WorkerRun& run);

// Removes a run and returns it. Precondition: it is on the worker.
WorkerRun RemoveRun(WorkerRuns* worker, const TaskName& task);

// Gives an orphan to a job again.
void AdoptRun(WorkerRuns* worker, const TaskName& task, const JobStep& step);

// Takes over a worker's report in reply to a hold that was sent at `sent_at`.
// Returns the ends that it shows or implies.
std::vector<RunEnded> ApplyReport(WorkerRuns* worker,
                                  const WorkerReport& report, TimePoint sent_at,
                                  TimePoint now);

// Returns runs that should be told to stop now and marks them so.
std::vector<TaskName> TakeStops(WorkerRuns* worker);

// Ends all runs if their leases have surely lapsed.
std::vector<RunEnded> EndLapsedRuns(WorkerRuns* worker, TimePoint now);

// Forgets what was learnt of the worker's former process. Runs that it
// confirmed end with the next list that does not show them; the new process may
// have confirmed some. Runs whose start order may still arrive are to be
// stopped.
void DisownFormerProcess(WorkerRuns* worker);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_WORKER_RUNS_H_
