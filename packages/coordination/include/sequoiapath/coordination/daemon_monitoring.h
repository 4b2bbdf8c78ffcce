// Decides which daemons exchange heartbeats.
//
// If all daemons exchanged heartbeats, their number would grow with the square
// of the daemons. Instead, the scheduler and a few standbys monitor all
// daemons: they send heartbeats, and the others reply. The scheduler names one
// standby in each data centre, so that a data centre that is cut off has a
// daemon that may schedule at once. A daemon that has no scheduler, and to
// which no standby reports one, monitors all daemons itself.
//
// A daemon that is monitored sends a heartbeat only if an expected one is
// overdue. The scheduler then learns that the daemon lives although the
// connection on which it was monitored has stopped responding.

#ifndef SEQUOIAPATH_COORDINATION_DAEMON_MONITORING_H_
#define SEQUOIAPATH_COORDINATION_DAEMON_MONITORING_H_

#include <string>
#include <vector>

#include "sequoiapath/coordination/scheduler_election.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// None of the functions below is thread-safe: calls must not overlap.

// Returns whether the scheduler that this daemon follows names it as a standby.
bool IsStandby(const SchedulerElection& election);

// Decides whether this daemon monitors all daemons. RunElection calls it.
void UpdateMonitoring(SchedulerElection* election, TimePoint now);

// Chooses the standbys of this daemon if it schedules. RunElection calls it.
void UpdateStandbys(SchedulerElection* election, TimePoint now);

// Updates the daemons from which this one expects reports. RunElection calls
// it.
void UpdateContacts(SchedulerElection* election, TimePoint now);

// Returns the VMs of the daemons to which a heartbeat is due, at most a part of
// them at a time, so that the replies do not arrive all at once. Call it every
// 50 ms, and call RecordHeartbeatSent for each heartbeat that is sent.
std::vector<std::string> DueHeartbeats(const SchedulerElection& election,
                                       TimePoint now);

// Returns the scheduler and its standbys, without this daemon.
std::vector<std::string> FindMonitors(const SchedulerElection& election);

// Records that a heartbeat was sent to the daemon on `vm`.
void RecordHeartbeatSent(SchedulerElection* election, const std::string& vm,
                         TimePoint now);

// Returns whether a daemon that is not stopping is unreachable although this
// daemon expects its reports.
bool AnyContactUnreachable(const SchedulerElection& election, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_DAEMON_MONITORING_H_
