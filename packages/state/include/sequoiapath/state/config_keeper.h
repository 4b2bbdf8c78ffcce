// Defines ConfigKeeper, which updates a daemon's configuration from the store
// and from other daemons, and serves it to other daemons.

#ifndef SEQUOIAPATH_STATE_CONFIG_KEEPER_H_
#define SEQUOIAPATH_STATE_CONFIG_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "sequoiapath/coordination/catalog.h"
#include "sequoiapath/coordination/config_spread.h"
#include "sequoiapath/state/config_watch.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/peer_service.h"
#include "sequoiapath/state/store_client.h"

namespace sequoiapath {

// Called with each configuration that this daemon puts in force.
using ConfigCallback =
    std::function<void(std::shared_ptr<const Catalog> catalog)>;

// Puts newer configurations in force that the store or peers offer, and
// sends the configuration in force to peers that request it. Thread safety:
// loop thread only.
class ConfigKeeper {
 public:
  // Registers a membership listener and the handler for ConfigPull messages.
  // Preconditions: the pointed-to objects outlive the keeper, the loop does not
  // run after the keeper is destroyed, and the membership is not started yet.
  ConfigKeeper(EventLoop* loop, PeerService* peers, Membership* membership,
               StoreClient* store, ConfigCallback on_config);
  ConfigKeeper(const ConfigKeeper&) = delete;
  ConfigKeeper& operator=(const ConfigKeeper&) = delete;

  // Schedules the first read of the store and the start of the watch.
  // Precondition: the membership is started.
  void Start();

  // Returns the generation in force, or zero before the first configuration.
  std::uint64_t Generation() const;

  // Returns the generation that the peer announced last, or zero if unknown.
  std::uint64_t PeerGeneration(const std::string& vm) const;

  // Returns how often the store or a peer presented a record that is
  // inconsistent with the one in force: a missing or older record in the store,
  // or the same generation with another digest. Each case is logged as an
  // error.
  std::uint64_t Alarms() const;

 private:
  MembershipListener MakeListener();
  void ReadStore();
  void UpdateWatch();
  void StartWatch();
  void StopWatch();
  void ReceiveAnnouncement(const std::string& vm, std::uint64_t generation,
                           const std::string& announced);
  void PullIfBehind();
  void OnPulled(const std::string& vm, const Result<ConfigPullReply>& result);
  // Returns whether the reply was decoded and its patches applied.
  bool ReceiveReply(const ConfigPullReply& reply);
  // Puts a record in force if it is newer and its document is valid. `reply` is
  // the pull reply that contained the record, or UpToDate for a record from the
  // store.
  void Adopt(ConfigRecord record, PullReply reply);
  ConfigPullReply MakePullReply(std::uint64_t generation) const;

  EventLoop* loop;
  PeerService* peers;
  Membership* membership;
  StoreClient* store;
  ConfigCallback on_config;
  ConfigDistribution distribution;
  std::unique_ptr<ConfigWatch> watch;
  // Delay before the next read of the store; doubles with each read.
  Duration store_read_retry_delay;
  // Announced digest of the last record whose document was invalid. The keeper
  // does not pull that record again.
  std::string rejected_digest;
  // The last digest that a peer announced for the generation in force and that
  // differs from the one in force.
  std::string contradicting_digest;
  // True once kWatchDelay has passed since Start. By then the live members of
  // the data centre are known.
  bool watch_allowed = false;
  // True after the patches of a reply could not be applied; the next pull
  // requests the whole document.
  bool needs_whole_document = false;
  // Identifies the current pull; replies to earlier pulls are ignored.
  std::uint64_t pull_number = 0;
  // Number of alarms that announcements of peers or watches that were stopped
  // since have raised. `watch` counts its own alarms.
  std::uint64_t alarms_outside_watch = 0;
  std::mt19937_64 random;
  // Callbacks of pulls hold a weak pointer to this member, because a pull may
  // end after the keeper is destroyed.
  std::shared_ptr<ConfigKeeper*> self;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CONFIG_KEEPER_H_
