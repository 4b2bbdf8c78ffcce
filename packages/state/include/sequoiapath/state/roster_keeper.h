// Defines RosterKeeper, which reads the data centre's roster and VM list from
// the store and writes a new roster when the VMs have changed.

#ifndef SEQUOIAPATH_STATE_ROSTER_KEEPER_H_
#define SEQUOIAPATH_STATE_ROSTER_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "sequoiapath/coordination/roster.h"
#include "sequoiapath/state/membership.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// Functions through which the keeper queries and notifies its owner. All must
// be set.
struct RosterKeeperCallbacks {
  // Returns the newest known roster.
  std::function<const Roster&()> current;
  // Returns whether the keeper may propose rosters.
  std::function<bool()> may_propose;
  std::function<Duration()> hold_down;
  // Called with the result of each read of the stored roster: a roster of epoch
  // zero if the key does not exist, nothing if the read or decoding failed.
  std::function<void(const std::optional<Roster>&)> on_read;
  // Called with each roster that this daemon has written.
  std::function<void(const Roster&)> on_written;
  // Called with the VMs that the platform lists.
  std::function<void(const std::set<std::string>&)> on_listed;
};

// Polls the store for the roster and the VM list, and writes a new roster if
// one is needed. Of the live VMs, only the one whose name sorts first polls at
// short intervals, so that the number of store calls grows little with the
// number of VMs. Thread safety:
// loop thread only.
class RosterKeeper {
 public:
  // Preconditions: `loop`, `store` and `membership` outlive the keeper, and the
  // loop does not run after the keeper is destroyed.
  RosterKeeper(EventLoop* loop, StoreClient* store,
               const Membership* membership, RosterKeeperCallbacks callbacks);
  RosterKeeper(const RosterKeeper&) = delete;
  RosterKeeper& operator=(const RosterKeeper&) = delete;

  // Starts to poll the store and sends the first read immediately.
  void Start();

  // Makes the next tick poll the store, for example because a VM announced that
  // it is leaving.
  void PollSoon() { this->last_poll_time.reset(); }

  // Marks this VM as leaving, so that proposed rosters omit it.
  void BeginLeaving();

 private:
  void Tick();
  Duration PollInterval() const;
  bool IsFirstLiveVm() const;
  void Poll();
  void OnRoster(const Result<RangeReply>& result);
  void OnVmList(const Result<RangeReply>& result);
  void EndPoll() { this->polling = false; }
  void ObserveVms(const RangeReply& list);
  void ObserveVm(const std::string& vm, bool listed, bool leaving);
  bool IsLive(const std::string& vm) const;
  bool AnnouncedLeaving(const std::string& vm) const;
  bool CountsAsListed(const std::string& vm) const;
  std::set<std::string> KnownVms() const;
  void Propose();
  void Write(const Roster& roster);

  EventLoop* loop;
  StoreClient* store;
  const Membership* membership;
  RosterKeeperCallbacks callbacks;
  std::map<std::string, VmState> vms;
  // The time at which a roster change became necessary; empty if none is.
  std::optional<TimePoint> change_due_since;
  std::optional<TimePoint> last_poll_time;
  std::optional<TimePoint> last_list_time;
  // Revision of the stored roster at the last read; zero if the key did not
  // exist.
  std::int64_t roster_revision = 0;
  // Epoch of the stored roster at the last read.
  std::uint64_t stored_epoch = 0;
  bool polling = false;
  bool leaving = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ROSTER_KEEPER_H_
