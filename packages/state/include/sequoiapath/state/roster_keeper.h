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

// What the keeper asks of its owner and tells it. All must be callable.
struct RosterKeeperLinks {
  // Returns the newest known roster.
  std::function<const Roster&()> current;
  // Says whether rosters may be proposed already.
  std::function<bool()> may_propose;
  std::function<Duration()> hold_down;
  // Learns the result of each read of the stored roster; epoch zero if there is
  // none, nothing if the store could not be asked.
  std::function<void(const std::optional<Roster>&)> on_read;
  // Learns a roster that was written by this daemon.
  std::function<void(const Roster&)> on_written;
  // Learns the VMs that the platform lists.
  std::function<void(const std::set<std::string>&)> on_listed;
};

// Only the live VM that is first by name polls often, so the number of calls
// does not grow with the VMs. Thread safety: loop thread only.
class RosterKeeper {
 public:
  // Preconditions: `loop`, `store` and `membership` outlive the object, and the
  // loop does not run after its end.
  RosterKeeper(EventLoop* loop, StoreClient* store,
               const Membership* membership, RosterKeeperLinks links);
  RosterKeeper(const RosterKeeper&) = delete;
  RosterKeeper& operator=(const RosterKeeper&) = delete;

  // Starts to poll; the first read is sent at once.
  void Start();

  // Reads again soon, e.g. because a VM said that it is leaving.
  void CheckSoon() { this->last_poll.reset(); }

  // Leaves this VM out of rosters that are proposed from now on.
  void BeginLeaving();

 private:
  void Tick();
  Duration PollInterval() const;
  bool IsFirst() const;
  void Poll();
  void OnRoster(const Result<RangeReply>& result);
  void OnVmList(const Result<RangeReply>& result);
  void EndPoll() { this->polling = false; }
  void ObserveVms(const RangeReply& list);
  void ObserveVm(const std::string& vm, bool listed, bool leaving);
  bool IsLive(const std::string& vm) const;
  bool SaidLeaving(const std::string& vm) const;
  bool CountsAsListed(const std::string& vm) const;
  std::set<std::string> KnownVms() const;
  void Propose();
  void Write(const Roster& roster);

  EventLoop* loop;
  StoreClient* store;
  const Membership* membership;
  RosterKeeperLinks links;
  std::map<std::string, VmState> vms;
  std::optional<TimePoint> due_since;
  std::optional<TimePoint> last_poll;
  std::optional<TimePoint> last_list;
  std::int64_t roster_revision = 0;
  std::uint64_t stored_epoch = 0;
  bool polling = false;
  bool leaving = false;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ROSTER_KEEPER_H_
