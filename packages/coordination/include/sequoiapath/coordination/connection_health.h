// Defines ConnectionHealth, which records the workers whose connections may be
// broken. Such a worker receives a non-idempotent task only after it has
// answered a request that was sent after the failure.

#ifndef SEQUOIAPATH_COORDINATION_CONNECTION_HEALTH_H_
#define SEQUOIAPATH_COORDINATION_CONNECTION_HEALTH_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A worker with a connection that stopped answering or broke.
struct SuspectWorker {
  TimePoint since;
  TimePoint next_probe;
  Duration probe_delay{0};
  bool probing = false;
};

struct ConnectionHealth {
  // By worker. A worker without an entry is not suspect.
  std::unordered_map<std::string, SuspectWorker> suspects;
};

// None of the functions below is thread-safe: calls must not overlap.

// Records that a connection stopped answering or broke. The caller must also
// close the worker's idle connections, so that later requests use new ones.
void RecordBrokenConnection(ConnectionHealth* health, const std::string& worker,
                            TimePoint now);

// Records an answer to a request that was sent at `sent`. The worker is no
// longer suspect if the request was sent after its last connection failure.
void RecordAnswer(ConnectionHealth* health, const std::string& worker,
                  TimePoint sent);

// Returns whether a task may be sent to the worker.
bool ConnectionsAllowTask(const ConnectionHealth& health,
                          const std::string& worker, bool idempotent);

// Returns the workers to probe now and marks them as being probed. The caller
// calls EndProbe when a probe ends, and RecordAnswer if it was answered.
std::vector<std::string> TakeDueProbes(ConnectionHealth* health, TimePoint now);

// Records that a probe ended, with or without an answer.
void EndProbe(ConnectionHealth* health, const std::string& worker,
              TimePoint now);

// Returns when the next probe is due; nothing if no worker awaits a probe.
std::optional<TimePoint> NextProbe(const ConnectionHealth& health);

// Removes the entry of a worker that is no longer configured.
void ForgetConnections(ConnectionHealth* health, const std::string& worker);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CONNECTION_HEALTH_H_
