// Defines CancelHistory, which records the jobs that callers have cancelled.
//
// A caller may cancel a job at any daemon. The daemon that has the job and the
// scheduler may be out of reach at that time, and a job that its daemon submits
// to the next scheduler must not start there. So every daemon keeps the cancels
// and rejects later submissions of these jobs. Records of several daemons can
// be merged in any order and any number of times.

#ifndef SEQUOIAPATH_COORDINATION_CANCEL_HISTORY_H_
#define SEQUOIAPATH_COORDINATION_CANCEL_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// In `learned_from`: the cancel was read from the store when this daemon
// started. It is not sent on, because the other daemons had it before or have
// read it too.
constexpr std::string_view kReadFromStore = "store";

struct CancelRecord {
  std::uint64_t sequence = 0;  // Increases with each record of this process.
  TimePoint cancelled;         // When a daemon received the caller's request.
  // The daemon process that sent the record, or kReadFromStore; empty if a
  // caller sent the cancel to this daemon.
  std::string learned_from;
  std::string job;
};

// Thread safety of all functions below: one thread at a time.
struct CancelHistory {
  // A caller asks for a job, or repeats its request, for at most 120 s.
  Duration max_age = std::chrono::seconds(120);
  // Further records replace the oldest ones. A record takes about 250 bytes.
  std::size_t max_records = 40'000;
  std::deque<CancelRecord> records;                 // By `sequence`.
  std::unordered_map<std::string, TimePoint> jobs;  // When each was cancelled.
  std::uint64_t last_sequence = 0;
};

// Adds a cancel. `learned_from` names the daemon process that sent it. Returns
// false if the cancel is already known or older than `max_age`.
bool AddCancel(CancelHistory* history, const JobCancel& cancel,
               std::string_view learned_from, TimePoint now);

// Returns when the job was cancelled, or null if it has no record.
const TimePoint* FindCancel(const CancelHistory& history,
                            const std::string& job);

// Returns up to `max_count` cancels with a sequence number above `sequence`
// that were not learned from `receiver` or the store, with their ages at `now`;
// with `own_only` only those that callers sent to this daemon. Sets `sequence`
// to the number of the last record that was examined.
std::vector<JobCancel> CancelsAfter(const CancelHistory& history,
                                    std::uint64_t* sequence,
                                    std::string_view receiver, bool own_only,
                                    std::size_t max_count, TimePoint now);

// Removes the records that are older than `max_age`.
void RemoveOldCancels(CancelHistory* history, TimePoint now);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CANCEL_HISTORY_H_
