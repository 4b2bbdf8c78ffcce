// Defines EntrySettings, the settings of the daemon on an entry VM of the
// platform.

#ifndef SEQUOIAPATH_STATE_ENTRY_SETTINGS_H_
#define SEQUOIAPATH_STATE_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

struct EntrySettings {
  std::string vm;
  std::string data_centre;
  Endpoint caller_listen;
  Endpoint ready_listen;
  Endpoint peer_listen;
  Endpoint metrics_listen;
  Endpoint store;               // The platform's key-value service.
  std::vector<Endpoint> seeds;  // Peer endpoints of other daemons.
  // Time from the platform's SIGTERM to its SIGKILL.
  std::chrono::milliseconds stop_grace{0};
  // The daemon's processor share in thousandths of a core.
  std::uint32_t core_share = 0;
  // Longest lease that workers grant to a run. Zero: the scheduler's default
  // lease applies.
  std::chrono::milliseconds longest_lease{0};
  // Rate of the VM's network link in each direction; zero if it is not known.
  std::uint64_t link_bytes_per_second = 0;
  // Memory of the VM in megabytes; zero if it is not known.
  std::uint32_t memory_mb = 0;
  // Most descriptors that the daemon may open; zero if it is not known.
  std::uint32_t max_descriptors = 0;
  // Time from an operator's request to evacuate a data centre until no new task
  // may start there. Not set: the deployment does not use evacuations.
  std::optional<std::chrono::milliseconds> evacuation_bound;
};

// The settings, or the errors found in a settings document, one per line.
using EntrySettingsResult = std::variant<EntrySettings, std::string>;

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_ENTRY_SETTINGS_H_
