// Defines RouteTable, the operators' mapping of requests to services.

#ifndef SEQUOIAPATH_PROTOCOL_ROUTE_TABLE_H_
#define SEQUOIAPATH_PROTOCOL_ROUTE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapath {

// The requests that submit to one queue, and the settings of the queue's jobs.
struct Route {
  std::string name;
  std::string host;    // Host of the requests.
  std::string prefix;  // Prefix of the paths of the requests.
  std::string service;
  std::chrono::milliseconds timeout{0};
  // Response time that the objective allows in addition to the stretch.
  std::chrono::milliseconds slack{0};
  // Allowed response time as a multiple of the ideal one.
  double stretch = 1;
  int priority = 0;
  std::uint32_t max_attempts = 1;
  // True if an external policy service must decide about each step.
  bool needs_policy_decision = false;
};

struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::size_t max_body_bytes = 0;  // Zero: no limit.
  // Limits of requests from callers. Zero: the daemon's default.
  std::size_t max_header_bytes = 0;
  std::chrono::milliseconds header_timeout{0};
  std::chrono::milliseconds idle_timeout{0};
};

// Returns the route of `host` with the longest prefix of `path`, or null. A
// port in `host` is ignored. The pointer is valid until `table` is modified.
// Thread-safe.
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view path);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_ROUTE_TABLE_H_
