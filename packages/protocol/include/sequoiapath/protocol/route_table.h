// Defines RouteTable, the operators' routes from requests to services.

#ifndef SEQUOIAPATH_PROTOCOL_ROUTE_TABLE_H_
#define SEQUOIAPATH_PROTOCOL_ROUTE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapath {

// Where the jobs of one queue come in and how they are run.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds slack{0};  // Of the objective, beyond the stretch.
  double stretch = 1;
  int priority = 0;
  std::uint32_t max_attempts = 1;
  // The queue needs a decision of an outside policy service for each step.
  bool needs_policy_decision = false;
};

struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::size_t max_body_bytes = 0;  // Zero: no limit.
};

// Returns the route with this host (without a port) and the longest prefix of
// `path`, or null. The pointer is valid as long as `table` is unchanged.
// Thread-safe.
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view path);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_ROUTE_TABLE_H_
