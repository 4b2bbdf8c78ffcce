#include "sequoiapath/coordination/scheduler_election.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include "sequoiapath/coordination/daemon_monitoring.h"

namespace sequoiapath {
namespace internal {
namespace {

// Low bits of a fencing token that hold a hash of the daemon, so that the
// tokens of daemons that claim in the same millisecond differ. Together with 41
// bits of time a token stays below 2^53, which a reader that stores numbers as
// doubles represents exactly.
constexpr unsigned kFenceDaemonBits = 11;

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

bool IsLivePeer(const SchedulerElection& election, const ElectionPeer& peer,
                TimePoint now) {
  return !peer.report.stopping && IsReachable(election, peer, now);
}

// Returns how long a daemon counts as live after its last report. Only the
// scheduler that this daemon follows may be silent for longer, because only its
// replacement adds to the load.
Duration SilenceTimeout(const SchedulerElection& election,
                        const DaemonReport& report) {
  const bool slow = report.claim != 0 && report.vm == election.leader &&
                    report.link_congested;
  return slow ? election.times.congested_silence_timeout
              : election.times.silence_timeout;
}

bool IsKnown(const SchedulerElection& election, const ElectionPeer& peer,
             TimePoint now) {
  if (peer.listed) return true;
  return peer.last_heard != TimePoint{} &&
         now - peer.last_heard < election.times.member_retention;
}

// Returns whether the daemon counts as a member; a majority is more than half
// of the members. A stopping daemon does not count until its new process has
// reported, so that a rolling restart during a partition keeps the majority.
bool IsMember(const SchedulerElection& election, const ElectionPeer& peer,
              TimePoint now) {
  return !peer.report.stopping && IsKnown(election, peer, now);
}

std::size_t CountMembers(const SchedulerElection& election, TimePoint now) {
  return 1 + static_cast<std::size_t>(
                 std::count_if(election.peers.begin(), election.peers.end(),
                               [&](const auto& entry) {
                                 return IsMember(election, entry.second, now);
                               }));
}

std::size_t CountLive(const SchedulerElection& election, TimePoint now) {
  return 1 + static_cast<std::size_t>(
                 std::count_if(election.peers.begin(), election.peers.end(),
                               [&](const auto& entry) {
                                 return IsLivePeer(election, entry.second, now);
                               }));
}

bool HasMajority(const SchedulerElection& election, TimePoint now) {
  return 2 * CountLive(election, now) > CountMembers(election, now);
}

// Returns the key by which claims are compared; the greatest takes precedence.
// A full scheduler precedes a partial one. Next, greater weight decides,
// because such a daemon is more likely to have enough CPU time to serve every
// worker. Next, the higher fencing token decides. Last, the VM decides, because
// daemons that claim in the same millisecond may have equal tokens.
std::tuple<bool, std::uint32_t, FencingToken, std::string_view> ClaimRank(
    const DaemonReport& report) {
  return {!report.partial, report.weight, report.claim, report.vm};
}

// Returns the report of the live peer whose claim takes precedence; null if no
// live peer has a claim.
const DaemonReport* BestClaim(const SchedulerElection& election,
                              TimePoint now) {
  const DaemonReport* best = nullptr;
  for (const auto& [vm, peer] : election.peers) {
    if (peer.report.claim == 0 || !IsLivePeer(election, peer, now)) continue;
    if (best == nullptr || ClaimRank(peer.report) > ClaimRank(*best)) {
      best = &peer.report;
    }
  }
  return best;
}

// Returns whether the peer takes precedence over this daemon for the next claim
// of the scheduler role. A peer that is still in its discovery wait takes
// precedence only if it has greater weight, and only during
// `greater_weight_wait` after this daemon's start.
bool HasPrecedence(const SchedulerElection& election, const ElectionPeer& peer,
                   TimePoint now) {
  if (!IsLivePeer(election, peer, now)) return false;
  if (peer.report.eligible) return IsPreferred(peer.report, election.self);
  return peer.report.weight > election.self.weight &&
         now - election.started < election.times.greater_weight_wait;
}

bool IsNextScheduler(const SchedulerElection& election, TimePoint now) {
  return std::none_of(election.peers.begin(), election.peers.end(),
                      [&](const auto& entry) {
                        return HasPrecedence(election, entry.second, now);
                      });
}

// Returns when this daemon began to monitor all daemons.
TimePoint DiscoveryStart(const SchedulerElection& election) {
  return std::max(election.started, election.monitors_since);
}

bool HeardAllListed(const SchedulerElection& election) {
  const TimePoint since = DiscoveryStart(election);
  return election.listing_known &&
         std::all_of(election.peers.begin(), election.peers.end(),
                     [since](const auto& entry) {
                       const ElectionPeer& peer = entry.second;
                       return !peer.listed ||
                              (peer.heard && peer.last_heard >= since);
                     });
}

// Returns whether this daemon monitors all daemons and has ended its discovery
// wait, so that it may claim the scheduler role. A scheduler that exists
// reports to it during the wait.
bool IsEligibleToClaim(const SchedulerElection& election, TimePoint now) {
  if (!election.monitors_all) return false;
  const TimePoint began = DiscoveryStart(election);
  const Duration age = now - began;
  const Duration wait = began == election.started
                            ? election.times.discovery_wait
                            : election.times.rediscovery_wait;
  if (election.self.eligible || age >= wait) return true;
  return age >= election.times.complete_discovery_wait &&
         HeardAllListed(election);
}

// Returns whether this daemon should replace a scheduler of much less weight,
// which may have too little CPU time to serve every worker.
bool ShouldReplace(const SchedulerElection& election,
                   const DaemonReport& scheduler, TimePoint now) {
  return 2 * scheduler.weight < election.self.weight &&
         now - election.started >= election.times.replacement_min_uptime;
}

FencingToken HighestKnownFencingToken(const SchedulerElection& election) {
  FencingToken highest = election.self.highest_fence;
  for (const auto& [vm, peer] : election.peers) {
    highest = std::max({highest, peer.report.highest_fence, peer.report.claim});
  }
  return highest;
}

void SetLeader(SchedulerElection* election, const std::string& vm) {
  election->leader = vm;
  election->self.scheduler = vm;
}

void Claim(SchedulerElection* election, TimePoint now,
           std::chrono::milliseconds wall_clock) {
  const FencingToken fence = MakeFencingToken(wall_clock, election->self.vm,
                                              election->self.incarnation);
  if (fence > HighestKnownFencingToken(*election)) {
    election->self.highest_fence = fence;
  } else {
    MakeHighestFencingToken(election);
  }
  election->self.claim = election->self.highest_fence;
  election->self.partial = !HasMajority(*election, now);
  election->role =
      election->self.partial ? SchedulerRole::kPartial : SchedulerRole::kFull;
  SetLeader(election, election->self.vm);
}

void Follow(SchedulerElection* election, const std::string& vm) {
  election->self.claim = 0;
  election->self.partial = false;
  election->role = SchedulerRole::kFollower;
  SetLeader(election, vm);
}

void UpdateMajority(SchedulerElection* election, TimePoint now) {
  if (!HasMajority(*election, now)) {
    election->majority_since.reset();
  } else if (!election->majority_since) {
    election->majority_since = now;
  }
}

// Sets whether a scheduler that keeps its claim schedules on all workers or on
// the home workers of its group.
void UpdateSchedulingExtent(SchedulerElection* election, TimePoint now) {
  const bool may_be_full =
      election->majority_since &&
      (!election->self.partial ||
       now - *election->majority_since >= election->times.promotion_delay);
  election->self.partial = !may_be_full;
  election->role =
      election->self.partial ? SchedulerRole::kPartial : SchedulerRole::kFull;
  SetLeader(election, election->self.vm);
}

void RemoveExpiredPeers(SchedulerElection* election, TimePoint now) {
  std::erase_if(election->peers, [&](const auto& entry) {
    return !IsKnown(*election, entry.second, now);
  });
}

void DecideRole(SchedulerElection* election, TimePoint now,
                std::chrono::milliseconds wall_clock) {
  election->self.eligible = IsEligibleToClaim(*election, now);
  const DaemonReport* best = BestClaim(*election, now);
  const bool claims = election->self.claim != 0;
  const bool may_claim = !election->self.stopping && election->self.eligible &&
                         now >= election->no_claim_before &&
                         IsNextScheduler(*election, now);
  if (!claims && best != nullptr && may_claim &&
      ShouldReplace(*election, *best, now)) {
    Claim(election, now, wall_clock);
  } else if (best != nullptr &&
             (!claims || ClaimRank(*best) > ClaimRank(election->self))) {
    Follow(election, best->vm);
  } else if (claims) {
    UpdateSchedulingExtent(election, now);
  } else if (may_claim) {
    Claim(election, now, wall_clock);
  } else {
    Follow(election, "");
  }
}

std::set<std::string> FindOtherSchedulers(const SchedulerElection& election,
                                          TimePoint now) {
  std::set<std::string> other_schedulers;
  for (const auto& [vm, peer] : election.peers) {
    if (peer.report.claim != 0 && IsReachable(election, peer, now)) {
      other_schedulers.insert(vm);
    }
  }
  return other_schedulers;
}

// Returns the VM of the worker's home daemon: the member that rendezvous
// hashing selects among those in the worker's data centre, or among all members
// if there is none in that data centre.
std::string FindHomeDaemon(const SchedulerElection& election,
                           const std::string& worker,
                           const std::string& data_centre, TimePoint now) {
  const DaemonReport* home = nullptr;
  std::tuple<bool, std::uint64_t> best;
  const auto consider = [&](const DaemonReport& daemon) {
    const std::tuple<bool, std::uint64_t> score{
        daemon.data_centre == data_centre, Hash(worker, Hash(daemon.vm, 0))};
    if (home == nullptr || score > best) {
      home = &daemon;
      best = score;
    }
  };
  consider(election.self);
  for (const auto& [vm, peer] : election.peers) {
    if (IsMember(election, peer, now)) consider(peer.report);
  }
  return home->vm;
}

}  // namespace
}  // namespace internal

void SetListedDaemons(SchedulerElection* election,
                      const std::vector<ListedDaemon>& listed) {
  election->listing_known = true;
  for (auto& [vm, peer] : election->peers) peer.listed = false;
  for (const ListedDaemon& daemon : listed) {
    if (daemon.vm == election->self.vm) continue;
    ElectionPeer& peer = election->peers[daemon.vm];
    peer.listed = true;
    if (peer.report.vm.empty() || !peer.heard) {
      peer.report.vm = daemon.vm;
      peer.report.data_centre = daemon.data_centre;
      peer.report.endpoint = daemon.endpoint;
    }
  }
}

void RecordReport(SchedulerElection* election, const DaemonReport& report,
                  TimePoint now) {
  if (report.vm == election->self.vm) return;
  ElectionPeer& peer = election->peers[report.vm];
  if (!IsReachable(*election, peer, now)) peer.live_since = now;
  peer.report = report;
  peer.last_heard = now;
  peer.heard = true;
  election->self.highest_fence = std::max(
      {election->self.highest_fence, report.highest_fence, report.claim});
}

bool IsOutdated(const SchedulerElection& election, const DaemonReport& report) {
  const auto found = election.peers.find(report.vm);
  if (found == election.peers.end()) return false;
  const DaemonReport& latest = found->second.report;
  return latest.incarnation == report.incarnation &&
         report.sent_at < latest.sent_at;
}

bool IsPreferred(const DaemonReport& a, const DaemonReport& b) {
  if (a.weight != b.weight) return a.weight > b.weight;
  return a.vm < b.vm;
}

bool ChangesElection(const SchedulerElection& election,
                     const DaemonReport& report, TimePoint now) {
  const auto found = election.peers.find(report.vm);
  if (found == election.peers.end()) return true;
  if (!IsReachable(election, found->second, now)) return true;
  const auto decisive = [](const DaemonReport& r) {
    return std::tie(r.incarnation, r.weight, r.eligible, r.claim, r.partial,
                    r.stopping, r.standbys);
  };
  return decisive(found->second.report) != decisive(report);
}

void RecordDaemonFailure(SchedulerElection* election, const std::string& vm,
                         std::uint64_t incarnation) {
  const auto found = election->peers.find(vm);
  if (found == election->peers.end()) return;
  if (found->second.report.incarnation != incarnation) return;
  found->second.heard = false;
  found->second.report.claim = 0;
}

std::uint64_t IncarnationOf(const SchedulerElection& election,
                            const std::string& vm) {
  const auto found = election.peers.find(vm);
  return found == election.peers.end() ? 0 : found->second.report.incarnation;
}

bool IsLive(const SchedulerElection& election, const std::string& vm,
            TimePoint now) {
  if (vm == election.self.vm) return true;
  const auto found = election.peers.find(vm);
  return found != election.peers.end() &&
         internal::IsLivePeer(election, found->second, now);
}

bool IsReachable(const SchedulerElection& election, const ElectionPeer& peer,
                 TimePoint now) {
  return peer.heard && now - peer.last_heard <
                           internal::SilenceTimeout(election, peer.report);
}

bool IsReachable(const SchedulerElection& election, const std::string& vm,
                 TimePoint now) {
  const auto found = election.peers.find(vm);
  return found != election.peers.end() &&
         IsReachable(election, found->second, now);
}

ElectionChange RunElection(SchedulerElection* election, TimePoint now,
                           std::chrono::milliseconds wall_clock) {
  const SchedulerRole old_role = election->role;
  const std::string old_leader = election->leader;
  internal::RemoveExpiredPeers(election, now);
  internal::UpdateMajority(election, now);
  UpdateMonitoring(election, now);
  internal::DecideRole(election, now, wall_clock);
  UpdateStandbys(election, now);
  UpdateContacts(election, now);
  ElectionChange change;
  change.role_changed = election->role != old_role;
  change.leader_changed = election->leader != old_leader;
  std::set<std::string> other_schedulers =
      internal::FindOtherSchedulers(*election, now);
  change.last_other_scheduler_ended =
      !election->other_schedulers.empty() && other_schedulers.empty();
  election->other_schedulers = std::move(other_schedulers);
  return change;
}

void StepDown(SchedulerElection* election, TimePoint now) {
  internal::Follow(election, "");
  election->no_claim_before = now + election->times.step_down_pause;
}

bool IsHomeWorker(const SchedulerElection& election, const std::string& worker,
                  const std::string& data_centre, TimePoint now) {
  const std::string home =
      internal::FindHomeDaemon(election, worker, data_centre, now);
  if (home == election.self.vm) return true;
  const ElectionPeer& peer = election.peers.at(home);
  return internal::IsLivePeer(election, peer, now) &&
         now - peer.live_since >= election.times.promotion_delay;
}

FencingToken MakeFencingToken(std::chrono::milliseconds wall_clock,
                              const std::string& vm,
                              std::uint64_t incarnation) {
  const std::uint64_t daemon =
      internal::Hash(vm, incarnation) &
      ((std::uint64_t{1} << internal::kFenceDaemonBits) - 1);
  const auto time =
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, wall_clock.count()));
  return (time << internal::kFenceDaemonBits) | daemon;
}

FencingToken MakeHighestFencingToken(SchedulerElection* election) {
  const std::chrono::milliseconds known(
      internal::HighestKnownFencingToken(*election) >>
      internal::kFenceDaemonBits);
  election->self.highest_fence =
      MakeFencingToken(known + std::chrono::milliseconds(1), election->self.vm,
                       election->self.incarnation);
  return election->self.highest_fence;
}

FencingToken RaiseFencingToken(FencingToken fence,
                               std::chrono::milliseconds step) {
  return fence + (static_cast<std::uint64_t>(step.count())
                  << internal::kFenceDaemonBits);
}

}  // namespace sequoiapath
