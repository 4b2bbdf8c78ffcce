// Defines TaskScheduler, which places the tasks of jobs on workers.
//
// It holds nothing that cannot be learnt again: the daemons that took the jobs
// submit them again to a successor, and the workers list what runs. Its
// functions take the time as a parameter and return orders and answers.

#ifndef SEQUOIAPATH_COORDINATION_TASK_SCHEDULER_H_
#define SEQUOIAPATH_COORDINATION_TASK_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sequoiapath/coordination/worker_health.h"
#include "sequoiapath/coordination/worker_runs.h"
#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct SchedulerTimes {
  LeaseTimes lease;
  // How long a worker's reply to a hold waits for an end.
  std::chrono::milliseconds hold_wait{300};
  // The same while leases are not extended, because orphans run.
  std::chrono::milliseconds orphan_hold_wait{50};
  // An unanswered hold is repeated after this.
  Duration hold_retry = std::chrono::milliseconds(60);
  // Runs of no known job are stopped after this. Daemons submit their jobs to a
  // new scheduler within a round trip.
  Duration orphan_grace = std::chrono::milliseconds(200);
  // A job that was submitted to a former scheduler starts no further task for
  // so long while workers are missing that may run its tasks. The former
  // scheduler notices within 0.6 s that it lost the job's daemon, and the
  // leases that it granted until then end after one second more.
  Duration unknown_runs = std::chrono::milliseconds(1800);
  // When a worker that another scheduler took is tried again.
  Duration foreign_retry_full = std::chrono::seconds(8);
  // A partial scheduler's and every scheduler's first try waits until it has
  // surely noticed which daemons are out of its reach, 0.6 s, and has stopped
  // their jobs. The other scheduler may run the same tasks.
  Duration foreign_retry_partial = std::chrono::milliseconds(700);
  // Orders that another scheduler sent before it gave up arrive within this
  // time. A worker that is lost to them is taken back at once.
  Duration late_rival_orders = std::chrono::seconds(1);
  // A worker is still used for so long after its entry was removed; entries
  // that lapsed while the store was away come back within two seconds.
  Duration unlisted_grace = std::chrono::milliseconds(2500);
  // Ends of unknown tasks and answers are remembered for so long.
  Duration memory = std::chrono::seconds(4);
  // A worker on which a task takes far too long gets no task for so long.
  Duration slow_pause = std::chrono::seconds(2);
  // A task takes far too long if it exceeds both its estimate plus
  // `overdue_slack` and `overdue_factor` times its estimate.
  double overdue_factor = 4;
  std::chrono::milliseconds overdue_slack{400};
};

enum class TaskState { kWaiting, kPlaced, kDone };

struct ScheduledTask {
  TaskState state = TaskState::kWaiting;
  std::uint32_t failed_runs = 0;
  std::string worker;       // While placed.
  std::string last_worker;  // Where it failed or stood still.
};

struct ScheduledStep {
  std::vector<ScheduledTask> tasks;
  std::size_t waiting = 0;
  std::size_t unfinished = 0;
};

// A job that is surely late is worth little to its caller. It goes after all
// jobs that can still be in time, so that a burst makes few jobs late and not
// all.
enum class Lateness {
  kInTime,
  kLateStarted,  // Some of its tasks have started.
  kLate,
};

// Orders jobs: by lateness, by priority, then by the time at which they become
// late, or at which a late one expires.
struct QueueKey {
  Lateness lateness = Lateness::kInTime;
  int priority = 0;
  TimePoint due;
  std::uint64_t sequence = 0;

  bool operator<(const QueueKey& other) const {
    return std::tie(this->lateness, this->priority, this->due, this->sequence) <
           std::tie(other.lateness, other.priority, other.due, other.sequence);
  }
};

struct ScheduledJob {
  StepJob job;
  std::vector<ScheduledStep> steps;
  QueueKey key;
  TimePoint arrived;
  TimePoint expires;
  TimePoint objective;
  std::uint32_t last_run = 0;  // Highest number of any run of its tasks.
  bool any_started = false;    // By this scheduler or a former one.
  TimePoint submitted;
  // No new task starts before, unless it is known of every worker what it runs.
  TimePoint uncertain_until;
  TimePoint next_list_check;  // Of all workers' lists, until then.
};

struct SendStart {
  std::string worker;
  StartOrder order;
};

struct SendStop {
  std::string worker;
  StopOrder order;
};

struct SendHold {
  std::string worker;
  RenewOrder order;
};

struct AnswerJob {
  std::string job;
  StepJobAnswer answer;
};

