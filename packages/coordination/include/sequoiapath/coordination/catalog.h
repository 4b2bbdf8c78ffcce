// Defines Catalog, the configuration in force with indexes for look-ups by
// name.

#ifndef SEQUOIAPATH_COORDINATION_CATALOG_H_
#define SEQUOIAPATH_COORDINATION_CATALOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "sequoiapath/protocol/document.h"

namespace sequoiapath {

struct Catalog {
  std::uint64_t generation = 0;
  std::string digest;
  Document document;
  std::unordered_map<std::string_view, const ServiceSpec*> services;
  std::unordered_map<std::string_view, const TeamSpec*> teams;
  std::unordered_map<std::string_view, const WorkerSpec*> workers;
  std::unordered_map<std::string_view, const DataCentreSpec*> data_centres;
  // The longest lease that any task may get.
  std::chrono::milliseconds longest_task_lease{0};
};

// Builds the indexes of a valid document. Thread-safe.
std::shared_ptr<const Catalog> MakeCatalog(const ConfigRecord& record,
                                           Document document);

// Look-ups; null if there is no such entry. Thread-safe.
const ServiceSpec* FindService(const Catalog& catalog, std::string_view name);
const TeamSpec* FindTeam(const Catalog& catalog, std::string_view name);
const WorkerSpec* FindWorker(const Catalog& catalog, std::string_view name);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CATALOG_H_
