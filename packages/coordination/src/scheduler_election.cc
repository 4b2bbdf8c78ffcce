#include "sequoiapath/coordination/scheduler_election.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// The low bits of a fencing token tell daemons apart that claim in the same
// millisecond. Together with 41 bits of time a token stays below 2^53, so that
// it survives readers that keep numbers as doubles.
constexpr unsigned kFenceDaemonBits = 11;

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

bool IsReachablePeer(const SchedulerElection& election,
                     const ElectionPeer& peer, TimePoint now) {
  return peer.heard && now - peer.last_heard < election.times.silence;
}

bool IsLivePeer(const SchedulerElection& election, const ElectionPeer& peer,
                TimePoint now) {
  return !peer.report.stopping && IsReachablePeer(election, peer, now);
}

bool IsKnown(const SchedulerElection& election, const ElectionPeer& peer,
             TimePoint now) {
  if (peer.listed) return true;
  return peer.last_heard != TimePoint{} &&
         now - peer.last_heard < election.times.memory;
}

// A daemon that said that it stops is no member until it is heard again, so
// that a rolling restart during a partition does not cost the majority.
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

// Orders claims: a scheduler of the majority goes first, then the stronger
// daemon, which has the time for every worker, then the later claim.
std::tuple<bool, std::uint32_t, FencingToken> ClaimRank(
    const DaemonReport& report) {
  return {!report.partial, report.weight, report.claim};
}

// Returns the live peer whose claim goes first, or null.
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

bool IsPreferred(const DaemonReport& a, const DaemonReport& b) {
  if (a.weight != b.weight) return a.weight > b.weight;
  return a.vm < b.vm;
}

// Says whether the peer goes before this daemon in the order of succession. A
// daemon that may not claim yet holds the succession up at a common start only.
bool GoesBefore(const SchedulerElection& election, const ElectionPeer& peer,
                TimePoint now) {
  if (!IsLivePeer(election, peer, now)) return false;
  if (peer.report.eligible) return IsPreferred(peer.report, election.self);
  return peer.report.weight > election.self.weight &&
         now - election.started < election.times.wait_for_stronger;
}

bool IsNextScheduler(const SchedulerElection& election, TimePoint now) {
  return std::none_of(election.peers.begin(), election.peers.end(),
                      [&](const auto& entry) {
                        return GoesBefore(election, entry.second, now);
                      });
}

bool HeardAllListed(const SchedulerElection& election) {
  return election.listing_known &&
         std::all_of(election.peers.begin(), election.peers.end(),
                     [](const auto& entry) {
                       return !entry.second.listed || entry.second.heard;
                     });
}

// A new daemon claims only once it had the time to hear of a scheduler.
bool IsSettled(const SchedulerElection& election, TimePoint now) {
  const Duration age = now - election.started;
  if (election.self.eligible || age >= election.times.settle) return true;
  return age >= election.times.settle_complete && HeardAllListed(election);
}

// Says whether this daemon should take over from a scheduler that may not have
// the time for every worker.
bool ShouldReplace(const SchedulerElection& election,
                   const DaemonReport& scheduler, TimePoint now) {
  return 2 * scheduler.weight < election.self.weight &&
         now - election.started >= election.times.replace_weaker;
}

FencingToken HighestKnownFence(const SchedulerElection& election) {
  FencingToken highest = election.self.highest_fence;
  for (const auto& [vm, peer] : election.peers) {
    highest = std::max({highest, peer.report.highest_fence, peer.report.claim});
  }
  return highest;
}

void Claim(SchedulerElection* election, TimePoint now,
           std::chrono::milliseconds wall_clock) {
  const FencingToken fence =
      MakeFence(wall_clock, election->self.vm, election->self.incarnation);
  if (fence > HighestKnownFence(*election)) {
    election->self.highest_fence = fence;
  } else {
    FenceAboveAll(election);
  }
  election->self.claim = election->self.highest_fence;
  election->self.partial = !HasMajority(*election, now);
  election->role =
      election->self.partial ? SchedulerRole::kPartial : SchedulerRole::kFull;
  election->leader = election->self.vm;
}

void Follow(SchedulerElection* election, const std::string& vm) {
  election->self.claim = 0;
  election->self.partial = false;
  election->role = SchedulerRole::kFollower;
  election->leader = vm;
}

