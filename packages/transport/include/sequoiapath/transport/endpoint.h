// Defines Endpoint, an IPv4 address and a TCP port.

#ifndef SEQUOIAPATH_TRANSPORT_ENDPOINT_H_
#define SEQUOIAPATH_TRANSPORT_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiapath {

// An IPv4 address in dotted form and a TCP port in host byte order.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses "address:port". Returns nothing unless the address is a numeric IPv4
// address and the port is within 0..65535. Thread-safe.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

// Returns "address:port". Thread-safe.
std::string ToString(const Endpoint& endpoint);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_ENDPOINT_H_
