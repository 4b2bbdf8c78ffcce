#include "sequoiapath/coordination/share_ledger.h"

#include <algorithm>
#include <cmath>

namespace sequoiapath {

std::optional<Units> UnitsFor(const WorkerSpec& worker, const Demand& demand) {
  double slots = 1;
  if (demand.cores > 0) {
    if (worker.cores <= 0) return std::nullopt;
    slots = std::max(slots, demand.cores * worker.slots / worker.cores);
  }
  if (demand.memory_mb > 0) {
    if (worker.memory_mb <= 0) return std::nullopt;
    slots =
        std::max(slots, static_cast<double>(demand.memory_mb) * worker.slots /
                            static_cast<double>(worker.memory_mb));
  }
  if (slots > worker.slots || demand.accelerators > worker.accelerators) {
    return std::nullopt;
  }
  return Units{static_cast<int>(std::ceil(slots)), demand.accelerators};
}

bool AllowsPlace(const Placement& placement, const WorkerSpec& worker) {
  if (placement.places.empty()) return true;
  return std::any_of(placement.places.begin(), placement.places.end(),
                     [&worker](const std::string& place) {
                       return place == worker.data_centre ||
                              place == worker.rack;
                     });
}

void SetWorkers(ShareLedger* ledger, const std::vector<WorkerSpec>& workers) {
  std::map<std::string, WorkerAccount> accounts;
  for (const WorkerSpec& worker : workers) {
    WorkerAccount account{worker, {}};
    const auto old = ledger->workers.find(worker.name);
    if (old != ledger->workers.end()) account.in_use = old->second.in_use;
    accounts.emplace(worker.name, std::move(account));
  }
  ledger->workers = std::move(accounts);
}

std::optional<HeldUnits> AcquireUnits(
    ShareLedger* ledger, const Placement& placement,
    const std::function<bool(const std::string& worker)>& eligible) {
  WorkerAccount* best = nullptr;
  Units best_units;
  for (auto& [name, account] : ledger->workers) {
    if (account.spec.leaving || !AllowsPlace(placement, account.spec)) continue;
    const auto units = UnitsFor(account.spec, placement.demand);
    if (!units || account.in_use.slots + units->slots > account.spec.slots ||
        account.in_use.accelerators + units->accelerators >
            account.spec.accelerators) {
      continue;
    }
    if (best != nullptr && account.in_use.slots >= best->in_use.slots) continue;
    if (!eligible(name)) continue;
    best = &account;
    best_units = *units;
  }
  if (best == nullptr) return std::nullopt;
  best->in_use.slots += best_units.slots;
  best->in_use.accelerators += best_units.accelerators;
  return HeldUnits{best->spec.name, best_units};
}

void ReleaseUnits(ShareLedger* ledger, const HeldUnits& held) {
  const auto it = ledger->workers.find(held.worker);
  if (it == ledger->workers.end()) return;
  it->second.in_use.slots -= held.units.slots;
  it->second.in_use.accelerators -= held.units.accelerators;
}

}  // namespace sequoiapath
