// Defines LateLog, a bounded record of late and failed requests and of what
// their callers were told.

#ifndef SEQUOIAPATH_STATE_LATE_LOG_H_
#define SEQUOIAPATH_STATE_LATE_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "sequoiapath/protocol/verdict.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct LateEntry {
  std::string request_id;
  std::string team;
  std::string service;
  std::chrono::system_clock::time_point when;  // Of the answer.
  std::chrono::milliseconds deadline{0};       // From the submission.
  std::chrono::milliseconds response_time{0};
  std::chrono::milliseconds ideal{0};  // Zero if no task has ended.
  // Empty if the answer was complete but late.
  std::optional<Verdict> verdict;
  std::optional<Reason> reason;
  std::string told;  // The answer's status and advice, for people.
  // Requests that got the answer, and those whose connection had gone.
  std::uint32_t callers_told = 0;
  std::uint32_t callers_gone = 0;
};

struct LateLogLimits {
  std::size_t max_entries = 1000;
  std::size_t max_bytes = 1 << 20;
  // Longer texts are cut.
  std::size_t max_text_bytes = 256;
};

// The newest entries, oldest first. Thread safety: one thread at a time.
struct LateLog {
  LateLogLimits limits;
  std::deque<LateEntry> entries;
  std::size_t bytes = 0;
  std::uint64_t dropped = 0;  // Entries that made room for newer ones.
};

// When a complete answer counts as late: after its deadline, or slower than
// both a multiple of the ideal and the ideal plus a fixed time.
struct LatePolicy {
  double ideal_factor = 2;
  Duration ideal_slack = std::chrono::milliseconds(250);
};

// Says whether a response time is late; an ideal of zero is unknown.
// Thread-safe.
bool IsLate(const LatePolicy& policy, Duration response_time, Duration ideal,
            Duration deadline);

// Adds an entry and drops the oldest ones beyond the limits.
void AddLateEntry(LateLog* log, LateEntry entry);

// Returns the memory that an entry is counted with, in bytes.
std::size_t EntryBytes(const LateEntry& entry);

// Returns a JSON object with the entries, newest first, at most `count`.
std::string EncodeLateLog(const LateLog& log, std::size_t count);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_LATE_LOG_H_
