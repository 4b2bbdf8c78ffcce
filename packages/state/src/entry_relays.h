// Connects the order relay and the scheduler's order sender of an EntryDaemon
// to the other daemons.

#ifndef SEQUOIAPATH_STATE_ENTRY_RELAYS_H_
#define SEQUOIAPATH_STATE_ENTRY_RELAYS_H_

#include <string>

#include "entry_daemon_state.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath::internal {

// Makes the daemon able to relay orders and to send its own through relays.
// Precondition: the service, the gateway and the peer client exist.
void InitializeRelays(EntryDaemonState* daemon);

// Returns whether the scheduler on `leader` adds no text to its start orders,
// so that a submission to it omits the job's text.
bool OmitsSpec(const EntryDaemonState& daemon, const std::string& leader);

// Moves the text of a job that is about to be submitted to `leader` into the
// relay, until ForgetSpec is called for the submission.
void OmitSpec(EntryDaemonState* daemon, const std::string& leader,
              StepJob* job);

// Handles the calls with kOrdersPath and kOrderRepliesPath.
void HandleOrders(EntryDaemonState* daemon, const HttpRequest& request,
                  const HttpResponder& responder);
void HandleOrderReplies(EntryDaemonState* daemon, const HttpRequest& request,
                        const HttpResponder& responder);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_RELAYS_H_
