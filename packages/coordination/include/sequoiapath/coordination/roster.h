// Defines Roster, the list of the VMs that own the workers and quota units of a
// data centre, with the rules for choosing owners and for changing the list.

#ifndef SEQUOIAPATH_COORDINATION_ROSTER_H_
#define SEQUOIAPATH_COORDINATION_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct Roster {
  // Increases with each change; zero if there is no roster yet.
  std::uint64_t epoch = 0;
  std::vector<std::string> members;  // VM names, sorted.
  // Names of VMs that were removed from `members` but may still hold units,
  // sorted.
  std::vector<std::string> former;

  friend bool operator==(const Roster&, const Roster&) = default;
};

// Returns the member that owns `resource`, chosen by rendezvous hashing, or an
// empty string if there are no members. Thread-safe.
std::string_view OwnerOf(const Roster& roster, std::string_view resource);

// Convert a roster to and from the JSON text in the store. Decoding an invalid
// text fails with kInternal. Thread-safe.
std::string EncodeRoster(const Roster& roster);
Result<Roster> DecodeRoster(std::string_view text);

// State of a VM as seen by a daemon of the same data centre.
struct VmState {
  bool listed = false;       // The platform's VM list contains the VM.
  bool leaving = false;      // The platform or the VM marked it as leaving.
  bool live = false;         // The daemon receives the VM's heartbeats.
  TimePoint listed_since;    // When `listed` last became true.
  TimePoint unlisted_since;  // When `listed` last became false.
};

// Durations of the rules for changing a roster.
struct RosterTimes {
  // How long a VM must be listed before it becomes a member, so that a VM that
  // restarts repeatedly does not move ownership each time.
  Duration join_delay = std::chrono::seconds(2);
  // How long the tasks of a VM may still run after the platform removed the VM
  // from its list: loan duration plus longest task lease.
  Duration hold_down = std::chrono::seconds(12);
  // Each live VM waits this much longer before it proposes a roster than the
  // live VM that precedes it by name, so that normally only one VM writes it.
  Duration proposer_delay = std::chrono::seconds(1);
};

// Returns the roster that should replace `current`, or nothing if no change is
// needed. Precondition: `vms` comes from a successful read of the platform's
// list. While the list is unavailable, the roster must not change.
std::optional<Roster> NextRoster(const Roster& current,
                                 const std::map<std::string, VmState>& vms,
                                 const RosterTimes& times, TimePoint now);

// Returns how long `self` waits before it proposes a change that is needed:
// zero for the first live VM by name, and longer for each following one.
// Thread-safe.
Duration ProposalDelay(const std::string& self,
                       const std::map<std::string, VmState>& vms,
                       const RosterTimes& times);

// Returns the new roster if `self` should write one now, or nothing.
// `due_since` stores the time at which a change became necessary; the calling
// code passes the same variable to each call.
std::optional<Roster> ProposeRoster(const std::string& self,
                                    const Roster& current,
                                    const std::map<std::string, VmState>& vms,
                                    const RosterTimes& times,
                                    std::optional<TimePoint>* due_since,
                                    TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_ROSTER_H_
