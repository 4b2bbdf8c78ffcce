// Defines ConnectionHealth, which says which workers may have dead connections.
// A non-idempotent task uses such a worker only after a request that was sent
// later has been answered.

#ifndef SEQUOIAPATH_COORDINATION_CONNECTION_HEALTH_H_
#define SEQUOIAPATH_COORDINATION_CONNECTION_HEALTH_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// A worker with a connection that fell silent or broke.
struct SuspectWorker {
  TimePoint since;
  TimePoint next_probe;
  Duration probe_delay{0};
  bool probing = false;
};

// Workers that are not listed are not suspect.
struct ConnectionHealth {
  std::unordered_map<std::string, SuspectWorker> suspects;
};

// Records that a connection fell silent or broke. The worker's idle connections
// must be closed with it, so that later requests use fresh ones. Thread safety
// of all functions here: one thread at a time.
void RecordBrokenConnection(ConnectionHealth* health, const std::string& worker,
                            TimePoint now);

// Records an answer to a request that was sent at `sent`. It clears the worker
// only if the request is younger than the last broken connection.
void RecordAnswer(ConnectionHealth* health, const std::string& worker,
                  TimePoint sent);

// Says whether a task may be sent to the worker.
bool ConnectionsAllowTask(const ConnectionHealth& health,
                          const std::string& worker, bool idempotent);

// Returns the workers to probe now and marks them as being probed. The caller
// reports each end with RecordAnswer and EndProbe.
std::vector<std::string> TakeDueProbes(ConnectionHealth* health, TimePoint now);

// Records that a probe ended, with or without an answer.
void EndProbe(ConnectionHealth* health, const std::string& worker,
              TimePoint now);

// Returns when the next probe is due, if any.
std::optional<TimePoint> NextProbe(const ConnectionHealth& health);

// Forgets a worker that is no longer configured.
void ForgetConnections(ConnectionHealth* health, const std::string& worker);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CONNECTION_HEALTH_H_
