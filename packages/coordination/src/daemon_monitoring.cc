#include "sequoiapath/coordination/daemon_monitoring.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// With one or two data centres there are further standbys, so that the loss of
// the scheduler together with a standby leaves another.
constexpr std::size_t kMinStandbys = 3;
// A daemon sends heartbeats to all daemons in this many parts, 50 ms apart.
constexpr std::size_t kHeartbeatParts = 4;
// A part has at least this many daemons.
constexpr std::size_t kMinHeartbeatPart = 16;

// Returns the live daemons, the one that is preferred as a scheduler first.
std::vector<const DaemonReport*> LiveDaemonsByPreference(
    const SchedulerElection& election, TimePoint now) {
  std::vector<const DaemonReport*> live;
  for (const auto& [vm, peer] : election.peers) {
    if (!peer.report.stopping && IsReachable(election, peer, now)) {
      live.push_back(&peer.report);
    }
  }
  std::sort(live.begin(), live.end(),
            [](const DaemonReport* a, const DaemonReport* b) {
              return IsPreferred(*a, *b);
            });
  return live;
}

// Returns one daemon of each data centre, and others up to kMinStandbys.
std::vector<std::string> ChooseStandbys(const SchedulerElection& election,
                                        TimePoint now) {
  std::set<std::string_view> data_centres;
  std::vector<std::string> standbys;
  std::vector<std::string> others;
  for (const DaemonReport* daemon : LiveDaemonsByPreference(election, now)) {
    const bool first = data_centres.insert(daemon->data_centre).second;
    (first ? standbys : others).push_back(daemon->vm);
  }
  for (std::string& vm : others) {
    if (standbys.size() >= kMinStandbys) break;
    standbys.push_back(std::move(vm));
  }
  std::sort(standbys.begin(), standbys.end());
  return standbys;
}

// Returns whether this daemon follows a scheduler that has not given up its
// claim. The report that gives it up names no standbys any more.
bool HasScheduler(const SchedulerElection& election) {
  const auto leader = election.peers.find(election.leader);
  return leader != election.peers.end() && leader->second.report.claim != 0;
}

bool ShouldMonitorAll(const SchedulerElection& election, TimePoint now) {
  if (election.self.claim != 0) return true;
  if (HasScheduler(election)) return IsStandby(election);
  if (election.monitors_all) return true;
  return election.leaderless_since && now - *election.leaderless_since >=
                                          election.times.standby_takeover_time;
}

// Returns whether this daemon has monitored all daemons for so long that each
// reachable one has replied.
bool HasMonitoredAll(const SchedulerElection& election, TimePoint now) {
  return election.monitors_all &&
         (election.monitors_since == TimePoint{} ||
          now - election.monitors_since >= election.times.silence_timeout);
}

// Returns whether a heartbeat is due to a daemon from which reports are
// expected.
bool IsDue(const SchedulerElection& election, const ElectionPeer& peer,
           TimePoint now) {
  if (peer.report.endpoint.port == 0) return false;
  if (now - peer.last_sent < election.times.heartbeat_interval) return false;
  return election.monitors_all ||
         now - peer.last_heard >= election.times.report_overdue;
}

}  // namespace
}  // namespace internal

bool IsStandby(const SchedulerElection& election) {
  const auto leader = election.peers.find(election.leader);
  if (leader == election.peers.end()) return false;
  const std::vector<std::string>& standbys = leader->second.report.standbys;
  return std::find(standbys.begin(), standbys.end(), election.self.vm) !=
         standbys.end();
}

void UpdateMonitoring(SchedulerElection* election, TimePoint now) {
  if (!election->leader.empty()) {
    election->leaderless_since.reset();
  } else if (!election->leaderless_since) {
    election->leaderless_since = now;
  }
  const bool monitors_all = internal::ShouldMonitorAll(*election, now);
  if (monitors_all && !election->monitors_all) election->monitors_since = now;
  election->monitors_all = monitors_all;
}

void UpdateStandbys(SchedulerElection* election, TimePoint now) {
  election->self.standbys = election->self.claim != 0
                                ? internal::ChooseStandbys(*election, now)
                                : std::vector<std::string>{};
}

std::vector<std::string> FindMonitors(const SchedulerElection& election) {
  std::vector<std::string> monitors = election.self.standbys;
  const auto leader = election.peers.find(election.leader);
  if (leader != election.peers.end()) {
    monitors = leader->second.report.standbys;
    monitors.push_back(election.leader);
  }
  std::erase(monitors, election.self.vm);
  return monitors;
}

void UpdateContacts(SchedulerElection* election, TimePoint now) {
  std::erase_if(election->contacts, [election](const std::string& vm) {
    return !election->peers.contains(vm);
  });
  const std::vector<std::string> monitors = FindMonitors(*election);
  const std::set<std::string_view> named(monitors.begin(), monitors.end());
  for (const auto& [vm, peer] : election->peers) {
    if (!IsReachable(*election, peer, now)) continue;
    if (election->monitors_all || named.contains(vm)) {
      election->contacts.insert(vm);
    } else {
      election->contacts.erase(vm);
    }
  }
}

std::vector<std::string> DueHeartbeats(const SchedulerElection& election,
                                       TimePoint now) {
  const std::vector<std::string> monitors = FindMonitors(election);
  const auto is_expected = [&](const std::string& vm) {
    return election.contacts.contains(vm) ||
           std::find(monitors.begin(), monitors.end(), vm) != monitors.end();
  };
  std::vector<std::pair<TimePoint, std::string>> due;
  for (const auto& [vm, peer] : election.peers) {
    if (!internal::IsDue(election, peer, now)) continue;
    if (!election.monitors_all && !is_expected(vm)) continue;
    due.emplace_back(peer.last_sent, vm);
  }
  std::sort(due.begin(), due.end());
  const std::size_t part =
      std::max(internal::kMinHeartbeatPart,
               election.peers.size() / internal::kHeartbeatParts + 1);
  if (due.size() > part) due.resize(part);
  std::vector<std::string> vms;
  vms.reserve(due.size());
  for (auto& [last_sent, vm] : due) vms.push_back(std::move(vm));
  return vms;
}

void RecordHeartbeatSent(SchedulerElection* election, const std::string& vm,
                         TimePoint now) {
  const auto found = election->peers.find(vm);
  if (found != election->peers.end()) found->second.last_sent = now;
}

bool AnyContactUnreachable(const SchedulerElection& election, TimePoint now) {
  const bool all = internal::HasMonitoredAll(election, now);
  const auto is_lost = [&](const auto& entry) {
    const auto& [vm, peer] = entry;
    if (peer.report.stopping || IsReachable(election, peer, now)) return false;
    return all || election.contacts.contains(vm);
  };
  return std::any_of(election.peers.begin(), election.peers.end(), is_lost);
}

}  // namespace sequoiapath
