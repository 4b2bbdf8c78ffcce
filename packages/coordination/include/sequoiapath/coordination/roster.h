// Defines Roster, the list of a data centre's VMs that own its workers and
// quota units, with the rules of ownership and of proposing a new roster.

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
  std::uint64_t epoch = 0;           // Zero: there is no roster yet.
  std::vector<std::string> members;  // VM names, sorted.
  // VMs removed from `members` that may still hold units, sorted.
  std::vector<std::string> former;

  friend bool operator==(const Roster&, const Roster&) = default;
};

// Returns the member that owns `resource`, chosen by rendezvous hashing; empty
// if there are no members. Thread-safe.
std::string_view OwnerOf(const Roster& roster, std::string_view resource);

// JSON forms for the store. Decoding fails with kInternal. Thread-safe.
std::string EncodeRoster(const Roster& roster);
Result<Roster> DecodeRoster(std::string_view text);

// What a daemon knows of a VM of its data centre.
struct VmState {
  bool listed = false;       // On the platform's VM list.
  bool leaving = false;      // Marked as leaving by the platform or itself.
  bool live = false;         // Its heartbeats arrive.
  TimePoint listed_since;    // When `listed` last became true.
  TimePoint unlisted_since;  // When `listed` last became false.
};

struct RosterTimes {
  // A VM joins after it was listed and live this long, so that a VM that
  // restarts repeatedly does not move ownership each time.
  Duration join_delay = std::chrono::seconds(2);
  // A VM absent from the platform's list this long no longer runs any task:
  // longest loan + longest task lease.
  Duration hold_down = std::chrono::seconds(12);
  // Each live member waits this much longer than the one before it by name,
  // so normally only one writes.
  Duration proposer_delay = std::chrono::seconds(1);
};

// Returns the roster that should replace `current`, or nothing if it needs no
// change. Precondition: `vms` was made from a successful read of the platform's
// list; while the list is unavailable the roster stays frozen.
std::optional<Roster> NextRoster(const Roster& current,
                                 const std::map<std::string, VmState>& vms,
                                 const RosterTimes& times, TimePoint now);

// Returns how long after a change became due `self` proposes it: nothing for
// the lowest live VM by name, longer for each further one. Thread-safe.
Duration ProposalDelay(const std::string& self,
                       const std::map<std::string, VmState>& vms,
                       const RosterTimes& times);

// Decides whether `self` writes a new roster now. `due_since` keeps the time at
// which the change became due; the caller passes the same variable each time.
std::optional<Roster> ProposeRoster(const std::string& self,
                                    const Roster& current,
                                    const std::map<std::string, VmState>& vms,
                                    const RosterTimes& times,
                                    std::optional<TimePoint>* due_since,
                                    TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_ROSTER_H_
