// Defines ShareLedger, the account of the worker slots that this VM may use
// now.

#ifndef SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_
#define SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/document.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A number of slots and accelerators of one worker.
struct Units {
  int slots = 0;
  int accelerators = 0;

  friend bool operator==(const Units&, const Units&) = default;
};

// What a task needs of a worker and where it may run.
struct Placement {
  Demand demand;
  std::vector<std::string> places;  // Data centres or racks; empty: anywhere.

  friend bool operator==(const Placement&, const Placement&) = default;
};

// Units taken from the ledger for one task.
struct HeldUnits {
  std::string worker;
  Units units;
};

struct WorkerAccount {
  WorkerSpec spec;
  Units in_use;
};

struct ShareLedger {
  std::map<std::string, WorkerAccount> workers;
};

// Returns the units that a task with `demand` takes on `worker`, or nothing if
// it can never fit there. A slot carries an equal share of the worker's cores
// and memory. Thread-safe.
std::optional<Units> UnitsFor(const WorkerSpec& worker, const Demand& demand);

// Says whether `placement` allows `worker`. Thread-safe.
bool AllowsPlace(const Placement& placement, const WorkerSpec& worker);

// Replaces the set of usable workers; units in use are kept.
void SetWorkers(ShareLedger* ledger, const std::vector<WorkerSpec>& workers);

// Takes units of a worker that `eligible` accepts; nothing if none is free.
std::optional<HeldUnits> AcquireUnits(
    ShareLedger* ledger, const Placement& placement,
    const std::function<bool(const std::string& worker)>& eligible);

// Gives units back. Precondition: AcquireUnits returned them.
void ReleaseUnits(ShareLedger* ledger, const HeldUnits& held);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_SHARE_LEDGER_H_
