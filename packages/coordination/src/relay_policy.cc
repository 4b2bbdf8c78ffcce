#include "sequoiapath/coordination/relay_policy.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Start orders and renewals take about 5 KB/s for each worker: 0.75 MB/s for
// 720 starts a second on 142 workers.
constexpr std::uint64_t kDirectBytesPerWorker = 10'000;
// How long a relay is not used for a worker after an order had no reply. A
// daemon that is lost is detected sooner; this covers a daemon that cannot
// reach the worker.
constexpr Duration kRelayAvoidance = std::chrono::seconds(5);

// Messages within this time form one batch. It is small against the round trips
// of an order.
constexpr Duration kBatchTime = std::chrono::milliseconds(5);
// Minimum time between two batches to the same daemon. The headers of a batch
// and of its response take some 200 bytes, so batches every 5 ms to 15 relays
// would fill a link of 250 KB/s by themselves.
constexpr Duration kBatchInterval = std::chrono::milliseconds(30);

std::uint64_t RendezvousScore(std::string_view relay, std::string_view worker) {
  return XXH3_64bits_withSeed(relay.data(), relay.size(),
                              XXH3_64bits(worker.data(), worker.size()));
}

// Orders the candidates for a worker: whether it is in the worker's data
// centre, then its score.
std::pair<bool, std::uint64_t> Preference(const RelayCandidate& candidate,
                                          const std::string& worker,
                                          const std::string& data_centre) {
  return {candidate.data_centre == data_centre,
          RendezvousScore(candidate.vm, worker)};
}

}  // namespace
}  // namespace internal

bool NeedsRelays(std::uint64_t link_bytes_per_second, std::size_t workers) {
  return link_bytes_per_second > 0 &&
         link_bytes_per_second < workers * internal::kDirectBytesPerWorker;
}

std::vector<RelayCandidate> FindRelays(const SchedulerElection& election,
                                       TimePoint now) {
  std::vector<RelayCandidate> relays;
  for (const auto& [vm, peer] : election.peers) {
    const DaemonReport& report = peer.report;
    if (!report.relays_orders || !IsLive(election, vm, now)) continue;
    relays.push_back(
        {vm, report.data_centre, report.endpoint, report.incarnation});
  }
  return relays;
}

std::string ChooseRelay(RelayRoutes* routes,
                        const std::vector<RelayCandidate>& candidates,
                        const std::string& worker,
                        const std::string& data_centre, TimePoint now) {
  RelayRoutes::Route& route = routes->workers[worker];
  std::erase_if(route.avoided,
                [now](const auto& entry) { return entry.second <= now; });
  const bool stays = route.renewals > 0 &&
                     std::any_of(candidates.begin(), candidates.end(),
                                 [&route](const RelayCandidate& candidate) {
                                   return candidate.vm == route.relay;
                                 });
  if (stays) return route.relay;
  const RelayCandidate* best = nullptr;
  std::pair<bool, std::uint64_t> best_preference;
  for (const RelayCandidate& candidate : candidates) {
    if (route.avoided.contains(candidate.vm)) continue;
    const auto preference =
        internal::Preference(candidate, worker, data_centre);
    if (best != nullptr && preference <= best_preference) continue;
    best = &candidate;
    best_preference = preference;
  }
  route.relay = best == nullptr ? "" : best->vm;
  return route.relay;
}

std::string CurrentRelay(const RelayRoutes& routes, const std::string& worker) {
  const auto found = routes.workers.find(worker);
  return found == routes.workers.end() ? "" : found->second.relay;
}

void BeginRelayedRenewal(RelayRoutes* routes, const std::string& worker) {
  ++routes->workers[worker].renewals;
}

void EndRelayedRenewal(RelayRoutes* routes, const std::string& worker) {
  const auto found = routes->workers.find(worker);
  if (found == routes->workers.end() || found->second.renewals == 0) return;
  --found->second.renewals;
}

void RecordRelayFailure(RelayRoutes* routes, const std::string& worker,
                        const std::string& relay, TimePoint now) {
  routes->workers[worker].avoided[relay] = now + internal::kRelayAvoidance;
}

bool AcceptRelayedFence(RelayedFences* fences, const std::string& worker,
                        FencingToken fence) {
  FencingToken& highest = fences->highest[worker];
  if (fence < highest) return false;
  highest = fence;
  return true;
}

bool IsCurrentBatch(const OrderBatch& batch, const DaemonReport& scheduler,
                    std::uint64_t self) {
  return batch.relay_incarnation == self &&
         batch.scheduler_incarnation == scheduler.incarnation &&
         batch.sent_at + kMaxRelayDelay >= scheduler.sent_at;
}

Duration BatchDelay(TimePoint previous, TimePoint now) {
  return std::max(internal::kBatchTime,
                  previous + internal::kBatchInterval - now);
}

TimePoint RelayedStartExpiry(const RelayedStart& start, TimePoint received) {
  return received + std::min<Duration>(kMaxRelayDelay, start.lease_left);
}

}  // namespace sequoiapath
