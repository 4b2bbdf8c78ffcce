// Defines LoadShedder, which decides whether a scheduler refuses a new job
// because it has too little CPU time for all of them.
//
// A scheduler whose CPU time is used up reads every message late: submissions,
// reports of workers and heartbeats. Then all jobs are late while workers stand
// idle. If it refuses some new jobs at once, which costs little, the others are
// in time. The lag of its event loop, that is how late its timers run, shows
// whether it keeps up.

#ifndef SEQUOIAPATH_COORDINATION_LOAD_SHEDDER_H_
#define SEQUOIAPATH_COORDINATION_LOAD_SHEDDER_H_

#include <chrono>

#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct LoadShedderLimits {
  // A new job is refused if it is read with a longer lag, during an overload.
  // The shortest jobs, which take some 100 ms, can still be in time with it.
  Duration max_lag = std::chrono::milliseconds(25);
  // The loop is overloaded while the average lag is longer.
  Duration overload_average = std::chrono::milliseconds(10);
  // Longer lags count as this one in the average, so that a single pause of the
  // process is no overload.
  Duration longest_lag = std::chrono::milliseconds(40);
};

// Not thread-safe: calls of the functions below must not overlap.
struct LoadShedder {
  LoadShedderLimits limits;
  Duration average_lag{0};  // Moving average.
};

// Records that a periodic timer ran `lag` after its time. Precondition: `lag`
// is not negative.
void RecordLag(LoadShedder* shedder, Duration lag);

// Returns whether the loop has been overloaded lately.
bool IsOverloaded(const LoadShedder& shedder);

// Returns whether a new job is refused that is read while the earliest timer is
// `lag` past its time.
bool RefusesNewJob(const LoadShedder& shedder, Duration lag);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_LOAD_SHEDDER_H_
