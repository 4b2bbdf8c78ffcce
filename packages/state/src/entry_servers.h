// Serves callers, other daemons, readiness checks and metrics for an entry
// daemon.

#ifndef SEQUOIAPATH_STATE_ENTRY_SERVERS_H_
#define SEQUOIAPATH_STATE_ENTRY_SERVERS_H_

#include <optional>
#include <string>

#include "entry_daemon_state.h"

namespace sequoiapath::internal {

// Starts the servers. Returns an error message if one cannot listen.
std::optional<std::string> ListenAll(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_SERVERS_H_
