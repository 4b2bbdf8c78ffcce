// Defines ConfigDistribution, which decides how the configuration travels
// between daemons: who watches the store, what a daemon that is behind asks
// for, and what it is sent.

#ifndef SEQUOIAPATH_COORDINATION_CONFIG_SPREAD_H_
#define SEQUOIAPATH_COORDINATION_CONFIG_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/config_patch.h"
#include "sequoiapath/protocol/document.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct ConfigDistributionLimits {
  // Daemons of a data centre that watch the store; more than one, so that the
  // loss of a watcher delays nothing.
  std::size_t watchers = 2;
  // Patches are kept up to this size; a daemon further behind gets the whole
  // document.
  std::size_t max_patch_bytes = 1 << 20;
  Duration pull_timeout = std::chrono::seconds(2);
};

struct ConfigDistribution {
  ConfigDistributionLimits limits;
  std::optional<ConfigRecord> current;
  std::deque<ConfigPatch> patches;  // Consecutive, oldest first.
  std::size_t patch_bytes = 0;
  // Generation that each peer announced last.
  std::map<std::string, std::uint64_t> peer_generations;
  // The pull in progress, if any.
  std::string pulling_from;
  TimePoint pull_started;
};

// What became of a record that was offered.
enum class AdoptOutcome {
  kAdopted,
  kAlreadyInForce,
  kOlder,     // A smaller generation; the one in force stays.
  kConflict,  // The same generation with another digest; the one in force
              // stays.
};

// Offers a record. Only a greater generation is adopted, so that the
// configuration in force never reverts. Thread safety: one thread at a time.
AdoptOutcome AdoptRecord(ConfigDistribution* spread, ConfigRecord record);

// Says whether `self` watches the store: it is among the first members of its
// data centre by rendezvous hash. `live` lists the live VMs of the data centre;
// `self` counts as live in any case. Thread-safe.
bool IsWatcher(const ConfigDistributionLimits& limits, std::string_view self,
               const std::vector<std::string>& live);

// Notes the generation that a peer announced.
void NotePeerGeneration(ConfigDistribution* spread, const std::string& peer,
                        std::uint64_t generation);

// Forgets a peer that is down.
void RemovePeer(ConfigDistribution* spread, const std::string& peer);

// Returns the peer to pull from now, or nothing if no known peer is ahead or a
// pull is in progress. Records the pull as started. `choice` is a random number
// that spreads the pulls over the peers that are ahead.
std::optional<std::string> StartPull(ConfigDistribution* spread,
                                     std::uint64_t choice, TimePoint now);

// Ends the pull in progress. A failed pull forgets the peer's generation until
// its next announcement, so that another peer is asked first.
void FinishPull(ConfigDistribution* spread, bool succeeded);

// Replies to a pull.
struct UpToDate {};
struct PatchChain {
  std::vector<ConfigPatch> patches;
};
struct WholeDocument {
  ConfigRecord record;
};
using PullReply = std::variant<UpToDate, PatchChain, WholeDocument>;

// Returns what a peer that has `generation` needs: patches if they are kept and
// smaller than the document, else the whole document.
PullReply AnswerPull(const ConfigDistribution& spread,
                     std::uint64_t generation);

// Returns the record that a reply leads to without adopting it, so that its
// document can be checked first; absent if the reply carries none. Fails as
// ApplyPullReply does.
Result<std::optional<ConfigRecord>> ResolvePullReply(
    const ConfigDistribution& spread, const PullReply& reply);

// Adopts the record that ResolvePullReply returned for `reply`. The received
// patches are kept for other peers.
AdoptOutcome AdoptResolvedRecord(ConfigDistribution* spread,
                                 ConfigRecord record, PullReply reply);

// Applies a reply. Fails if a patch does not fit; the caller then pulls again
// with generation zero to get the whole document.
Result<AdoptOutcome> ApplyPullReply(ConfigDistribution* spread,
                                    PullReply reply);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CONFIG_SPREAD_H_
