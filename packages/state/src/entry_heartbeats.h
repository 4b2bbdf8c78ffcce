// Exchanges heartbeats with other daemons for an entry daemon. Which daemons
// get them is decided in daemon_monitoring.

#ifndef SEQUOIAPATH_STATE_ENTRY_HEARTBEATS_H_
#define SEQUOIAPATH_STATE_ENTRY_HEARTBEATS_H_

#include <string>

#include "entry_daemon_state.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath::internal {

// Records a report of another daemon and acts on its news.
void OnReport(EntryDaemonState* daemon, const DaemonReport& report);

// Records that the connection to the daemon on `vm` responds, if `result` is a
// response.
void RecordReply(EntryDaemonState* daemon, const std::string& vm,
                 const HttpResult& result);

// Sends a heartbeat to the daemon on `vm`, unless one is unanswered or the
// daemon's endpoint is not known.
void SendHeartbeat(EntryDaemonState* daemon, const std::string& vm);

// Sends a report to the seeds while no other daemon is known. The replies are
// the reports of the seeds' daemons and name their VMs.
void QuerySeeds(EntryDaemonState* daemon);

// Sends the heartbeats that are due.
void SendDueHeartbeats(EntryDaemonState* daemon);

// Announces that this daemon has begun or ended to schedule.
void SendHeartbeatsToAll(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_HEARTBEATS_H_
