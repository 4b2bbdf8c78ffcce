#include "sequoiapath/coordination/config_spread.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

std::uint64_t Generation(const ConfigSpread& spread) {
  return spread.current ? spread.current->generation : 0;
}

void RememberPatch(ConfigSpread* spread, ConfigPatch patch) {
  if (!spread->patches.empty() &&
      spread->patches.back().to_generation != patch.from_generation) {
    spread->patches.clear();
    spread->patch_bytes = 0;
  }
  spread->patch_bytes += patch.patch.size();
  spread->patches.push_back(std::move(patch));
  while (spread->patch_bytes > spread->limits.max_patch_bytes) {
    spread->patch_bytes -= spread->patches.front().patch.size();
    spread->patches.pop_front();
  }
}

std::uint64_t WatcherRank(std::string_view vm) {
  return XXH3_64bits(vm.data(), vm.size());
}

AdoptOutcome CompareWithCurrent(const ConfigSpread& spread,
                                const ConfigRecord& record) {
  const std::uint64_t in_force = Generation(spread);
  if (record.generation > in_force) return AdoptOutcome::kAdopted;
  if (record.generation < in_force) return AdoptOutcome::kOlder;
  const bool same = spread.current && spread.current->digest == record.digest;
  return same ? AdoptOutcome::kAlreadyInForce : AdoptOutcome::kConflict;
}

Result<ConfigRecord> ApplyPatches(const ConfigSpread& spread,
                                  const PatchChain& chain) {
  if (!spread.current) {
    return Failure{Verdict::kNotRun, Reason::kConflict,
                   RetryAdvice::kSameSequence, std::nullopt,
                   "patches need a configuration to apply to"};
  }
  ConfigRecord record = *spread.current;
  for (const ConfigPatch& patch : chain.patches) {
    Result<ConfigRecord> next = ApplyConfigPatch(record, patch);
    if (const Failure* failure = GetFailure(next)) return *failure;
    record = std::get<ConfigRecord>(std::move(next));
  }
  return record;
}

}  // namespace
}  // namespace internal

AdoptOutcome AdoptRecord(ConfigSpread* spread, ConfigRecord record) {
  const AdoptOutcome outcome = internal::CompareWithCurrent(*spread, record);
  if (outcome != AdoptOutcome::kAdopted) return outcome;
  if (spread->current) {
    internal::RememberPatch(spread, MakeConfigPatch(*spread->current, record));
  }
  spread->current = std::move(record);
  return outcome;
}

bool IsWatcher(const ConfigSpreadLimits& limits, std::string_view self,
               const std::vector<std::string>& live) {
  const std::uint64_t own_rank = internal::WatcherRank(self);
  const auto ahead =
      std::count_if(live.begin(), live.end(), [&](const std::string& vm) {
        const std::uint64_t rank = internal::WatcherRank(vm);
        return rank < own_rank || (rank == own_rank && vm < self);
      });
  return static_cast<std::size_t>(ahead) < limits.watchers;
}

void NotePeerGeneration(ConfigSpread* spread, const std::string& peer,
                        std::uint64_t generation) {
  spread->peer_generations[peer] = generation;
}

void ForgetPeer(ConfigSpread* spread, const std::string& peer) {
  spread->peer_generations.erase(peer);
}

std::optional<std::string> NextPull(ConfigSpread* spread, std::uint64_t choice,
                                    TimePoint now) {
  if (!spread->pulling_from.empty()) {
    if (now - spread->pull_started < spread->limits.pull_timeout) {
      return std::nullopt;
    }
    FinishPull(spread, /*succeeded=*/false);
  }
  std::uint64_t greatest = internal::Generation(*spread);
  std::vector<std::string> ahead;
  for (const auto& [peer, generation] : spread->peer_generations) {
    if (generation < greatest || generation == internal::Generation(*spread)) {
      continue;
    }
    if (generation > greatest) ahead.clear();
    greatest = generation;
    ahead.push_back(peer);
  }
  if (ahead.empty()) return std::nullopt;
  spread->pulling_from = ahead[choice % ahead.size()];
  spread->pull_started = now;
  return spread->pulling_from;
}

void FinishPull(ConfigSpread* spread, bool succeeded) {
  if (!succeeded) ForgetPeer(spread, spread->pulling_from);
  spread->pulling_from.clear();
}

PullReply AnswerPull(const ConfigSpread& spread, std::uint64_t generation) {
  if (!spread.current || generation >= spread.current->generation) {
    return UpToDate{};
  }
  const auto first = std::find_if(spread.patches.begin(), spread.patches.end(),
                                  [generation](const ConfigPatch& patch) {
                                    return patch.from_generation == generation;
                                  });
  PatchChain chain{{first, spread.patches.end()}};
  std::size_t bytes = 0;
  for (const ConfigPatch& patch : chain.patches) bytes += patch.patch.size();
  if (chain.patches.empty() || bytes >= spread.current->document.size()) {
    return WholeDocument{*spread.current};
  }
  return chain;
}

Result<std::optional<ConfigRecord>> ResolvePullReply(const ConfigSpread& spread,
                                                     const PullReply& reply) {
  if (const auto* whole = std::get_if<WholeDocument>(&reply)) {
    return std::optional(whole->record);
  }
  const auto* chain = std::get_if<PatchChain>(&reply);
  if (chain == nullptr) return std::optional<ConfigRecord>();
  Result<ConfigRecord> patched = internal::ApplyPatches(spread, *chain);
  if (const Failure* failure = GetFailure(patched)) return *failure;
  return std::optional(std::get<ConfigRecord>(std::move(patched)));
}

// Making received patches again would cost more than applying them.
AdoptOutcome AdoptResolved(ConfigSpread* spread, ConfigRecord record,
                           PullReply reply) {
  auto* chain = std::get_if<PatchChain>(&reply);
  if (chain == nullptr) return AdoptRecord(spread, std::move(record));
  const AdoptOutcome outcome = internal::CompareWithCurrent(*spread, record);
  if (outcome != AdoptOutcome::kAdopted) return outcome;
  for (ConfigPatch& patch : chain->patches) {
    internal::RememberPatch(spread, std::move(patch));
  }
  spread->current = std::move(record);
  return outcome;
}

Result<AdoptOutcome> ApplyPullReply(ConfigSpread* spread, PullReply reply) {
  auto resolved = ResolvePullReply(*spread, reply);
  if (const Failure* failure = GetFailure(resolved)) return *failure;
  auto& record = std::get<std::optional<ConfigRecord>>(resolved);
  if (!record) return AdoptOutcome::kAlreadyInForce;
  return AdoptResolved(spread, *std::move(record), std::move(reply));
}

}  // namespace sequoiapath