// Something that changes what the scheduler believes, for the log.
struct SchedulerNote {
  const char* event = "";
  std::string worker;
  std::string job;
  std::string detail;
};

using SchedulerAction =
    std::variant<SendStart, SendStop, SendHold, AnswerJob, SchedulerNote>;

struct SchedulerCounts {
  std::uint64_t starts = 0;
  std::uint64_t starts_rejected = 0;
  std::uint64_t starts_unanswered = 0;
  std::uint64_t holds = 0;
  std::uint64_t holds_unanswered = 0;
  std::uint64_t stops = 0;
  std::uint64_t adopted = 0;
  std::uint64_t orphans_stopped = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_lost = 0;
  std::uint64_t jobs = 0;
};

// Thread safety of all functions here: one thread at a time.
struct TaskScheduler {
  SchedulerTimes times;
  FencingToken claim = 0;  // Zero: this daemon does not schedule.
  bool partial = false;
  std::map<std::string, WorkerRuns> workers;
  WorkerHealth health;
  std::unordered_map<std::string, ScheduledJob> jobs;
  // Jobs with waiting tasks.
  std::map<QueueKey, ScheduledJob*> queue;
  std::uint64_t next_sequence = 0;
  // Tasks that ended as done before their job was submitted to this scheduler.
  std::map<TaskName, TimePoint> unclaimed_ends;
  struct RememberedAnswer {
    StepJobAnswer answer;
    TimePoint at;
  };
  std::unordered_map<std::string, RememberedAnswer> answers;
  std::set<std::string> home_workers;  // Of a partial scheduler.
  TimePoint take_back_until;  // Workers that were lost to another scheduler.
  // All of `workers`, for quick passes.
  std::vector<WorkerRuns*> worker_list;
  // Workers with an event since the last pass. The others are looked at in
  // sweeps only, so that a pass costs no time for each worker.
  std::vector<WorkerRuns*> touched;
  // No waiting task needs less.
  std::int64_t smallest_demand = 0;
  TimePoint next_cleanup;
  TimePoint next_sweep;
  std::uint64_t next_hold_id = 0;
  bool room_changed = false;
  std::vector<SchedulerAction> actions;
  SchedulerCounts counts;
};

// Begins to schedule with a fencing token. Workers are taken one by one.
void BeginScheduling(TaskScheduler* scheduler, FencingToken claim,
                     TimePoint now);

// Stops scheduling: answers each job with kMoved and forgets what runs.
void EndScheduling(TaskScheduler* scheduler);

// Sets whether only the home workers may be used, and which these are.
void SetExtent(TaskScheduler* scheduler, bool partial,
               std::set<std::string> home_workers);

// Tries workers that another scheduler took again after `delay`, with at least
// the given fencing token, and those that are lost within a second at once.
// Precondition: the token is of this daemon.
void RetryForeignWorkers(TaskScheduler* scheduler, FencingToken fence,
                         Duration delay, TimePoint now);

// Adds a worker or takes over a change of its record.
void UpdateWorker(TaskScheduler* scheduler, const WorkerDescription& worker,
                  TimePoint now);

// Records that the store no longer lists a worker.
void UnlistWorker(TaskScheduler* scheduler, const std::string& worker,
                  TimePoint now);

// Takes a job. An answer follows as an action, possibly at once. A job that is
// known is not started again.
void SubmitJob(TaskScheduler* scheduler, StepJob job, TimePoint now);

// Ends a job early and stops its tasks. Returns false if it is unknown.
bool CancelJob(TaskScheduler* scheduler, const std::string& job, TimePoint now);

void RecordStartReply(TaskScheduler* scheduler, const std::string& worker,
                      const StartOrder& order, const OrderReply& reply,
                      TimePoint now);
void RecordStopReply(TaskScheduler* scheduler, const std::string& worker,
                     const StopOrder& order, const OrderReply& reply,
                     TimePoint now);
void RecordHoldReply(TaskScheduler* scheduler, const std::string& worker,
                     const RenewOrder& order, const RenewReply& reply,
                     TimePoint now);

// Places waiting tasks, renews leases, and ends what is over. Call it after
// each batch of events and every 20 ms or so. Workers without an event are
// looked at every 10 ms at most.
void RunScheduler(TaskScheduler* scheduler, TimePoint now);

// Returns the actions since the last call.
std::vector<SchedulerAction> TakeActions(TaskScheduler* scheduler);

// Returns the time that a job would wait for a worker, by the work ahead of it;
// nothing if no worker is in use.
std::optional<std::chrono::milliseconds> ExpectedWait(
    const TaskScheduler& scheduler, const StepJob& job, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_TASK_SCHEDULER_H_
