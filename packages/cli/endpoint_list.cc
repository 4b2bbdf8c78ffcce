#include "endpoint_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace sequoiapath {

EndpointListOption::~EndpointListOption() {
  if (this->values == nullptr) return;
  for (char** value = this->values; *value != nullptr; ++value) {
    std::free(*value);
  }
  std::free(this->values);
}

std::optional<std::vector<Endpoint>> EndpointListOption::Read(
    const char* command, const char* option) const {
  std::vector<Endpoint> endpoints;
  for (char** value = this->values; value != nullptr && *value != nullptr;
       ++value) {
    std::string_view rest = *value;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      const auto endpoint = ParseEndpoint(rest.substr(0, end));
      if (!endpoint) {
        fmt::print(stderr,
                   "{}: --{}: expected \"IPv4 address:port\", found \"{}\"\n",
                   command, option, rest.substr(0, end));
        return std::nullopt;
      }
      endpoints.push_back(*endpoint);
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  if (endpoints.empty()) {
    fmt::print(stderr, "{}: --{} is required\n", command, option);
    return std::nullopt;
  }
  return endpoints;
}

}  // namespace sequoiapath
