// Derives the limits of an entry daemon's servers from the memory and the
// descriptors of its VM and from the configuration, and reports refusals.
//
// Thread safety: loop thread only.

#ifndef SEQUOIAPATH_STATE_ENTRY_LIMITS_H_
#define SEQUOIAPATH_STATE_ENTRY_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "entry_daemon_state.h"
#include "sequoiapath/protocol/route_table.h"
#include "sequoiapath/state/entry_settings.h"
#include "sequoiapath/transport/connection_limits.h"

namespace sequoiapath::internal {

// The limits of the servers of an entry daemon.
struct EntryLimits {
  std::size_t budget_bytes = 0;  // For all servers together.
  ConnectionLimits caller;
  ConnectionLimits peer;
  ConnectionLimits probe;  // Of the readiness and of the metrics server.
};

// Returns the limits for a VM; unknown sizes have defaults.
EntryLimits MakeEntryLimits(const EntrySettings& settings);

// Applies the limits of the configuration to the server for callers. Limits
// that it does not set have their defaults. Has no effect before ListenAll.
void ApplyRequestLimits(EntryDaemonState* daemon, const RouteTable& routes);

// Logs the requests refused and connections closed by limits, at most one line
// every kRefusalReportInterval. Schedules itself.
void ReportRefusals(EntryDaemonState* daemon);

constexpr Duration kRefusalReportInterval = std::chrono::seconds(1);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_LIMITS_H_
