#include "entry_election.h"

#include <set>
#include <string>
#include <utility>

#include "entry_heartbeats.h"
#include "sequoiapath/coordination/daemon_monitoring.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

constexpr Duration kElectionInterval = milliseconds(50);
// Delay before a daemon that became a partial scheduler claims the workers of
// another scheduler. Daemons that became unreachable together are all detected
// within this time.
constexpr Duration kPartialClaimDelay = milliseconds(700);

// Returns the time of day, from which fencing tokens are made.
milliseconds WallClock() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::set<std::string> HomeWorkers(const EntryDaemonState& daemon) {
  std::set<std::string> home;
  const TimePoint now = daemon.loop->Now();
  for (const auto& [id, worker] : daemon.service->scheduler().workers) {
    if (IsHomeWorker(daemon.election, id, worker.description.data_centre,
                     now)) {
      home.insert(id);
    }
  }
  return home;
}

// Finds the home workers at most once in each `kElectionInterval`, because this
// examines all workers and members and an election also runs on reports.
void UpdateExtent(EntryDaemonState* daemon) {
  const bool partial = daemon->election.role == SchedulerRole::kPartial;
  const TaskScheduler& scheduler = daemon->service->scheduler();
  const TimePoint now = daemon->loop->Now();
  if (partial && scheduler.partial &&
      now - daemon->home_workers_found_at < kElectionInterval) {
    return;
  }
  std::set<std::string> home;
  if (partial) home = HomeWorkers(*daemon);
  daemon->home_workers_found_at = now;
  if (scheduler.partial == partial && scheduler.home_workers == home) return;
  Log(LogLevel::kInfo, "scheduling_extent",
      {{"partial", partial}, {"home_workers", home.size()}});
  const bool became_partial = partial && !scheduler.partial;
  daemon->service->SetExtent(partial, std::move(home));
  // After kPartialClaimDelay this daemon has detected all unreachable daemons
  // and cancelled their jobs, which they submit to another scheduler.
  if (became_partial) {
    daemon->service->RetryForeignWorkers(
        MakeHighestFencingToken(&daemon->election), kPartialClaimDelay);
  }
}

const char* RoleName(SchedulerRole role) {
  switch (role) {
    case SchedulerRole::kFollower:
      return "follower";
    case SchedulerRole::kFull:
      return "full";
    case SchedulerRole::kPartial:
      return "partial";
  }
  return "unknown";
}

// Applies changes of the daemons' reachability, and cancels the jobs of daemons
// that became unreachable. Returns whether any daemon became reachable.
bool UpdateReachability(EntryDaemonState* daemon) {
  const TimePoint now = daemon->loop->Now();
  bool any_newly_reachable = false;
  for (auto& [vm, peer_state] : daemon->peer_states) {
    const bool reachable = IsReachable(daemon->election, vm, now);
    if (reachable == peer_state.reachable) continue;
    peer_state.reachable = reachable;
    if (daemon->election.contacts.contains(vm)) {
      Log(LogLevel::kInfo,
          reachable ? "daemon_reachable" : "daemon_unreachable",
          {{"vm", vm}, {"incarnation", peer_state.incarnation}});
    }
    if (reachable) {
      any_newly_reachable = true;
    } else {
      daemon->service->CancelJobsOf(MakeOrigin(vm, peer_state.incarnation));
      if (daemon->election.self.claim != 0) ReadCancelsOfLostDaemon(daemon, vm);
    }
  }
  return any_newly_reachable;
}

void LogLeader(const EntryDaemonState& daemon, const std::string& former) {
  Log(LogLevel::kInfo, "scheduler_changed",
      {{"scheduler", daemon.election.leader},
       {"former", former},
       {"role", RoleName(daemon.election.role)},
       {"fence", daemon.election.self.claim},
       {"known_daemons", daemon.election.peers.size() + 1}});
}

// Logs when this daemon begins or ends to monitor all daemons.
void LogMonitoring(EntryDaemonState* daemon) {
  const SchedulerElection& election = daemon->election;
  if (std::exchange(daemon->monitors_all, election.monitors_all) ==
      election.monitors_all) {
    return;
  }
  Log(LogLevel::kInfo, "monitoring_changed",
      {{"monitors_all", election.monitors_all},
       {"standby", IsStandby(election)},
       {"scheduler", election.leader},
       {"known_daemons", election.peers.size() + 1}});
}

// Starts or stops scheduling according to the result of the election.
void ApplyRole(EntryDaemonState* daemon, bool schedules) {
  const bool scheduled = daemon->service->scheduler().fence != 0;
  if (schedules && !scheduled) {
    ++daemon->counts.elections_won;
    UpdateExtent(daemon);
    daemon->service->Begin(daemon->election.self.claim);
    ReadCancelsOfAllDaemons(daemon);
    SendHeartbeatsToAll(daemon);
  } else if (!schedules && scheduled) {
    daemon->service->End();
    // The other scheduler claims the workers as soon as it receives this
    // report.
    SendHeartbeatsToAll(daemon);
  } else if (schedules) {
    UpdateExtent(daemon);
  }
}

// Claims the workers that another scheduler had claimed, once no other
// scheduler is reachable. As long as two schedulers are reachable, each would
// claim the workers of the other.
void ClaimWorkersOfEndedSchedulers(EntryDaemonState* daemon, bool may_claim) {
  if (!may_claim || daemon->election.role != SchedulerRole::kFull ||
      !daemon->election.other_schedulers.empty()) {
    return;
  }
  daemon->service->RetryForeignWorkers(
      MakeHighestFencingToken(&daemon->election), Duration::zero());
}

}  // namespace

void RunElectionNow(EntryDaemonState* daemon) {
  UpdateOwnReport(daemon);
  const bool any_newly_reachable = UpdateReachability(daemon);
  const std::string former = daemon->election.leader;
  const ElectionChange change =
      RunElection(&daemon->election, daemon->loop->Now(), WallClock());
  ApplyRole(daemon, daemon->election.self.claim != 0);
  ClaimWorkersOfEndedSchedulers(
      daemon, any_newly_reachable || change.last_other_scheduler_ended);
  LogMonitoring(daemon);
  if (!change.leader_changed && !change.role_changed) return;
  ++daemon->counts.leader_changes;
  LogLeader(*daemon, former);
  if (change.leader_changed) daemon->gateway->LeaderChanged();
}

void ElectionTick(EntryDaemonState* daemon) {
  RunElectionNow(daemon);
  SendDueHeartbeats(daemon);
  daemon->service->ReturnJobsOfUnconfirmedDaemons();
  daemon->loop->Schedule(kElectionInterval, [daemon] { ElectionTick(daemon); });
}

}  // namespace sequoiapath::internal
