#include "sequoiapath/coordination/connection_health.h"

#include <algorithm>
#include <chrono>

namespace sequoiapath {
namespace internal {
namespace {

// The delay between probes doubles from the first value to the longest one
// while the worker does not answer.
constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(250);
constexpr Duration kLongestProbeDelay = std::chrono::seconds(5);

}  // namespace
}  // namespace internal

void RecordBrokenConnection(ConnectionHealth* health, const std::string& worker,
                            TimePoint now) {
  const auto [it, added] = health->suspects.try_emplace(worker);
  it->second.since = now;
  if (!added) return;
  it->second.next_probe = now;
  it->second.probe_delay = internal::kFirstProbeDelay;
}

void RecordAnswer(ConnectionHealth* health, const std::string& worker,
                  TimePoint sent) {
  const auto it = health->suspects.find(worker);
  if (it == health->suspects.end() || sent <= it->second.since) return;
  health->suspects.erase(it);
}

bool ConnectionsAllowTask(const ConnectionHealth& health,
                          const std::string& worker, bool idempotent) {
  return idempotent || !health.suspects.contains(worker);
}

std::vector<std::string> TakeDueProbes(ConnectionHealth* health,
                                       TimePoint now) {
  std::vector<std::string> due;
  for (auto& [worker, suspect] : health->suspects) {
    if (suspect.probing || suspect.next_probe > now) continue;
    suspect.probing = true;
    due.push_back(worker);
  }
  return due;
}

void EndProbe(ConnectionHealth* health, const std::string& worker,
              TimePoint now) {
  const auto it = health->suspects.find(worker);
  if (it == health->suspects.end()) return;
  SuspectWorker& suspect = it->second;
  suspect.probing = false;
  suspect.next_probe = now + suspect.probe_delay;
  suspect.probe_delay =
      std::min(suspect.probe_delay * 2, internal::kLongestProbeDelay);
}

std::optional<TimePoint> NextProbe(const ConnectionHealth& health) {
  std::optional<TimePoint> next;
  for (const auto& [worker, suspect] : health.suspects) {
    if (suspect.probing) continue;
    next = std::min(next.value_or(suspect.next_probe), suspect.next_probe);
  }
  return next;
}

void ForgetConnections(ConnectionHealth* health, const std::string& worker) {
  health->suspects.erase(worker);
}

}  // namespace sequoiapath
