// Defines EntryCatalog, what a daemon knows of the configuration and the
// workers, from the store or from another daemon.

#ifndef SEQUOIAPATH_STATE_ENTRY_CATALOG_H_
#define SEQUOIAPATH_STATE_ENTRY_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/key_value_codec.h"
#include "sequoiapath/protocol/scheduler_message.h"

namespace sequoiapath {

// Thread safety of all functions here: one thread at a time.
struct EntryCatalog {
  KeyValueCodec codec;
  std::uint64_t config_version = 0;
  std::string config;  // In the store's own form.
  std::uint64_t worker_revision = 0;
  bool workers_known = false;
  std::map<std::string, std::string> workers;  // By id, in the store's form.
};

// What a change of the catalog means for the daemon.
struct CatalogChange {
  std::optional<RouteTable> routes;
  std::vector<WorkerDescription> updated;
  std::vector<std::string> removed;  // Ids.
};

// Takes over a configuration if its version is greater than the one in force.
CatalogChange ApplyConfig(EntryCatalog* catalog, const std::string& value);

// Takes over workers' records from the store.
CatalogChange ApplyWorkers(EntryCatalog* catalog, const KeyValuePage& page,
                           bool complete);

// Takes over what is newer in another daemon's catalog.
CatalogChange ApplyCatalogSnapshot(EntryCatalog* catalog,
                                   const CatalogSnapshot& copy);

// Returns a copy for another daemon.
CatalogSnapshot MakeCatalogSnapshot(const EntryCatalog& catalog);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ENTRY_CATALOG_H_
