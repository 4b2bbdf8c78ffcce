// Defines SchedulerElection, which decides which daemon schedules the tasks.
//
// One daemon schedules the tasks of all daemons that can reach it. A group of
// daemons that a partition separates from the majority schedules only on its
// home workers, so that the two sides of the partition use different workers.
// Workers reject orders with an old fencing token. A daemon with an incorrect
// view of the others therefore causes delay, while safety is preserved.
//
// Only the scheduler, its standbys and daemons without a scheduler exchange
// heartbeats with all daemons (see daemon_monitoring.h), and only they may
// claim the scheduler role.

#ifndef SEQUOIAPATH_COORDINATION_SCHEDULER_ELECTION_H_
#define SEQUOIAPATH_COORDINATION_SCHEDULER_ELECTION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A daemon that the platform's store lists or that a seed names.
struct ListedDaemon {
  std::string vm;
  std::string data_centre;
  Endpoint endpoint;
};

struct ElectionTimes {
  // A daemon counts as live for this long after its last report.
  Duration silence_timeout = std::chrono::milliseconds(600);
  // Replaces `silence_timeout` for the scheduler that this daemon follows while
  // that scheduler's latest report says that its link is congested. Its
  // heartbeats are then late although it works, and each takeover would add the
  // submission of all jobs to the load. Leases and confirmations do not depend
  // on it.
  Duration congested_silence_timeout = std::chrono::seconds(2);
  // A daemon that the store does not list counts as a member for this long
  // after its last report.
  Duration member_retention = std::chrono::seconds(10);
  // A daemon claims the scheduler role at the earliest this long after its
  // start. A scheduler that already exists reports to it within this time, so
  // that the new daemon follows it instead of claiming as well.
  Duration discovery_wait = std::chrono::milliseconds(900);
  // Replaces `discovery_wait` if every daemon that the store lists has already
  // reported.
  Duration complete_discovery_wait = std::chrono::milliseconds(150);
  // Replaces `discovery_wait` for a daemon that begins to monitor all daemons
  // again. The others run already, so they reply within the timeout of a
  // heartbeat.
  Duration rediscovery_wait = std::chrono::milliseconds(500);
  // A daemon that has lost its scheduler leaves the takeover to the standbys
  // for this long before it monitors all daemons itself.
  Duration standby_takeover_time = std::chrono::milliseconds(300);
  // Minimum interval between two heartbeats to the same daemon. It is checked
  // every 50 ms, so heartbeats are 200 ms apart.
  Duration heartbeat_interval = std::chrono::milliseconds(175);
  // A daemon that is not monitored by this one, but whose reports it expects,
  // gets a heartbeat if it has been silent for this long.
  Duration report_overdue = std::chrono::milliseconds(250);
  // Until this long after its start, a daemon does not claim the scheduler role
  // while a live daemon of greater weight is still in its discovery wait. When
  // all daemons start at about the same time, the first to end its discovery
  // wait would otherwise become the scheduler, even with too little CPU time to
  // serve every worker.
  Duration greater_weight_wait = std::chrono::milliseconds(1800);
  // A daemon that has run for this long replaces a scheduler of less than half
  // its weight.
  Duration replacement_min_uptime = std::chrono::seconds(3);
  // A partial scheduler waits this long after it regains the majority before it
  // claims all workers, and this long after another daemon becomes reachable
  // before it claims that daemon's home workers. Every live daemon reports
  // within `silence_timeout`, so another scheduler becomes known in that time.
  Duration promotion_delay = std::chrono::milliseconds(600);
  // How long a daemon does not claim the scheduler role after StepDown.
  Duration step_down_pause = std::chrono::milliseconds(400);
};

struct ElectionPeer {
  DaemonReport report;
  TimePoint last_heard;  // When its latest report arrived.
  // Start of the current period in which the daemon has been reachable without
  // interruption.
  TimePoint live_since;
  TimePoint last_sent;  // When the latest heartbeat was sent to it.
  bool heard = false;   // Has reported since its last connection failure.
  bool listed = false;  // Is in the store's list.
};

enum class SchedulerRole {
  kFollower,
  kFull,     // Schedules on all workers.
  kPartial,  // Schedules on the home workers of its group.
};

