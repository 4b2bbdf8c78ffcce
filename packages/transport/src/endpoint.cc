#include "sequoiapath/transport/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace sequoiapath {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  // inet_pton reads up to the first zero byte only.
  if (endpoint.address.find('\0') != std::string::npos) return std::nullopt;
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto result = std::from_chars(port.data(), end, endpoint.port);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}  // namespace sequoiapath
