#include "sequoiapath/protocol/route_table.h"

namespace sequoiapath {

const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view path) {
  const std::string_view name = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : table.routes) {
    if (route.host != name || !path.starts_with(route.prefix)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) {
      best = &route;
    }
  }
  return best;
}

}  // namespace sequoiapath
