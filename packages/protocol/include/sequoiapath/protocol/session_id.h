// Defines SessionId, the signed identifier of a caller's session. It names the
// only process that may start the session's jobs and that process's address.

#ifndef SEQUOIAPATH_PROTOCOL_SESSION_ID_H_
#define SEQUOIAPATH_PROTOCOL_SESSION_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// Random number that identifies a process. Each process generates one at its
// start; it is never zero.
using Incarnation = std::uint64_t;

struct SessionId {
  std::string data_centre;
  std::string vm;
  Endpoint peer_endpoint;  // Address of the owner for other daemons.
  Incarnation incarnation = 0;
  std::uint64_t counter = 0;

  friend bool operator==(const SessionId&, const SessionId&) = default;
};

// Returns the signed text form of `id`.
// Precondition: the names contain only lower-case letters, digits and '-'.
// Thread-safe.
std::string EncodeSessionId(const SessionId& id, std::string_view cluster_key);

// Verifies the signature in constant time and returns the id. Returns an empty
// optional if the text is malformed or was signed with another key.
// Thread-safe.
std::optional<SessionId> DecodeSessionId(std::string_view text,
                                         std::string_view cluster_key);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_SESSION_ID_H_
