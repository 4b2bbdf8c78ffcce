// Runs the election of the scheduler for an entry daemon and applies its
// result.

#ifndef SEQUOIAPATH_STATE_ENTRY_ELECTION_H_
#define SEQUOIAPATH_STATE_ENTRY_ELECTION_H_

#include "entry_daemon_state.h"

namespace sequoiapath::internal {

// Runs the election and begins or ends to schedule according to its result.
void RunElectionNow(EntryDaemonState* daemon);

// Runs the election and sends due heartbeats, now and at intervals.
void ElectionTick(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_ELECTION_H_
