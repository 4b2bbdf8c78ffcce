// Defines SampleSet, the values of a measurement in bounded memory.

#ifndef SEQUOIAPATH_CLI_SAMPLE_SET_H_
#define SEQUOIAPATH_CLI_SAMPLE_SET_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace sequoiapath {

// Keeps all values up to a limit and an even random choice of them beyond it.
// Not thread-safe.
struct SampleSet {
  std::size_t limit = 1'000'000;
  std::vector<float> values;
  std::uint64_t count = 0;
  double greatest = 0;
  double sum = 0;
  std::mt19937_64 random{1};
};

// Adds a value.
void AddSample(SampleSet* set, double value);

// Returns the nearest-rank percentile, or zero without values. Reorders the
// values. Precondition: 0 < percent <= 100.
double Percentile(SampleSet* set, double percent);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_SAMPLE_SET_H_
