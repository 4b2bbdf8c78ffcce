// Recognizes requests that arrive so late that their callers may have given
// them up, for an entry daemon.

#ifndef SEQUOIAPATH_STATE_LATE_REQUESTS_H_
#define SEQUOIAPATH_STATE_LATE_REQUESTS_H_

#include "entry_daemon_state.h"

namespace sequoiapath::internal {

// Returns whether a request may have been delivered so late that its caller has
// given it up. TCP delivers what was sent during a cut when the cut has ended,
// and the end of the caller's connection one round trip later. After a
// suspension, SentAfter is not known to be true. Also notes disruptions.
bool MayBeLate(EntryDaemonState* daemon, const HttpResponder& responder);

// Cancels the jobs of callers that have closed their connections, now and at
// intervals. After that, the callers of this daemon's other jobs are known to
// wait.
void AbortCheckTick(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_LATE_REQUESTS_H_
