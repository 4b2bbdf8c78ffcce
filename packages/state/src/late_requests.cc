#include "late_requests.h"

#include <algorithm>

#include "sequoiapath/coordination/daemon_monitoring.h"

namespace sequoiapath::internal {

using std::chrono::milliseconds;

namespace {

// A caller whose connection is lost sends its job to another daemon 1.3 s
// later. By then, the runs of the first submission must have been stopped.
constexpr Duration kAbortCheckInterval = milliseconds(50);
// A request is a danger if its caller has given it up and sent the job again,
// which takes 1.3 s at least. One that was sent within this time is not held.
constexpr Duration kLongestCertainAge = milliseconds(500);
// After a longer time without an AbortCheckTick this daemon has stood still.
constexpr Duration kLongestPause = milliseconds(500);
// A request may be late until this long after a disruption at least, and for as
// long as the disruption was. The intervals at which TCP repeats a segment
// double while there is no way, so one that was sent at the start of a cut may
// arrive after the end of the cut plus the length of the cut.
constexpr Duration kLateRequestTime = milliseconds(5000);
constexpr Duration kLongestLateRequestTime = std::chrono::seconds(60);
// Time until a daemon counts as unreachable, with a margin.
constexpr Duration kDisruptionDetectionTime = milliseconds(1000);
// Two readings of the time of suspensions differ by less without a suspension.
constexpr Duration kSuspensionTolerance = milliseconds(10);

// Notes whether callers may have sent requests that could not be delivered: a
// cut that separates a caller from this daemon also separates other daemons
// from it, and while this machine stands still nothing is received.
void NoteDisruptions(EntryDaemonState* daemon) {
  const TimePoint now = daemon->loop->Now();
  const Duration suspended_time = EventLoop::SuspendedTime();
  if (suspended_time > daemon->suspended_time + kSuspensionTolerance) {
    daemon->suspended_at = now;
  }
  daemon->suspended_time = suspended_time;
  const bool paused = now > daemon->callers_checked_at + kLongestPause;
  if (!paused && !AnyContactUnreachable(daemon->election, now)) return;
  if (now > daemon->late_requests_until) {
    daemon->disruption_began_at =
        (paused ? daemon->callers_checked_at : now) - kDisruptionDetectionTime;
  }
  daemon->late_requests_until =
      now + std::clamp(now - daemon->disruption_began_at, kLateRequestTime,
                       kLongestLateRequestTime);
}

}  // namespace

bool MayBeLate(EntryDaemonState* daemon, const HttpResponder& responder) {
  NoteDisruptions(daemon);
  const TimePoint now = daemon->loop->Now();
  if (now <= daemon->suspended_at + kLateRequestTime) return true;
  if (responder.SentAfter() >= now - kLongestCertainAge) return false;
  return now <= daemon->late_requests_until;
}

void AbortCheckTick(EntryDaemonState* daemon) {
  daemon->caller_server->CloseAbortedConnections();
  NoteDisruptions(daemon);
  daemon->callers_checked_at = daemon->loop->Now();
  daemon->service->ConfirmDaemon(OwnOrigin(*daemon), daemon->loop->Now());
  daemon->loop->Schedule(kAbortCheckInterval,
                         [daemon] { AbortCheckTick(daemon); });
}

}  // namespace sequoiapath::internal
