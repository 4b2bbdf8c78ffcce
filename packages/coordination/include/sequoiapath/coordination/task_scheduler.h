// Defines TaskScheduler, which places the tasks of jobs on workers.
//
// All of its state is kept in memory and can be rebuilt by a successor: the
// daemons that accepted the jobs submit them again, and the workers report the
// runs that they hold. The functions do no I/O and read no clock: they take the
// time as a parameter and queue worker orders and job answers as actions.
//
// A renewal is an order that extends the leases of all runs on a worker and
// asks for a report of these runs. An orphan is a run whose job this scheduler
// does not know. A foreign worker is one that has accepted a higher fencing
// token from another scheduler.

#ifndef SEQUOIAPATH_COORDINATION_TASK_SCHEDULER_H_
#define SEQUOIAPATH_COORDINATION_TASK_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "sequoiapath/coordination/cancel_history.h"
#include "sequoiapath/coordination/crash_history.h"
#include "sequoiapath/coordination/evacuation.h"
#include "sequoiapath/coordination/link_budget.h"
#include "sequoiapath/coordination/overload_policy.h"
#include "sequoiapath/coordination/worker_health.h"
#include "sequoiapath/coordination/worker_runs.h"
#include "sequoiapath/protocol/step_job.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct SchedulerTimes {
  LeaseTimes lease;
  // How long a worker delays its reply to a renewal until a run ends.
  std::chrono::milliseconds renewal_wait{300};
  // Replaces `renewal_wait` while the worker runs orphans, whose leases are not
  // extended.
  std::chrono::milliseconds orphan_renewal_wait{50};
  // Delay before an unanswered renewal is sent again; multiplied by the number
  // of unanswered renewals in a row, up to 0.5 s.
  Duration renewal_retry_delay = std::chrono::milliseconds(60);
  // Orphans are stopped after this time. Daemons submit their jobs to a new
  // scheduler within one round trip.
  Duration orphan_grace = std::chrono::milliseconds(200);
  // How long a resubmitted job starts no further task while reports are missing
  // from workers that may run its tasks. The former scheduler detects within
  // 0.6 s that it has lost the job's daemon, and the leases that it granted
  // until then end one second later.
  Duration resubmission_wait = std::chrono::milliseconds(1800);
  // A submission is accepted if this scheduler sent the heartbeat on which it
  // is based at most this long ago. A daemon that hears no later heartbeat for
  // this time submits its jobs to another scheduler, which waits for the runs
  // of this one for `resubmission_wait` or until all workers have reported.
  Duration max_heartbeat_age = std::chrono::milliseconds(600);
  // No task of a job starts once the daemon that submitted the job was last
  // confirmed to be alive longer ago than this.
  Duration daemon_timeout = std::chrono::milliseconds(800);
  // A lease ends at most this long after the oldest confirmation among the
  // daemons whose jobs run on the worker. With the worker's clock drift and the
  // time that it needs to end its runs, this is less than the 1,300 ms after
  // which a caller that has lost its daemon sends its job again, so the next
  // scheduler finds no run of it.
  std::chrono::milliseconds confirmed_lease{1150};
  // Delay before a full scheduler claims a foreign worker again.
  Duration long_foreign_retry_delay = std::chrono::seconds(8);
  // The same delay for a partial scheduler, and for any scheduler after the
  // first rejection by a worker that it has never claimed. The delay exceeds
  // the 0.6 s in which a scheduler detects unreachable daemons and stops their
  // jobs, because the other scheduler may run the same tasks.
  Duration short_foreign_retry_delay = std::chrono::milliseconds(700);
  // Orders that another scheduler sent before it stopped scheduling arrive
  // within this time. A worker that becomes foreign through them is claimed
  // again at once.
  Duration max_order_delay = std::chrono::seconds(1);
  // How long a worker stays in use after its entry left the store. Entries that
  // lapsed while the store was unavailable are written again within 2 s.
  Duration unlisted_grace = std::chrono::milliseconds(2500);
  // How long answers, and ends of tasks of unknown jobs, are kept.
  Duration retention_time = std::chrono::seconds(4);
  // How long a worker gets no new task after a task on it became overdue.
  Duration slow_worker_pause = std::chrono::seconds(2);
  // A task is overdue if its run time reaches both its estimate plus
  // `overdue_slack` and `overdue_factor` times its estimate.
  double overdue_factor = 4;
  std::chrono::milliseconds overdue_slack{400};
};

