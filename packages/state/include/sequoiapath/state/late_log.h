// Defines LateLog, a bounded log of late and failed requests and the answers
// that their callers got.

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

// One late or failed request.
struct LateEntry {
  std::string request_id;
  std::string team;
  std::string service;
  std::chrono::system_clock::time_point when;  // Time of the answer.
  std::chrono::milliseconds deadline{0};       // Counted from the submission.
  std::chrono::milliseconds response_time{0};
  std::chrono::milliseconds ideal{0};  // Zero if no task has completed.
  // Both are empty if the answer was complete but late.
  std::optional<Verdict> verdict;
  std::optional<Reason> reason;
  std::string answer_summary;  // HTTP status, verdict, reason and advice.
  // Numbers of requests that got the answer and of those whose connection had
  // closed before it.
  std::uint32_t callers_told = 0;
  std::uint32_t callers_gone = 0;
};

struct LateLogLimits {
  std::size_t max_entries = 1000;
  std::size_t max_bytes = 1 << 20;
  // Maximum length of each text in an entry; longer texts are truncated.
  std::size_t max_text_bytes = 256;
};

// Holds the newest entries, oldest first. Thread safety: one thread at a time.
struct LateLog {
  LateLogLimits limits;
  std::deque<LateEntry> entries;
  std::size_t bytes = 0;      // Sum of EntryBytes of all entries.
  std::uint64_t dropped = 0;  // Number of entries removed for newer ones.
};

// Defines when a complete answer is late: after its deadline, or if its
// response time exceeds both a multiple of the ideal and the ideal plus a fixed
// time.
struct LatePolicy {
  double ideal_factor = 2;
  Duration ideal_slack = std::chrono::milliseconds(250);
};

// Returns whether a response time is late; an ideal of zero means unknown.
// Thread-safe.
bool IsLate(const LatePolicy& policy, Duration response_time, Duration ideal,
            Duration deadline);

// Adds an entry with truncated texts and removes the oldest entries beyond the
// limits.
void AddLateEntry(LateLog* log, LateEntry entry);

// Returns the bytes that an entry counts towards LateLogLimits::max_bytes.
std::size_t EntryBytes(const LateEntry& entry);

// Returns a JSON object with the `count` newest entries, newest first.
std::string EncodeLateLog(const LateLog& log, std::size_t count);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_LATE_LOG_H_
