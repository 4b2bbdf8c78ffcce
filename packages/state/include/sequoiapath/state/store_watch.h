// Defines StoreWatch, a watch of one key of the platform's key-value service
// that reconnects after broken and unresponsive connections.

#ifndef SEQUOIAPATH_STATE_STORE_WATCH_H_
#define SEQUOIAPATH_STATE_STORE_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sequoiapath/protocol/store_api.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

class StoreClient;

namespace internal {
struct StoreWatchState;
}  // namespace internal

struct StoreWatchOptions {
  std::string key;
  // The first revision whose changes are reported.
  std::int64_t start_revision = 1;
  // A stream that receives no data for this time is replaced, because its
  // connection may be unresponsive. The value is below the 15 s within which a
  // change must be in force.
  Duration idle_timeout = std::chrono::seconds(8);
  // Delay before the first reconnection; doubles with each consecutive failure
  // up to `max_retry_delay`.
  Duration retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::seconds(2);
};

struct StoreWatchHandlers {
  std::function<void(const StoreEvent&)> on_event;
  // Called at most once, when changes may have been missed: the start revision
  // was compacted, or the store is at an older revision than one already
  // received. The watch has ended; the owner must read the key and start a new
  // watch.
  std::function<void(const std::string& reason)> on_reset;
};

// Reports each change of the key once and in order until the watch is destroyed
// or reset. Handlers may destroy the watch. Thread safety: loop thread only.
class StoreWatch {
 public:
  // Preconditions: `loop` and `client` outlive the watch.
  StoreWatch(EventLoop* loop, StoreClient* client, StoreWatchOptions options,
             StoreWatchHandlers handlers);
  ~StoreWatch();
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

 private:
  std::shared_ptr<internal::StoreWatchState> state;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_STORE_WATCH_H_
