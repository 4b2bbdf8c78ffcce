// Defines the requests to evacuate data centres, as a daemon knows them, and
// the gate that keeps a scheduler from starting tasks there.
//
// An operator requests an evacuation by writing a key to the store, and
// withdraws it by removing the key. Each daemon watches these keys. A daemon
// that the store refuses copies the set of another daemon; of two sets, the one
// with the higher store revision is in force.

#ifndef SEQUOIAPATH_COORDINATION_EVACUATION_H_
#define SEQUOIAPATH_COORDINATION_EVACUATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// None of the functions below is thread-safe: calls must not overlap.

// What a daemon knows of the requested evacuations.
struct EvacuationRecord {
  bool followed = false;  // The deployment uses evacuations.
  // The newest known set, read from the store or copied from another daemon.
  std::optional<EvacuationSet> newest;
  // The set according to this daemon's own watch. It may be older than
  // `newest`, so later changes are applied to it and not to a copied set.
  std::set<std::string> watched;
};

// The requests that a read of the store or a watch returned.
struct EvacuationUpdate {
  std::vector<std::string> requested;  // Data centres.
  std::vector<std::string> withdrawn;  // Applied after `requested`.
  std::uint64_t revision = 0;          // Store revision of the update.
  bool complete = false;               // `requested` lists all requests.
};

// Applies what this daemon read from the store. Returns whether the newest set
// has changed, including its revision. A change of other keys does not raise
// the revision, so that the other daemons do not copy the same set again.
bool ApplyEvacuationUpdate(EvacuationRecord* record,
                           const EvacuationUpdate& update);

// Applies another daemon's set if its revision is higher than that of the
// newest known one. Returns whether it is.
bool CopyEvacuationSet(EvacuationRecord* record, const EvacuationSet& set);

// Returns the revision of the newest known set; zero if none is known.
std::uint64_t EvacuationRevision(const EvacuationRecord& record);

// How long a new scheduler starts no task because another daemon has reported a
// newer set. The copy takes one round trip; the time allows two failed calls.
constexpr Duration kLongestEvacuationCopy = std::chrono::seconds(1);
// How long a new scheduler without any set starts no task. It has read the
// workers from the same store, so the set follows unless the store refuses
// that read and all other daemons are of a version without evacuations.
constexpr Duration kLongestFirstEvacuationRead = std::chrono::seconds(5);

// Decides for a scheduler where new tasks may start.
struct EvacuationGate {
  bool followed = false;       // The deployment uses evacuations.
  std::uint64_t revision = 0;  // Of the set in force; zero: none is known.
  std::set<std::string> data_centres;  // The set in force.
  // The highest revision that another daemon has reported.
  std::uint64_t heard_revision = 0;
  TimePoint scheduling_began;  // When this daemon last became the scheduler.
};

// The data centres whose evacuation began or ended.
struct EvacuationChange {
  std::vector<std::string> began;
  std::vector<std::string> ended;
};

// Puts a set in force. A set of a lower revision has no effect.
EvacuationChange SetEvacuations(EvacuationGate* gate, const EvacuationSet& set);

// Records that another daemon has a set of this revision.
void HearEvacuationRevision(EvacuationGate* gate, std::uint64_t revision);

// Records that this daemon becomes the scheduler.
void BeginEvacuationWait(EvacuationGate* gate, TimePoint now);

// Returns whether no task may start anywhere, because this daemon has become
// the scheduler a short time ago and another daemon has a newer set, or no set
// is known yet. A scheduler in office only copies a newer set.
bool WithholdsAllStarts(const EvacuationGate& gate, TimePoint now);

// Returns whether no task may start in the data centre.
bool IsEvacuated(const EvacuationGate& gate, const std::string& data_centre);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_EVACUATION_H_
