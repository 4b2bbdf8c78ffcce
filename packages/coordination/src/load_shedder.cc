#include "sequoiapath/coordination/load_shedder.h"

#include <algorithm>

namespace sequoiapath {
namespace internal {
namespace {

// The latest lag has a weight of one part in this many in the average.
constexpr int kAverageParts = 5;

}  // namespace
}  // namespace internal

void RecordLag(LoadShedder* shedder, Duration lag) {
  const Duration counted = std::min(lag, shedder->limits.longest_lag);
  shedder->average_lag +=
      (counted - shedder->average_lag) / internal::kAverageParts;
}

bool IsOverloaded(const LoadShedder& shedder) {
  return shedder.average_lag > shedder.limits.overload_average;
}

bool RefusesNewJob(const LoadShedder& shedder, Duration lag) {
  return IsOverloaded(shedder) && lag > shedder.limits.max_lag;
}

}  // namespace sequoiapath