enum class TaskState { kWaiting, kPlaced, kDone };

struct ScheduledTask {
  TaskState state = TaskState::kWaiting;
  std::uint32_t failed_runs = 0;
  std::string worker;       // Set in state kPlaced.
  std::string last_worker;  // Worker of the previous run that did not succeed.
};

struct ScheduledStep {
  std::vector<ScheduledTask> tasks;
  std::size_t waiting = 0;
  std::size_t unfinished = 0;
};

// Whether a job can still meet its response-time objective. A late job has
// little value to its caller, so it is queued behind all jobs that can still
// meet their objectives. This limits the number of late jobs in a burst.
enum class Lateness {
  kInTime,
  kLateStarted,  // Some of its tasks have started.
  kLate,
};

// Position of a job in the queue: by lateness, then by priority, then by `due`,
// which is the objective of a job in time and the expiry of a late job.
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

// A job and the state of its tasks.
struct ScheduledJob {
  StepJob job;
  // The daemon that submitted the job last; empty if its confirmations are not
  // followed.
  std::string origin;
  std::vector<ScheduledStep> steps;
  QueueKey key;
  TimePoint arrived;    // When the caller's request reached the system.
  TimePoint expires;    // When the caller stops waiting.
  TimePoint objective;  // Latest end that meets the response-time objective.
  std::uint32_t last_run = 0;  // Highest run number of its tasks.
  double size = 1;  // Its work as a multiple of the mean of its kind.
  // Workers have crashed under tasks of the job.
  bool has_crashes = false;
  // This scheduler has started a task of the job, or a former one may have.
  bool any_started = false;
  bool start_withheld = false;  // Counted in `starts_withheld`.
  TimePoint submitted;          // When this scheduler received the job.
  // All runs of the job's tasks that former schedulers started are known or
  // have ended. No new task starts before.
  bool former_runs_known = true;
  // When the leases that former schedulers granted have ended.
  TimePoint former_leases_end;
  // One of `job.former_workers` that this scheduler did not know when it last
  // looked; empty if it knew all of them or has not looked.
  std::string unknown_worker;
};

struct SendStart {
  std::string worker;
  StartOrder order;
};

struct SendStop {
  std::string worker;
  StopOrder order;
};

struct SendRenewal {
  std::string worker;
  RenewOrder order;
};

struct AnswerJob {
  std::string job;
  StepJobAnswer answer;
};

// A log entry about a change of the scheduler's state.
struct SchedulerLogEntry {
  const char* event = "";
  std::string worker;
  std::string job;
  std::string detail;
};

using SchedulerAction = std::variant<SendStart, SendStop, SendRenewal,
                                     AnswerJob, SchedulerLogEntry>;

// Totals since the scheduler was created.
struct SchedulerCounts {
  std::uint64_t starts = 0;
  std::uint64_t starts_rejected = 0;
  std::uint64_t starts_unanswered = 0;
  std::uint64_t renewals = 0;
  std::uint64_t renewals_unanswered = 0;
  std::uint64_t stops = 0;
  std::uint64_t adopted = 0;
  std::uint64_t orphans_stopped = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_lost = 0;
  // Runs found on a worker while their task was placed on another one.
  std::uint64_t second_runs = 0;
  std::uint64_t jobs = 0;
  // Tasks that waited while a worker in an evacuated data centre had room.
  std::uint64_t starts_withheld = 0;
  // Jobs that the overload policy has put behind others.
  std::uint64_t delayed_jobs = 0;
  // Jobs that it has refused because they could not end in time any more.
  std::uint64_t hopeless_jobs = 0;
};

