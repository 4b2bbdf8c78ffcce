// Defines EntryCatalog, a daemon's copy of the configuration and of the
// workers' records, read from the store or from another daemon.

#ifndef SEQUOIAPATH_STATE_ENTRY_CATALOG_H_
#define SEQUOIAPATH_STATE_ENTRY_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/coordination/evacuation.h"
#include "sequoiapath/protocol/key_value_codec.h"
#include "sequoiapath/protocol/scheduler_message.h"

namespace sequoiapath {

// Thread safety of all functions here: one thread at a time.
struct EntryCatalog {
  KeyValueCodec codec;
  std::uint64_t config_version = 0;
  std::string config;                 // Encoded as in the store.
  std::uint64_t worker_revision = 0;  // Store revision of `workers`.
  bool workers_known = false;         // Whether a complete list was applied.
  std::map<std::string, std::string> workers;  // Encoded records, by id.
  // The error in each record that cannot be decoded, by id.
  std::map<std::string, std::string> unreadable;
  EvacuationRecord evacuations;
};

// The changes that an update made to the catalog.
struct CatalogChange {
  std::optional<RouteTable> routes;        // Set if the configuration changed.
  std::vector<WorkerDescription> updated;  // New or changed workers.
  std::vector<std::string> removed;        // Ids of removed workers.
  // Set if the newest known set of evacuations or its revision changed.
  std::optional<EvacuationSet> evacuations;
};

// Applies a configuration if its version is greater than the current one. Logs
// and ignores one that cannot be decoded.
CatalogChange ApplyConfig(EntryCatalog* catalog, const std::string& value);

// Applies workers' records and removals from the store. If `complete` is true,
// also removes the workers that `page` does not list. A worker whose record
// cannot be decoded is removed, and the error is logged once.
CatalogChange ApplyWorkers(EntryCatalog* catalog, const KeyValuePage& page,
                           bool complete);

// Applies requested and withdrawn evacuations from the store, if the deployment
// uses them. If `complete` is true, `page` lists all requests. Other keys and
// the values are ignored.
CatalogChange ApplyEvacuations(EntryCatalog* catalog, const KeyValuePage& page,
                               bool complete);

// Applies the configuration, the list of workers and the evacuations of another
// daemon, each only if it is newer than this daemon's.
CatalogChange ApplyCatalogSnapshot(EntryCatalog* catalog,
                                   const CatalogSnapshot& snapshot);

// Returns a snapshot with the evacuations only.
CatalogSnapshot MakeEvacuationSnapshot(const EntryCatalog& catalog);

// Returns a snapshot to send to another daemon.
CatalogSnapshot MakeCatalogSnapshot(const EntryCatalog& catalog);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ENTRY_CATALOG_H_
