// Defines ConfigKeeper, which keeps a daemon's configuration up to date from
// the store and from other daemons and passes it on to them.

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

// Gets each configuration that comes into force.
using OnConfig = std::function<void(std::shared_ptr<const Catalog> catalog)>;

// Thread safety: loop thread only.
class ConfigKeeper {
 public:
  // Registers a membership listener and the handler for pulls. Preconditions:
  // the arguments outlive the object, the loop does not run after its end, and
  // the membership was not started yet.
  ConfigKeeper(EventLoop* loop, PeerService* peers, Membership* membership,
               StoreClient* store, OnConfig on_config);
  ConfigKeeper(const ConfigKeeper&) = delete;
  ConfigKeeper& operator=(const ConfigKeeper&) = delete;

  // Starts to ask the store. Precondition: the membership was started.
  void Start();

  // Returns the generation in force; zero before the first configuration.
  std::uint64_t Generation() const;

  // Returns the generation that a peer announced last; zero if unknown.
  std::uint64_t PeerGeneration(const std::string& vm) const;

  // Returns how often the store, or a peer, showed a record that contradicts
  // the one in force. Each is logged as an error.
  std::uint64_t Alarms() const;

 private:
  MembershipListener MakeListener();
  void AskStore();
  void UpdateWatch();
  void StartWatch();
  void StopWatch();
  void NoteAnnouncement(const std::string& vm, std::uint64_t generation,
                        const std::string& announced);
  void PullIfBehind();
  void OnPulled(const std::string& vm, const Result<ConfigPullReply>& result);
  // Returns whether the reply could be read and its patches fit.
  bool ReceiveReply(const ConfigPullReply& reply);
  // Puts a record in force if it is newer and its document is valid. `reply` is
  // the message that it came with.
  void Adopt(ConfigRecord record, PullReply reply);
  ConfigPullReply AnswerFor(std::uint64_t generation) const;

  EventLoop* loop;
  PeerService* peers;
  Membership* membership;
  StoreClient* store;
  OnConfig on_config;
  ConfigDistribution spread;
  std::unique_ptr<ConfigWatch> watch;
  Duration ask_delay;
  // Digest of the last record whose document was not valid; it is not asked
  // for again.
  std::string rejected_digest;
  // The last digest of a peer that contradicted the one in force.
  std::string contradicting_digest;
  // Set once the members have had time to become known.
  bool watch_allowed = false;
  // Set after a patch did not fit; the next pull asks for the whole document.
  bool needs_whole = false;
  // Tells the reply to the current pull from that to one given up.
  std::uint64_t pull_number = 0;
  // Of peers and of watches that have ended.
  std::uint64_t earlier_alarms = 0;
  std::mt19937_64 random;
  // Expires with this object; a pull may end later.
  std::shared_ptr<ConfigKeeper*> self;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CONFIG_KEEPER_H_
