// Defines ConfigDistribution, which decides how daemons distribute the
// configuration: which daemons watch the store, from which peer a daemon with
// an older generation pulls, and what that peer replies.

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
  // Number of daemons per data centre that watch the store. With more than one,
  // the failure of a watcher does not delay configuration changes.
  std::size_t watchers = 2;
  // Maximum total size of the stored patches, in bytes. A peer whose generation
  // precedes the oldest stored patch is sent the whole document.
  std::size_t max_patch_bytes = 1 << 20;
  Duration pull_timeout = std::chrono::seconds(2);
};

struct ConfigDistribution {
  ConfigDistributionLimits limits;
  std::optional<ConfigRecord> current;
  std::deque<ConfigPatch> patches;  // Consecutive generations, oldest first.
  std::size_t patch_bytes = 0;
  // The generation that each peer announced last, by VM name.
  std::map<std::string, std::uint64_t> peer_generations;
  // Peer of the pull in progress; empty if there is none.
  std::string pulling_from;
  TimePoint pull_started;
};

// Result of AdoptRecord, AdoptResolvedRecord and ApplyPullReply.
enum class AdoptOutcome {
  kAdopted,
  kAlreadyInForce,
  kOlder,     // Lower generation; the record in force is kept.
  kConflict,  // Same generation but different digest; the record in force is
              // kept.
};

// Puts `record` in force if its generation is greater than the current one, so
// that the configuration in force never reverts. Thread safety: one thread at a
// time.
AdoptOutcome AdoptRecord(ConfigDistribution* distribution, ConfigRecord record);

// Returns whether `self` watches the store. The watchers are the live VMs of
// the data centre with the lowest hashes of their names (rendezvous hashing).
// `live` lists the live VMs of the data centre; `self` is always treated as
// live. Thread-safe.
bool IsWatcher(const ConfigDistributionLimits& limits, std::string_view self,
               const std::vector<std::string>& live);

// Records the generation that a peer announced.
void NotePeerGeneration(ConfigDistribution* distribution,
                        const std::string& peer, std::uint64_t generation);

// Removes the recorded generation of a peer, for example when it is down.
void RemovePeer(ConfigDistribution* distribution, const std::string& peer);

// Starts a pull and returns the peer to pull from, or nothing if no peer has
// announced a greater generation or a pull is in progress. A pull that reaches
// `limits.pull_timeout` is ended as failed. `random_value` selects one of the
// peers with the greatest generation, to distribute the load.
std::optional<std::string> StartPull(ConfigDistribution* distribution,
                                     std::uint64_t random_value, TimePoint now);

// Ends the pull in progress. A failed pull removes the peer's generation until
// its next announcement, so that the next pull uses another peer.
void FinishPull(ConfigDistribution* distribution, bool succeeded);

// Possible replies to a pull.
struct UpToDate {};
struct PatchChain {
  std::vector<ConfigPatch> patches;
};
struct WholeDocument {
  ConfigRecord record;
};
using PullReply = std::variant<UpToDate, PatchChain, WholeDocument>;

// Returns the reply to a peer that has `generation`: UpToDate if no greater one
// is in force, patches if they are stored and smaller than the document, and
// otherwise the whole document.
PullReply AnswerPull(const ConfigDistribution& distribution,
                     std::uint64_t generation);

// Returns the record that results from a reply without adopting it, so that the
// caller can validate its document first. Returns nothing for UpToDate. Fails
// under the same conditions as ApplyPullReply.
Result<std::optional<ConfigRecord>> ResolvePullReply(
    const ConfigDistribution& distribution, const PullReply& reply);

// Adopts the record that ResolvePullReply returned for `reply`. Stores the
// received patches, to send them to other peers.
AdoptOutcome AdoptResolvedRecord(ConfigDistribution* distribution,
                                 ConfigRecord record, PullReply reply);

// Resolves and adopts a reply. Fails if a patch does not apply to the
// configuration in force; the caller then pulls again with generation zero to
// get the whole document.
Result<AdoptOutcome> ApplyPullReply(ConfigDistribution* distribution,
                                    PullReply reply);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CONFIG_SPREAD_H_
