#include "sample_set.h"

#include <algorithm>
#include <cmath>

namespace sequoiapath {

void AddSample(SampleSet* set, double value) {
  ++set->count;
  set->sum += value;
  set->greatest = std::max(set->greatest, value);
  if (set->values.size() < set->limit) {
    set->values.push_back(static_cast<float>(value));
    return;
  }
  const std::uint64_t position = std::uniform_int_distribution<std::uint64_t>(
      0, set->count - 1)(set->random);
  if (position < set->limit) set->values[position] = static_cast<float>(value);
}

double Percentile(SampleSet* set, double percent) {
  if (set->values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(percent / 100 * static_cast<double>(set->values.size())));
  const auto nth = set->values.begin() + static_cast<std::ptrdiff_t>(rank - 1);
  std::nth_element(set->values.begin(), nth, set->values.end());
  return *nth;
}

}  // namespace sequoiapath
