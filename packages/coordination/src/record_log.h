// Defines TakeRecordsAfter, which selects the records of a history that another
// daemon lacks.

#ifndef SEQUOIAPATH_COORDINATION_RECORD_LOG_H_
#define SEQUOIAPATH_COORDINATION_RECORD_LOG_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace sequoiapath::internal {

// Calls `take` with the records whose sequence number is above `sequence`,
// until it has returned true `max_count` times. Sets `sequence` to the number
// of the last record that was examined. Precondition: `records` are in the
// order of their `sequence`.
template <typename Record, typename Take>
void TakeRecordsAfter(const std::deque<Record>& records, std::size_t max_count,
                      std::uint64_t* sequence, const Take& take) {
  const auto first = std::partition_point(
      records.begin(), records.end(),
      [sequence](const Record& r) { return r.sequence <= *sequence; });
  std::size_t taken = 0;
  for (auto it = first; it != records.end() && taken < max_count; ++it) {
    *sequence = it->sequence;
    if (take(*it)) ++taken;
  }
}

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_COORDINATION_RECORD_LOG_H_