void UpdateMajority(SchedulerElection* election, TimePoint now) {
  if (!HasMajority(*election, now)) {
    election->majority_since.reset();
  } else if (!election->majority_since) {
    election->majority_since = now;
  }
}

// A scheduler keeps its claim but adapts its extent to its group.
void AdaptExtent(SchedulerElection* election, TimePoint now) {
  const bool may_be_full =
      election->majority_since &&
      (!election->self.partial ||
       now - *election->majority_since >= election->times.promotion);
  election->self.partial = !may_be_full;
  election->role =
      election->self.partial ? SchedulerRole::kPartial : SchedulerRole::kFull;
  election->leader = election->self.vm;
}

void ForgetOldPeers(SchedulerElection* election, TimePoint now) {
  std::erase_if(election->peers, [&](const auto& entry) {
    return !IsKnown(*election, entry.second, now);
  });
}

void DecideRole(SchedulerElection* election, TimePoint now,
                std::chrono::milliseconds wall_clock) {
  election->self.eligible = IsSettled(*election, now);
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
    AdaptExtent(election, now);
  } else if (may_claim) {
    Claim(election, now, wall_clock);
  } else {
    Follow(election, "");
  }
}

std::set<std::string> FindRivals(const SchedulerElection& election,
                                 TimePoint now) {
  std::set<std::string> rivals;
  for (const auto& [vm, peer] : election.peers) {
    if (peer.report.claim != 0 && IsReachablePeer(election, peer, now)) {
      rivals.insert(vm);
    }
  }
  return rivals;
}

// Returns the member that a worker belongs to, by rendezvous hashing.
std::string HomeOf(const SchedulerElection& election, const std::string& worker,
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
  if (!internal::IsReachablePeer(*election, peer, now)) peer.live_since = now;
  peer.report = report;
  peer.last_heard = now;
  peer.heard = true;
  election->self.highest_fence = std::max(
      {election->self.highest_fence, report.highest_fence, report.claim});
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

bool IsReachable(const SchedulerElection& election, const std::string& vm,
                 TimePoint now) {
  const auto found = election.peers.find(vm);
  return found != election.peers.end() &&
         internal::IsReachablePeer(election, found->second, now);
}

ElectionChange RunElection(SchedulerElection* election, TimePoint now,
                           std::chrono::milliseconds wall_clock) {
  const SchedulerRole old_role = election->role;
  const std::string old_leader = election->leader;
  internal::ForgetOldPeers(election, now);
  internal::UpdateMajority(election, now);
  internal::DecideRole(election, now, wall_clock);
  ElectionChange change;
  change.role_changed = election->role != old_role;
  change.leader_changed = election->leader != old_leader;
  std::set<std::string> rivals = internal::FindRivals(*election, now);
  change.last_rival_ended = !election->rivals.empty() && rivals.empty();
  election->rivals = std::move(rivals);
  return change;
}

void StepDown(SchedulerElection* election, TimePoint now) {
  internal::Follow(election, "");
  election->no_claim_before = now + election->times.step_down_pause;
}

bool IsHomeWorker(const SchedulerElection& election, const std::string& worker,
                  const std::string& data_centre, TimePoint now) {
  const std::string home = internal::HomeOf(election, worker, data_centre, now);
  if (home == election.self.vm) return true;
  const ElectionPeer& peer = election.peers.at(home);
  return internal::IsLivePeer(election, peer, now) &&
         now - peer.live_since >= election.times.promotion;
}

FencingToken MakeFence(std::chrono::milliseconds wall_clock,
                       const std::string& vm, std::uint64_t incarnation) {
  const std::uint64_t daemon =
      internal::Hash(vm, incarnation) &
      ((std::uint64_t{1} << internal::kFenceDaemonBits) - 1);
  const auto time =
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, wall_clock.count()));
  return (time << internal::kFenceDaemonBits) | daemon;
}

FencingToken FenceAboveAll(SchedulerElection* election) {
  const std::chrono::milliseconds known(
      internal::HighestKnownFence(*election) >> internal::kFenceDaemonBits);
  election->self.highest_fence =
      MakeFence(known + std::chrono::milliseconds(1), election->self.vm,
                election->self.incarnation);
  return election->self.highest_fence;
}

FencingToken RaiseFence(FencingToken fence, std::chrono::milliseconds step) {
  return fence + (static_cast<std::uint64_t>(step.count())
                  << internal::kFenceDaemonBits);
}

}  // namespace sequoiapath