// None of the functions below is thread-safe: calls must not overlap.
struct SchedulerElection {
  ElectionTimes times;
  DaemonReport self;
  std::map<std::string, ElectionPeer> peers;  // By VM, without this daemon's.
  TimePoint started;
  bool listing_known = false;  // SetListedDaemons has been called.
  TimePoint no_claim_before;   // End of the pause after StepDown.
  // When this daemon's group became the majority; empty while it is a minority.
  std::optional<TimePoint> majority_since;
  SchedulerRole role = SchedulerRole::kFollower;
  std::string leader;  // VM; empty if none is known.
  // Other reachable daemons that had a claim at the latest RunElection.
  std::set<std::string> other_schedulers;
  // This daemon exchanges heartbeats with all daemons.
  bool monitors_all = true;
  TimePoint monitors_since;  // When it began to, if later than its start.
  std::optional<TimePoint> leaderless_since;  // Empty while a leader is known.
  // Daemons from which this one expects reports: those that it monitors or that
  // monitor it, and those among them that became unreachable and have not
  // reported since.
  std::set<std::string> contacts;
};

// What one call of RunElection changed.
struct ElectionChange {
  bool role_changed = false;
  bool leader_changed = false;
  // The last of the other schedulers gave up its claim or became unreachable.
  // This daemon may claim the workers that the other scheduler had claimed.
  bool last_other_scheduler_ended = false;
};

// Sets the daemons that the store lists. The next RunElection removes a daemon
// that is not listed and whose last report is older than `member_retention`.
void SetListedDaemons(SchedulerElection* election,
                      const std::vector<ListedDaemon>& listed);

// Records the report in a heartbeat or in the reply to a heartbeat.
void RecordReport(SchedulerElection* election, const DaemonReport& report,
                  TimePoint now);

// Returns whether a later report of the same process of the daemon has been
// recorded. TCP delivers an old report when a cut ends.
bool IsOutdated(const SchedulerElection& election, const DaemonReport& report);

// Records that a connection to the daemon was refused or reset, which means
// that its process ended. `incarnation` is the one in the daemon's latest
// report when the request was sent, zero if there was no report. The failure is
// ignored if another incarnation has reported since, because it concerns the
// earlier process.
void RecordDaemonFailure(SchedulerElection* election, const std::string& vm,
                         std::uint64_t incarnation);

// Returns the incarnation in the daemon's latest report; zero if there is no
// report.
std::uint64_t IncarnationOf(const SchedulerElection& election,
                            const std::string& vm);

// Returns whether the daemon has reported within its silence timeout, which is
// `congested_silence_timeout` for a scheduler that is slow rather than gone. A
// stopping daemon is reachable, because it still has jobs.
bool IsReachable(const SchedulerElection& election, const std::string& vm,
                 TimePoint now);

bool IsReachable(const SchedulerElection& election, const ElectionPeer& peer,
                 TimePoint now);

// Returns whether the daemon is reachable and not stopping.
bool IsLive(const SchedulerElection& election, const std::string& vm,
            TimePoint now);

// Returns whether `a` takes precedence over `b` as the next scheduler: it has
// more CPU time, or the same and the smaller name.
bool IsPreferred(const DaemonReport& a, const DaemonReport& b);

// Returns whether a report has news that RunElection should examine at once: it
// differs from the daemon's latest one in what decides the election, or the
// daemon was not reachable. RunElection at intervals suffices for the others.
bool ChangesElection(const SchedulerElection& election,
                     const DaemonReport& report, TimePoint now);

// Decides the role of this daemon and who its leader is. `wall_clock` is the
// time of day from which the fencing token of a new claim is made. Call it
// after each report for which ChangesElection was true and at least every 50
// ms.
ElectionChange RunElection(SchedulerElection* election, TimePoint now,
                           std::chrono::milliseconds wall_clock);

// Gives up the claim of this daemon, for example before a planned stop.
void StepDown(SchedulerElection* election, TimePoint now);

// Returns whether the worker's home daemon is this daemon or has been live for
// at least `promotion_delay`. The home daemon is chosen from all members;
// members in the worker's data centre take precedence.
bool IsHomeWorker(const SchedulerElection& election, const std::string& worker,
                  const std::string& data_centre, TimePoint now);

// Returns a fencing token that grows with `wall_clock` and differs between
// daemons that make one in the same millisecond, unless their hashes collide.
FencingToken MakeFencingToken(std::chrono::milliseconds wall_clock,
                              const std::string& vm, std::uint64_t incarnation);

// Returns a fencing token of this daemon that is above every known one, and
// stores it in `election`.
FencingToken MakeHighestFencingToken(SchedulerElection* election);

// Returns the fencing token of the same daemon whose time is later than that of
// `fence` by `step`.
FencingToken RaiseFencingToken(FencingToken fence,
                               std::chrono::milliseconds step);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SCHEDULER_ELECTION_H_
