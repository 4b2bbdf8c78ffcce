#include "sequoiapath/state/entry_catalog.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

void RemoveWorker(EntryCatalog* catalog, const std::string& id,
                  CatalogChange* change) {
  if (catalog->workers.erase(id) > 0) change->removed.push_back(id);
}

// Logs the error in a worker's record, unless the last record of the worker had
// the same error: another writer may write its record again and again.
void LogUnreadable(EntryCatalog* catalog, const std::string& id,
                   const std::string& error, std::size_t bytes) {
  std::string& last = catalog->unreadable[id];
  if (last == error) return;
  last = error;
  Log(LogLevel::kWarning, "worker_record_unreadable",
      {{"worker", id}, {"detail", error}, {"bytes", bytes}});
}

// Applies a worker's record. Removes the worker if its record cannot be
// decoded, because its address and resources are unknown then.
void SetWorker(EntryCatalog* catalog, const std::string& id,
               const std::string& value, CatalogChange* change) {
  const auto known = catalog->workers.find(id);
  if (known != catalog->workers.end() && known->second == value) return;
  auto decoded = catalog->codec.decode_worker(id, value);
  if (const auto* error = std::get_if<std::string>(&decoded)) {
    LogUnreadable(catalog, id, *error, value.size());
    RemoveWorker(catalog, id, change);
    return;
  }
  catalog->unreadable.erase(id);
  catalog->workers[id] = value;
  change->updated.push_back(std::get<WorkerDescription>(std::move(decoded)));
}

void RemoveUnlistedWorkers(EntryCatalog* catalog,
                           const std::set<std::string>& listed,
                           CatalogChange* change) {
  std::vector<std::string> unlisted;
  for (const auto& [id, value] : catalog->workers) {
    if (!listed.contains(id)) unlisted.push_back(id);
  }
  for (const std::string& id : unlisted) RemoveWorker(catalog, id, change);
}

// Returns the part of a worker's key after the prefix.
std::string WorkerId(const EntryCatalog& catalog, const std::string& key) {
  return key.substr(std::min(key.size(), catalog.codec.worker_prefix.size()));
}

}  // namespace
}  // namespace internal

CatalogChange ApplyConfig(EntryCatalog* catalog, const std::string& value) {
  CatalogChange change;
  auto decoded = catalog->codec.decode_routes(value);
  if (const auto* error = std::get_if<std::string>(&decoded)) {
    Log(LogLevel::kError, "config_unreadable",
        {{"detail", *error}, {"bytes", value.size()}});
    return change;
  }
  auto& routes = std::get<RouteTable>(decoded);
  if (routes.version <= catalog->config_version) return change;
  Log(LogLevel::kInfo, "config_in_force",
      {{"version", routes.version},
       {"former", catalog->config_version},
       {"routes", routes.routes.size()}});
  catalog->config_version = routes.version;
  catalog->config = value;
  change.routes = std::move(routes);
  return change;
}

CatalogChange ApplyWorkers(EntryCatalog* catalog, const KeyValuePage& page,
                           bool complete) {
  CatalogChange change;
  std::set<std::string> listed;
  for (const KeyValueItem& item : page.items) {
    const std::string id = internal::WorkerId(*catalog, item.key);
    listed.insert(id);
    internal::SetWorker(catalog, id, item.value, &change);
  }
  for (const std::string& key : page.removed) {
    const std::string id = internal::WorkerId(*catalog, key);
    catalog->unreadable.erase(id);
    internal::RemoveWorker(catalog, id, &change);
  }
  if (complete) {
    std::erase_if(catalog->unreadable, [&listed](const auto& entry) {
      return !listed.contains(entry.first);
    });
    internal::RemoveUnlistedWorkers(catalog, listed, &change);
    catalog->workers_known = true;
  }
  catalog->worker_revision = page.revision;
  return change;
}

CatalogChange ApplyEvacuations(EntryCatalog* catalog, const KeyValuePage& page,
                               bool complete) {
  EvacuationUpdate update;
  update.revision = page.revision;
  update.complete = complete;
  const std::string_view prefix = catalog->codec.evacuation_prefix;
  for (const KeyValueItem& item : page.items) {
    if (!item.key.starts_with(prefix)) continue;
    update.requested.push_back(item.key.substr(prefix.size()));
  }
  for (const std::string& key : page.removed) {
    if (!key.starts_with(prefix)) continue;
    update.withdrawn.push_back(key.substr(prefix.size()));
  }
  CatalogChange change;
  if (ApplyEvacuationUpdate(&catalog->evacuations, update)) {
    change.evacuations = catalog->evacuations.newest;
  }
  return change;
}

CatalogChange ApplyCatalogSnapshot(EntryCatalog* catalog,
                                   const CatalogSnapshot& snapshot) {
  CatalogChange change;
  if (snapshot.config_version > catalog->config_version) {
    change = ApplyConfig(catalog, snapshot.config);
  }
  if (snapshot.evacuations &&
      CopyEvacuationSet(&catalog->evacuations, *snapshot.evacuations)) {
    change.evacuations = snapshot.evacuations;
  }
  if (snapshot.revision <= catalog->worker_revision) return change;
  std::set<std::string> listed;
  for (const WorkerEntry& entry : snapshot.workers) {
    listed.insert(entry.id);
    internal::SetWorker(catalog, entry.id, entry.value, &change);
  }
  internal::RemoveUnlistedWorkers(catalog, listed, &change);
  catalog->worker_revision = snapshot.revision;
  catalog->workers_known = true;
  return change;
}

CatalogSnapshot MakeEvacuationSnapshot(const EntryCatalog& catalog) {
  CatalogSnapshot snapshot;
  snapshot.evacuations = catalog.evacuations.newest;
  return snapshot;
}

CatalogSnapshot MakeCatalogSnapshot(const EntryCatalog& catalog) {
  CatalogSnapshot snapshot = MakeEvacuationSnapshot(catalog);
  snapshot.revision = catalog.worker_revision;
  snapshot.config_version = catalog.config_version;
  snapshot.config = catalog.config;
  for (const auto& [id, value] : catalog.workers) {
    snapshot.workers.push_back({id, value});
  }
  return snapshot;
}

}  // namespace sequoiapath
