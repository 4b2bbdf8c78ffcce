// Defines SchedulerElection, which decides which daemon schedules the tasks.
//
// One daemon schedules for all that can reach it. A group of daemons that is
// cut off from the majority schedules on its home workers only, so that two
// sides of a partition do not compete for the same workers. Workers reject
// orders with an old fencing token, so a wrong view costs time, not safety.

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

// A daemon as listed in the platform's store or named by a seed.
struct ListedDaemon {
  std::string vm;
  std::string data_centre;
  Endpoint endpoint;
};

struct ElectionTimes {
  // A daemon that was not heard for this long is not live.
  Duration silence_timeout = std::chrono::milliseconds(600);
  // A daemon counts as a member for so long after it was last heard, if the
  // store does not list it.
  Duration member_retention = std::chrono::seconds(10);
  // A new daemon waits so long for an existing scheduler to report,
  Duration discovery_wait = std::chrono::milliseconds(900);
  // or only so long once every listed daemon has reported.
  Duration complete_discovery_wait = std::chrono::milliseconds(150);
  // When all daemons start together, one waits so long for stronger ones to
  // settle.
  Duration wait_for_stronger = std::chrono::milliseconds(1800);
  // A daemon takes over from a scheduler that is less than half as strong when
  // it has run for this long.
  Duration replace_weaker_after = std::chrono::seconds(3);
  // A partial scheduler that has the majority again waits so long before it
  // takes all workers, and so does one that hears a daemon again before it
  // takes that daemon's home workers, so that it first hears of another
  // scheduler. Live daemons are heard within `silence`.
  Duration promotion_delay = std::chrono::milliseconds(600);
  // After a step down a daemon does not claim for this long.
  Duration step_down_pause = std::chrono::milliseconds(400);
};

struct ElectionPeer {
  DaemonReport report;
  TimePoint last_heard;
  TimePoint live_since;  // Heard without a gap since then.
  bool heard = false;    // Since the last failure of its connection.
  bool listed = false;   // In the store's list.
};

enum class SchedulerRole {
  kFollower,
  kFull,     // Schedules on all workers.
  kPartial,  // Schedules on the home workers of its group.
};

// Thread safety of all functions here: one thread at a time.
struct SchedulerElection {
  ElectionTimes times;
  DaemonReport self;
  std::map<std::string, ElectionPeer> peers;  // By VM, without this one.
  TimePoint started;
  bool listing_known = false;
  TimePoint no_claim_before;
  // When this daemon's group became a majority; nothing while it is none.
  std::optional<TimePoint> majority_since;
  SchedulerRole role = SchedulerRole::kFollower;
  std::string leader;  // VM; empty if none is known.
  // Other live daemons that claimed to schedule at the last turn.
  std::set<std::string> other_schedulers;
};

// What changed in a turn of the election.
struct ElectionChange {
  bool role_changed = false;
  bool leader_changed = false;
  // Another scheduler gave its claim up or is no longer heard, and none is
  // left: the workers that it took are free to be taken.
  bool last_other_scheduler_ended = false;
};

// Sets the list of the store; daemons that it does not name and that were not
// heard lately are forgotten at the next turn.
void SetListedDaemons(SchedulerElection* election,
                      const std::vector<ListedDaemon>& listed);

// Records a heartbeat or a reply to one.
void RecordReport(SchedulerElection* election, const DaemonReport& report,
                  TimePoint now);

// Records that a daemon's connection was refused or reset: its process ended.
// `incarnation` is that of the latest report when the call was sent, zero if
// there was none. If another one has reported since, the failure says nothing
// about it and is ignored.
void RecordDaemonFailure(SchedulerElection* election, const std::string& vm,
                         std::uint64_t incarnation);

// Returns the incarnation in the daemon's latest report, zero if there is none.
std::uint64_t IncarnationOf(const SchedulerElection& election,
                            const std::string& vm);

// Says whether a daemon was heard lately; a stopping one still has jobs.
bool IsReachable(const SchedulerElection& election, const std::string& vm,
                 TimePoint now);

// Says whether a daemon is reachable and not stopping.
bool IsLive(const SchedulerElection& election, const std::string& vm,
            TimePoint now);

// Decides the role of this daemon and its leader. `wall_clock` makes the
// fencing token of a new claim. Call it after reports and every 50 ms.
ElectionChange RunElection(SchedulerElection* election, TimePoint now,
                           std::chrono::milliseconds wall_clock);

// Gives up the claim of this daemon, for example before a planned stop.
void StepDown(SchedulerElection* election, TimePoint now);

// Says whether the worker's home daemon is in this daemon's live group, and has
// been for a while. The home is chosen among all members, those of the worker's
// data centre first.
bool IsHomeWorker(const SchedulerElection& election, const std::string& worker,
                  const std::string& data_centre, TimePoint now);

// Returns a fencing token that is unique to this daemon and grows with time.
FencingToken MakeFencingToken(std::chrono::milliseconds wall_clock,
                              const std::string& vm, std::uint64_t incarnation);

// Returns a token of this daemon above all that are known, and remembers it.
FencingToken MakeHighestFencingToken(SchedulerElection* election);

// Returns a token of the same daemon that is above `fence` by `step`.
FencingToken RaiseFencingToken(FencingToken fence,
                               std::chrono::milliseconds step);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SCHEDULER_ELECTION_H_
