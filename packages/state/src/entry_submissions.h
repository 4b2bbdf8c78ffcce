// Submits jobs to the scheduler, which may be this daemon, and cancels them.

#ifndef SEQUOIAPATH_STATE_ENTRY_SUBMISSIONS_H_
#define SEQUOIAPATH_STATE_ENTRY_SUBMISSIONS_H_

#include <string>
#include <string_view>

#include "entry_daemon_state.h"

namespace sequoiapath::internal {

// Submits a job to this daemon's scheduler. A job that another scheduler may
// have had before waits for a list of the workers, which is requested at once.
void SubmitToService(EntryDaemonState* daemon, StepJob job,
                     const std::string& origin, StepJobCallback callback);

// Applies a caller's cancel to this daemon's job and to its scheduler. `from`
// names the daemon process that sent it; empty if the caller sent it here.
void ApplyCallerCancel(EntryDaemonState* daemon, const JobCancel& cancel,
                       std::string_view from);

// Returns the functions through which the gateway uses the scheduler.
SchedulerAccess MakeSchedulerAccess(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_SUBMISSIONS_H_
