#include "sequoiapath/coordination/evacuation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiapath {

bool ApplyEvacuationUpdate(EvacuationRecord* record,
                           const EvacuationUpdate& update) {
  if (!record->followed) return false;
  if (!update.complete && update.requested.empty() &&
      update.withdrawn.empty()) {
    return false;
  }
  if (update.complete) record->watched.clear();
  record->watched.insert(update.requested.begin(), update.requested.end());
  for (const std::string& name : update.withdrawn) record->watched.erase(name);
  if (record->newest && update.revision < record->newest->revision) {
    return false;
  }
  EvacuationSet set;
  set.revision = update.revision;
  set.data_centres.assign(record->watched.begin(), record->watched.end());
  if (record->newest == set) return false;
  record->newest = std::move(set);
  return true;
}

bool CopyEvacuationSet(EvacuationRecord* record, const EvacuationSet& set) {
  if (!record->followed || set.revision <= EvacuationRevision(*record)) {
    return false;
  }
  record->newest = set;
  return true;
}

std::uint64_t EvacuationRevision(const EvacuationRecord& record) {
  return record.newest ? record.newest->revision : 0;
}

EvacuationChange SetEvacuations(EvacuationGate* gate,
                                const EvacuationSet& set) {
  EvacuationChange change;
  if (set.revision < gate->revision) return change;
  std::set<std::string> next(set.data_centres.begin(), set.data_centres.end());
  std::set_difference(next.begin(), next.end(), gate->data_centres.begin(),
                      gate->data_centres.end(),
                      std::back_inserter(change.began));
  std::set_difference(gate->data_centres.begin(), gate->data_centres.end(),
                      next.begin(), next.end(),
                      std::back_inserter(change.ended));
  gate->revision = set.revision;
  gate->data_centres = std::move(next);
  return change;
}

void HearEvacuationRevision(EvacuationGate* gate, std::uint64_t revision) {
  gate->heard_revision = std::max(gate->heard_revision, revision);
}

void BeginEvacuationWait(EvacuationGate* gate, TimePoint now) {
  gate->scheduling_began = now;
}

bool WithholdsAllStarts(const EvacuationGate& gate, TimePoint now) {
  if (!gate.followed) return false;
  const Duration in_office = now - gate.scheduling_began;
  if (gate.revision == 0) return in_office < kLongestFirstEvacuationRead;
  return gate.heard_revision > gate.revision &&
         in_office < kLongestEvacuationCopy;
}

bool IsEvacuated(const EvacuationGate& gate, const std::string& data_centre) {
  return !gate.data_centres.empty() && gate.data_centres.contains(data_centre);
}

}  // namespace sequoiapath
