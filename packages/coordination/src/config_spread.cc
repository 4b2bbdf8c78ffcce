#include "sequoiapath/coordination/config_spread.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

std::uint64_t Generation(const ConfigDistribution& distribution) {
  return distribution.current ? distribution.current->generation : 0;
}

void StorePatch(ConfigDistribution* distribution, ConfigPatch patch) {
  if (!distribution->patches.empty() &&
      distribution->patches.back().to_generation != patch.from_generation) {
    distribution->patches.clear();
    distribution->patch_bytes = 0;
  }
  distribution->patch_bytes += patch.patch.size();
  distribution->patches.push_back(std::move(patch));
  while (distribution->patch_bytes > distribution->limits.max_patch_bytes) {
    distribution->patch_bytes -= distribution->patches.front().patch.size();
    distribution->patches.pop_front();
  }
}

std::uint64_t WatcherRank(std::string_view vm) {
  return XXH3_64bits(vm.data(), vm.size());
}

AdoptOutcome CompareWithCurrent(const ConfigDistribution& distribution,
                                const ConfigRecord& record) {
  const std::uint64_t in_force = Generation(distribution);
  if (record.generation > in_force) return AdoptOutcome::kAdopted;
  if (record.generation < in_force) return AdoptOutcome::kOlder;
  const bool same =
      distribution.current && distribution.current->digest == record.digest;
  return same ? AdoptOutcome::kAlreadyInForce : AdoptOutcome::kConflict;
}

Result<ConfigRecord> ApplyPatches(const ConfigDistribution& distribution,
                                  const PatchChain& chain) {
  if (!distribution.current) {
    return Failure{Verdict::kNotRun, Reason::kConflict,
                   RetryAdvice::kSameSequence, std::nullopt,
                   "cannot apply configuration patches: no configuration is in "
                   "force"};
  }
  ConfigRecord record = *distribution.current;
  for (const ConfigPatch& patch : chain.patches) {
    Result<ConfigRecord> next = ApplyConfigPatch(record, patch);
    if (const Failure* failure = GetFailure(next)) return *failure;
    record = std::get<ConfigRecord>(std::move(next));
  }
  return record;
}

}  // namespace
}  // namespace internal

AdoptOutcome AdoptRecord(ConfigDistribution* distribution,
                         ConfigRecord record) {
  const AdoptOutcome outcome =
      internal::CompareWithCurrent(*distribution, record);
  if (outcome != AdoptOutcome::kAdopted) return outcome;
  if (distribution->current) {
    internal::StorePatch(distribution,
                         MakeConfigPatch(*distribution->current, record));
  }
  distribution->current = std::move(record);
  return outcome;
}

bool IsWatcher(const ConfigDistributionLimits& limits, std::string_view self,
               const std::vector<std::string>& live) {
  const std::uint64_t own_rank = internal::WatcherRank(self);
  const auto lower_rank_count =
      std::count_if(live.begin(), live.end(), [&](const std::string& vm) {
        const std::uint64_t rank = internal::WatcherRank(vm);
        return rank < own_rank || (rank == own_rank && vm < self);
      });
  return static_cast<std::size_t>(lower_rank_count) < limits.watchers;
}

void NotePeerGeneration(ConfigDistribution* distribution,
                        const std::string& peer, std::uint64_t generation) {
  distribution->peer_generations[peer] = generation;
}

void RemovePeer(ConfigDistribution* distribution, const std::string& peer) {
  distribution->peer_generations.erase(peer);
}

std::optional<std::string> StartPull(ConfigDistribution* distribution,
                                     std::uint64_t random_value,
                                     TimePoint now) {
  if (!distribution->pulling_from.empty()) {
    if (now - distribution->pull_started < distribution->limits.pull_timeout) {
      return std::nullopt;
    }
    FinishPull(distribution, /*succeeded=*/false);
  }
  std::uint64_t greatest = internal::Generation(*distribution);
  std::vector<std::string> newest_peers;
  for (const auto& [peer, generation] : distribution->peer_generations) {
    if (generation < greatest ||
        generation == internal::Generation(*distribution)) {
      continue;
    }
    if (generation > greatest) newest_peers.clear();
    greatest = generation;
    newest_peers.push_back(peer);
  }
  if (newest_peers.empty()) return std::nullopt;
  distribution->pulling_from = newest_peers[random_value % newest_peers.size()];
  distribution->pull_started = now;
  return distribution->pulling_from;
}

void FinishPull(ConfigDistribution* distribution, bool succeeded) {
  if (!succeeded) RemovePeer(distribution, distribution->pulling_from);
  distribution->pulling_from.clear();
}

PullReply AnswerPull(const ConfigDistribution& distribution,
                     std::uint64_t generation) {
  if (!distribution.current || generation >= distribution.current->generation) {
    return UpToDate{};
  }
  const auto first =
      std::find_if(distribution.patches.begin(), distribution.patches.end(),
                   [generation](const ConfigPatch& patch) {
                     return patch.from_generation == generation;
                   });
  PatchChain chain{{first, distribution.patches.end()}};
  std::size_t bytes = 0;
  for (const ConfigPatch& patch : chain.patches) bytes += patch.patch.size();
  if (chain.patches.empty() || bytes >= distribution.current->document.size()) {
    return WholeDocument{*distribution.current};
  }
  return chain;
}

Result<std::optional<ConfigRecord>> ResolvePullReply(
    const ConfigDistribution& distribution, const PullReply& reply) {
  if (const auto* whole = std::get_if<WholeDocument>(&reply)) {
    return std::optional(whole->record);
  }
  const auto* chain = std::get_if<PatchChain>(&reply);
  if (chain == nullptr) return std::optional<ConfigRecord>();
  Result<ConfigRecord> patched = internal::ApplyPatches(distribution, *chain);
  if (const Failure* failure = GetFailure(patched)) return *failure;
  return std::optional(std::get<ConfigRecord>(std::move(patched)));
}

// Stores the received patches as they are, because computing them again costs
// more than applying them.
AdoptOutcome AdoptResolvedRecord(ConfigDistribution* distribution,
                                 ConfigRecord record, PullReply reply) {
  auto* chain = std::get_if<PatchChain>(&reply);
  if (chain == nullptr) return AdoptRecord(distribution, std::move(record));
  const AdoptOutcome outcome =
      internal::CompareWithCurrent(*distribution, record);
  if (outcome != AdoptOutcome::kAdopted) return outcome;
  for (ConfigPatch& patch : chain->patches) {
    internal::StorePatch(distribution, std::move(patch));
  }
  distribution->current = std::move(record);
  return outcome;
}

Result<AdoptOutcome> ApplyPullReply(ConfigDistribution* distribution,
                                    PullReply reply) {
  auto resolved = ResolvePullReply(*distribution, reply);
  if (const Failure* failure = GetFailure(resolved)) return *failure;
  auto& record = std::get<std::optional<ConfigRecord>>(resolved);
  if (!record) return AdoptOutcome::kAlreadyInForce;
  return AdoptResolvedRecord(distribution, *std::move(record),
                             std::move(reply));
}

}  // namespace sequoiapath
