// Keeps the cancels of callers beyond the loss of daemons: writes them to the
// store before they are acknowledged, and reads them back after a loss.

#ifndef SEQUOIAPATH_STATE_ENTRY_CANCELS_H_
#define SEQUOIAPATH_STATE_ENTRY_CANCELS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sequoiapath/coordination/cancel_durability.h"
#include "sequoiapath/state/key_value_batch_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath::internal {

struct EntryDaemonState;

// A caller that waits for the acknowledgement of its cancel.
struct CancelWaiter {
  std::uint64_t id = 0;
  std::function<void(bool durable)> callback;
};

// Totals since the daemon's start, in callers' requests.
struct CancelCounts {
  std::uint64_t acknowledged_by_store = 0;
  std::uint64_t acknowledged_by_daemons = 0;
  std::uint64_t unacknowledged = 0;
};

struct EntryCancels {
  CancelDurability durability;
  std::unique_ptr<KeyValueBatchClient> store;
  std::unordered_map<std::string, std::vector<CancelWaiter>>
      waiters;  // By job.
  std::uint64_t last_waiter = 0;
  bool pump_scheduled = false;
  // Jobs are submitted and accepted: the records of former processes were read,
  // or the time for that is over.
  bool may_schedule = false;
  std::uint64_t records_read = 0;
  TimePoint next_loss_read;  // No read after a loss begins before.
  bool full_read_scheduled = false;
  CancelCounts counts;
};

// Begins to read the records of former processes. Call it when the daemon
// starts, after its other parts exist.
void InitializeCancels(EntryDaemonState* daemon);

// Makes the cancel of a job durable that ApplyCallerCancel has applied. Calls
// `callback` once: with true when the cancel may be acknowledged, possibly
// before the function returns, or with false if that is not possible within
// `wait`.
void KeepCallerCancel(EntryDaemonState* daemon, const std::string& job,
                      Duration wait,
                      std::function<void(bool durable)> callback);

// Reads the records of the daemon on `vm`, which is lost: it may have written
// cancels to the store that it has not sent to any other daemon. After several
// losses within a second, reads the records of all daemons later.
void ReadCancelsOfLostDaemon(EntryDaemonState* daemon, const std::string& vm);

// The same for all daemons, when this one becomes the scheduler.
void ReadCancelsOfAllDaemons(EntryDaemonState* daemon);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_ENTRY_CANCELS_H_
