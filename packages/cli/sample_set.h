// Defines SampleSet, a sample of measured values in bounded memory.

#ifndef SEQUOIAPATH_CLI_SAMPLE_SET_H_
#define SEQUOIAPATH_CLI_SAMPLE_SET_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace sequoiapath {

// Stores all values up to a limit, and a uniform random sample of them beyond
// it (reservoir sampling). Not thread-safe.
struct SampleSet {
  std::size_t limit = 1'000'000;
  std::vector<float> values;
  std::uint64_t count = 0;
  double greatest = 0;
  double sum = 0;
  std::mt19937_64 random{1};
};

// Adds a value. Beyond the limit, the value replaces a random one or changes
// only the count, the sum and the greatest value.
void AddSample(SampleSet* set, double value);

// Returns the nearest-rank percentile, or zero if the set is empty. Reorders
// the values. Precondition: 0 < percent <= 100.
double Percentile(SampleSet* set, double percent);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_SAMPLE_SET_H_
