// Defines CancelDurability, which decides when the cancel of a caller may be
// acknowledged.
//
// An acknowledged cancel must stay in effect although any number of daemons may
// be lost right after it. So it is acknowledged once a write to the store that
// contains it has succeeded. While the store takes no writes of this daemon,
// the confirmations of two other daemons replace the write.

#ifndef SEQUOIAPATH_COORDINATION_CANCEL_DURABILITY_H_
#define SEQUOIAPATH_COORDINATION_CANCEL_DURABILITY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sequoiapath/protocol/scheduler_message.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

struct CancelDurabilityLimits {
  // Cancels that arrive within this time of the first one share its write.
  Duration gather_time = std::chrono::milliseconds(20);
  // Between the starts of two writes. Each call to the store is billed, and the
  // acknowledgement of a cancel may take 4 s.
  Duration write_interval = std::chrono::milliseconds(500);
  // The interval doubles with each failed write up to this value.
  Duration longest_write_interval = std::chrono::seconds(1);
  // Before another request to a daemon that has not confirmed one.
  Duration request_retry_interval = std::chrono::milliseconds(200);
  // A caller may repeat a job for this long. Older cancels are not written.
  Duration retention = std::chrono::seconds(120);
  // A cancel that a caller repeats is not written again for this long.
  Duration repetition_time = std::chrono::seconds(30);
  // Job ids in one write. On a link of 2 Mbit/s its transfer takes 0.2 s.
  std::size_t max_batch_bytes = 32 << 10;
  std::size_t max_request_cancels = 500;
  // Further cancels are applied but not acknowledged.
  std::size_t max_pending = 20'000;
};

// A reachable daemon other than this one.
struct CancelHolder {
  std::string origin;  // Names the daemon's process.
  std::string data_centre;
};

// A cancel that is not known to be in the store.
struct PendingCancel {
  TimePoint cancelled;
  bool acknowledged = false;  // By the confirmations of other daemons.
  std::map<std::string, std::string> confirmed;  // Data centres, by origin.
};

// The content of a key in the store. It does not change when the write is
// repeated, so that a write whose reply was lost may be executed twice.
struct CancelWrite {
  std::uint64_t number = 0;  // Increases with each write of this process.
  std::vector<JobCancel> cancels;
};

// Asks another daemon to keep cancels.
struct CancelRequest {
  CancelHolder holder;
  std::vector<JobCancel> cancels;
};

enum class CancelProof { kStore, kDaemons };

struct DurableCancel {
  std::string job;
  CancelProof proof = CancelProof::kStore;
};

// Thread safety of all functions below: one thread at a time.
struct CancelDurability {
  CancelDurabilityLimits limits;
  std::string data_centre;  // Of this daemon.
  std::map<std::string, PendingCancel> pending;
  std::set<std::string> unacknowledged;  // Pending jobs.
  std::deque<std::string> unwritten;  // Pending jobs that are in no write yet.
  std::map<std::string, TimePoint> stored;  // When each was written.
  std::deque<std::string> stored_order;
  std::optional<CancelWrite> write;  // Repeated until it succeeds.
  bool write_in_flight = false;
  bool store_failing = false;  // The latest write failed.
  TimePoint next_write;        // No write begins before.
  Duration write_interval{0};  // Zero: limits.write_interval.
  std::uint64_t last_number = 0;
  struct HolderState {
    bool in_flight = false;
    std::uint32_t failures = 0;  // Since the latest confirmation.
    TimePoint next_request;
  };
  std::map<std::string, HolderState> holders;  // By origin.
  std::vector<DurableCancel> durable;          // Not yet taken.
};

enum class CancelState {
  kStored,   // May be acknowledged now.
  kPending,  // TakeDurableCancels will name it.
  kFull,     // Too many cancels are pending: this one cannot be acknowledged.
};

// Adds a cancel that a caller has sent to this daemon at `now`, for the first
// time or again.
CancelState AddPendingCancel(CancelDurability* durability,
                             const std::string& job, TimePoint now);

// Returns the write to send now, or null. EndCancelWrite must follow.
const CancelWrite* BeginCancelWrite(CancelDurability* durability,
                                    TimePoint now);

// Records the result of the write in flight. A write without a reply has
// failed; it may have been executed.
void EndCancelWrite(CancelDurability* durability, bool succeeded,
                    TimePoint now);

// Returns the requests to send to other daemons now: none while the store takes
// the writes, or if fewer than two daemons are reachable. EndCancelRequest must
// follow for each. Cancels that two daemons have confirmed become durable; if
// `reachable` contains a daemon of another data centre, one of the two must be
// in another data centre.
std::vector<CancelRequest> BeginCancelRequests(
    CancelDurability* durability, const std::vector<CancelHolder>& reachable,
    TimePoint now);

// Records the reply to a request. `confirmed`: the daemon keeps the cancels.
// The next call of BeginCancelRequests decides whether that suffices.
void EndCancelRequest(CancelDurability* durability,
                      const CancelRequest& request, bool confirmed,
                      TimePoint now);

// Returns the cancels that became durable since the latest call.
std::vector<DurableCancel> TakeDurableCancels(CancelDurability* durability);

// Returns whether a call of BeginCancelWrite or BeginCancelRequests may have a
// result later.
bool HasCancelWork(const CancelDurability& durability);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CANCEL_DURABILITY_H_