// Thread safety of all functions here: one thread at a time.
struct TaskScheduler {
  SchedulerTimes times;
  FencingToken fence = 0;  // Zero: this daemon does not schedule.
  bool partial = false;    // Only `home_workers` may be used.
  std::map<std::string, WorkerRuns> workers;
  // All workers that the store listed at this time have been added.
  TimePoint workers_listed_at;
  WorkerHealth health;
  OverloadPolicy overload;
  CrashHistory crashes;  // Kept while this daemon does not schedule.
  // Cancels of callers; kept while this daemon does not schedule.
  CancelHistory cancels;
  // Kept while this daemon does not schedule.
  EvacuationGate evacuations;
  // Jobs with crashes that have not been applied to them yet.
  std::set<std::string> jobs_with_new_crashes;
  std::unordered_map<std::string, ScheduledJob> jobs;
  // By daemon: the latest time at which it was known to be alive.
  std::unordered_map<std::string, TimePoint> confirmations;
  // All jobs with waiting tasks.
  std::map<QueueKey, ScheduledJob*> queue;
  std::uint64_t next_sequence = 0;
  // Tasks that succeeded before their job was submitted to this scheduler, and
  // when this was reported.
  std::map<TaskName, TimePoint> completed_before_submission;
  struct RetainedAnswer {
    StepJobAnswer answer;
    TimePoint at;
  };
  std::unordered_map<std::string, RetainedAnswer> answers;
  struct CancelledSubmission {
    std::uint64_t submission = 0;  // The highest one that is cancelled.
    TimePoint at;
  };
  // By job and daemon: cancelled submissions, which may arrive after their
  // cancel. Kept for `retention_time`.
  std::map<std::pair<std::string, std::string>, CancelledSubmission>
      cancelled_submissions;
  // Workers assigned to this daemon's side of a partition; used if `partial`.
  std::set<std::string> home_workers;
  // A worker that becomes foreign before this time is claimed again at once.
  TimePoint reclaim_at_once_until;
  // All of `workers`, as an array that is fast to iterate over.
  std::vector<WorkerRuns*> worker_list;
  // Workers with an event since the last pass. The other workers are processed
  // in sweeps only, so that the cost of a pass is independent of their number.
  std::vector<WorkerRuns*> pending_workers;
  // In milli-cores: a lower bound of the demands of all waiting tasks.
  std::int64_t smallest_demand = 0;
  // When the latest job that other schedulers had before was submitted.
  TimePoint last_resubmission;
  TimePoint next_cleanup;
  TimePoint next_sweep;
  TimePoint next_overload_check;
  std::uint64_t next_renewal_id = 0;
  // Jobs or workers have changed so that a waiting task may now be placed.
  bool placement_needed = false;
  // Of this daemon's link. Without a rate nothing waits for it.
  LinkBudget link;
  std::vector<SchedulerAction> actions;
  SchedulerCounts counts;
};

// Begins to schedule with a fencing token. A worker is in use once it has
// accepted a renewal with this token.
void BeginScheduling(TaskScheduler* scheduler, FencingToken fence,
                     TimePoint now);

// Stops scheduling: answers each job with kMoved and drops all jobs and runs
// without stopping the runs.
void EndScheduling(TaskScheduler* scheduler);

// Sets which workers the scheduler may use: only `home_workers` if `partial`,
// else all workers.
void SetExtent(TaskScheduler* scheduler, bool partial,
               std::set<std::string> home_workers);

// Claims foreign workers again after `delay`, with at least the given fencing
// token. Workers that become foreign within `delay` plus `max_order_delay` from
// now are claimed again at once. Precondition: this daemon made the token.
void RetryForeignWorkers(TaskScheduler* scheduler, FencingToken fence,
                         Duration delay, TimePoint now);

// Adds a worker or applies a changed description of it.
void UpdateWorker(TaskScheduler* scheduler, const WorkerDescription& worker,
                  TimePoint now);

// Puts a set of evacuated data centres in force. A set of a lower revision has
// no effect. Tasks that run there continue.
EvacuationChange SetEvacuations(TaskScheduler* scheduler,
                                const EvacuationSet& set);

// Returns the number of known workers in the data centre.
std::size_t CountWorkersIn(const TaskScheduler& scheduler,
                           const std::string& data_centre);

// Returns whether all known workers are in evacuated data centres, and there is
// one.
bool AllWorkersAreEvacuated(const TaskScheduler& scheduler);

// Records that the store no longer lists a worker.
void UnlistWorker(TaskScheduler* scheduler, const std::string& worker,
                  TimePoint now);

// Records that all workers that the store listed at `read_at` have been added.
void SetWorkersListedAt(TaskScheduler* scheduler, TimePoint read_at);

// Returns whether resubmitted jobs wait for a newer list of the workers.
bool AwaitsWorkerList(const TaskScheduler& scheduler, TimePoint now);

