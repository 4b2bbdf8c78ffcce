// Spreads the records of crashes of workers and of cancels of callers to other
// daemons.

#ifndef SEQUOIAPATH_STATE_ENTRY_RECORDS_H_
#define SEQUOIAPATH_STATE_ENTRY_RECORDS_H_

#include "entry_daemon_state.h"

namespace sequoiapath::internal {

// Spreads the crashes. The scheduler starts the tasks of all jobs, so the
// others need its records of crashes only to succeed it.
void InitializeCrashSpread(EntryDaemonState* daemon);

// Spreads the cancels. Any daemon may have the cancelled job or get a repeated
// request for it.
void InitializeCancelSpread(EntryDaemonState* daemon);

// Sends the records that other daemons lack, and queries the seeds while no
// daemon is known, now and at intervals.
void RecordsTick(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_RECORDS_H_
