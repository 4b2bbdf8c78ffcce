#include "sequoiapath/coordination/catalog.h"

#include <algorithm>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

template <typename Spec>
std::unordered_map<std::string_view, const Spec*> IndexByName(
    const std::vector<Spec>& specs) {
  std::unordered_map<std::string_view, const Spec*> index;
  for (const Spec& spec : specs) index.emplace(spec.name, &spec);
  return index;
}

template <typename Spec>
const Spec* Find(const std::unordered_map<std::string_view, const Spec*>& index,
                 std::string_view name) {
  const auto it = index.find(name);
  return it == index.end() ? nullptr : it->second;
}

}  // namespace
}  // namespace internal

std::shared_ptr<const Catalog> MakeCatalog(const ConfigRecord& record,
                                           Document document) {
  auto catalog = std::make_shared<Catalog>();
  catalog->generation = record.generation;
  catalog->digest = record.digest;
  catalog->document = std::move(document);
  const Document& stored = catalog->document;
  catalog->services = internal::IndexByName(stored.services);
  catalog->teams = internal::IndexByName(stored.teams);
  catalog->workers = internal::IndexByName(stored.workers);
  catalog->data_centres = internal::IndexByName(stored.data_centres);
  for (const ServiceSpec& service : stored.services) {
    catalog->longest_task_lease =
        std::max(catalog->longest_task_lease, service.longest_run);
  }
  return catalog;
}

const ServiceSpec* FindService(const Catalog& catalog, std::string_view name) {
  return internal::Find(catalog.services, name);
}

const TeamSpec* FindTeam(const Catalog& catalog, std::string_view name) {
  return internal::Find(catalog.teams, name);
}

const WorkerSpec* FindWorker(const Catalog& catalog, std::string_view name) {
  return internal::Find(catalog.workers, name);
}

}  // namespace sequoiapath
