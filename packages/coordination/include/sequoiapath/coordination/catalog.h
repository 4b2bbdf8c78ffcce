// Defines Catalog, the configuration in force with indexes for lookups by name.

#ifndef SEQUOIAPATH_COORDINATION_CATALOG_H_
#define SEQUOIAPATH_COORDINATION_CATALOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "sequoiapath/protocol/document.h"

namespace sequoiapath {

// The document with indexes by name. Keys and values of the indexes point into
// `document`.
struct Catalog {
  std::uint64_t generation = 0;
  std::string digest;
  Document document;
  std::unordered_map<std::string_view, const ServiceSpec*> services;
  std::unordered_map<std::string_view, const TeamSpec*> teams;
  std::unordered_map<std::string_view, const WorkerSpec*> workers;
  std::unordered_map<std::string_view, const DataCentreSpec*> data_centres;
  // The greatest `longest_run` of all services, which bounds every task lease.
  std::chrono::milliseconds longest_task_lease{0};
};

// Returns a catalog with `document`, its indexes, and the generation and digest
// of `record`. Precondition: `document` is valid. Thread-safe.
std::shared_ptr<const Catalog> MakeCatalog(const ConfigRecord& record,
                                           Document document);

// Return the entry called `name`, or null if there is none. Thread-safe.
const ServiceSpec* FindService(const Catalog& catalog, std::string_view name);
const TeamSpec* FindTeam(const Catalog& catalog, std::string_view name);
const WorkerSpec* FindWorker(const Catalog& catalog, std::string_view name);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CATALOG_H_
