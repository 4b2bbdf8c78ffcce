// Follows the platform's store for an entry daemon: the configuration, the
// workers and the list of daemons, which it also copies from other daemons.

#ifndef SEQUOIAPATH_STATE_ENTRY_STORE_WATCH_H_
#define SEQUOIAPATH_STATE_ENTRY_STORE_WATCH_H_

#include "entry_daemon_state.h"

namespace sequoiapath::internal {

// Begins to watch the store and lists this daemon there.
void WatchStore(EntryDaemonState* daemon);

// Requests another daemon's set of evacuations if that is newer than this
// daemon's.
void PullEvacuations(EntryDaemonState* daemon, const DaemonReport& report);

// Requests another daemon's catalog if that has a newer configuration, or newer
// workers while this daemon cannot read them from the store.
void PullCatalog(EntryDaemonState* daemon, const DaemonReport& report);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_STORE_WATCH_H_