// Returns whether a submission is meant for this scheduler and recent enough to
// be accepted. TCP delivers an old one after a cut, when its daemon has already
// submitted the job to another scheduler. A submission without
// `scheduler_fence` comes from an earlier version and counts as current.
bool IsCurrentSubmission(const TaskScheduler& scheduler, const StepJob& job,
                         TimePoint now);

// Records that the daemon `origin` was alive at `at`, because it has answered a
// message that was sent to it then. Earlier times than the recorded one have no
// effect.
void ConfirmDaemon(TaskScheduler* scheduler, const std::string& origin,
                   TimePoint at);

// Removes and returns the daemons whose latest confirmation is older than
// `daemon_timeout`. Their jobs must be stopped.
std::vector<std::string> TakeUnconfirmedDaemons(TaskScheduler* scheduler,
                                                TimePoint now);

// Accepts a job of the daemon `origin`. Its answer follows as an action,
// possibly at once. A job that is already in progress keeps its tasks, and one
// that has completed or failed within `retention_time` gets the same answer
// again. A job that its caller has cancelled is answered with kCancelled. With
// an empty `origin` no confirmations are needed.
void SubmitJob(TaskScheduler* scheduler, StepJob job, TimePoint now,
               const std::string& origin = "");

// Returns whether the scheduler knows nothing of the job and it is submitted
// for the first time, so that nothing of it can have been started.
bool IsUnknownJob(const TaskScheduler& scheduler, const StepJob& job);

// Returns whether the daemon `origin` has cancelled this submission of a job or
// made a later one. Messages on different connections may overtake each other,
// so a submission may arrive after its cancel. It must not be accepted.
bool IsSupersededSubmission(const TaskScheduler& scheduler, const StepJob& job,
                            const std::string& origin);

// Cancels a job and stops its tasks. Returns false if the job is unknown.
bool CancelJob(TaskScheduler* scheduler, const std::string& job, TimePoint now);

// Cancels the submissions of a job that the daemon `origin` has made up to the
// number `submission`; all that have arrived if it is zero. Has no effect on a
// job that the daemon has submitted again since, or that another daemon has
// submitted. Returns whether a job was stopped.
bool CancelSubmission(TaskScheduler* scheduler, const std::string& job,
                      const std::string& origin, std::uint64_t submission,
                      TimePoint now);

// Applies a caller's cancel: records it, cancels the job if this scheduler has
// it, and rejects later submissions of it. `learned_from` names the daemon
// process that sent the cancel; empty if a caller sent it to this daemon.
// Returns false if the cancel is already recorded or too old.
bool ApplyCallerCancel(TaskScheduler* scheduler, const JobCancel& cancel,
                       std::string_view learned_from, TimePoint now);

// Apply a worker's reply to an order, or the lack of a reply.
void RecordStartReply(TaskScheduler* scheduler, const std::string& worker,
                      const StartOrder& order, const OrderReply& reply,
                      TimePoint now);
void RecordStopReply(TaskScheduler* scheduler, const std::string& worker,
                     const StopOrder& order, const OrderReply& reply,
                     TimePoint now);
void RecordRenewalReply(TaskScheduler* scheduler, const std::string& worker,
                        const RenewOrder& order, const RenewReply& reply,
                        TimePoint now);

// Adds crashes that another daemon's process `sender` has reported. The next
// RunScheduler applies them to the jobs.
void MergeCrashes(TaskScheduler* scheduler,
                  const std::vector<TaskCrash>& crashes,
                  std::string_view sender, TimePoint now);

// Places waiting tasks, extends leases, stops overdue runs and answers expired
// jobs. Call it after each batch of events and about every 20 ms. Workers
// without an event are processed at most once per 10 ms. On a daemon that does
// not schedule, only removes the workers that left the store some seconds ago.
void RunScheduler(TaskScheduler* scheduler, TimePoint now);

// Returns the actions queued since the last call, and clears them.
std::vector<SchedulerAction> TakeActions(TaskScheduler* scheduler);

// Returns an estimate of the time until the job's tasks start: the estimated
// work queued ahead of it, divided by the capacity of the usable workers of its
// service. Returns nothing if there is no such worker.
std::optional<std::chrono::milliseconds> ExpectedWait(
    const TaskScheduler& scheduler, const StepJob& job, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_TASK_SCHEDULER_H_
