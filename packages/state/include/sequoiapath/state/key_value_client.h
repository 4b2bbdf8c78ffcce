// Defines KeyValueClient, which watches keys of the platform's key-value
// service and keeps one key of this daemon in it under a lease.

#ifndef SEQUOIAPATH_STATE_KEY_VALUE_CLIENT_H_
#define SEQUOIAPATH_STATE_KEY_VALUE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/key_value_codec.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct KeyValueClientState;
}  // namespace internal

// Receives the items of a prefix. If `complete` is true, `page` lists all items
// and replaces the earlier ones; otherwise it contains the changes. All changes
// that the service had acknowledged before `read_at` have been received.
using KeyValueObserver = std::function<void(const KeyValuePage& page,
                                            bool complete, TimePoint read_at)>;

// Calls to the service by kind, and the failed ones, since the client was
// created. Grants and puts count as writes.
struct KeyValueCounts {
  std::uint64_t ranges = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t renewals = 0;
  std::uint64_t failures = 0;
};

// Calls the service over HTTP. It retries after outages, rejected calls, lost
// replies and interrupted watches. A watch resumes from the last known
// revision; if that revision was compacted, the client lists the prefix again.
// Thread safety: loop thread only.
class KeyValueClient {
 public:
  ~KeyValueClient();
  KeyValueClient(const KeyValueClient&) = delete;
  KeyValueClient& operator=(const KeyValueClient&) = delete;

  // Lists `prefix` and then watches it for the life of the client.
  void WatchPrefix(std::string prefix, KeyValueObserver observer);

  // As WatchPrefix, for a prefix that changes at least once per second. `pause`
  // returns the time between two watches, so that changes are read in batches.
  // A watch without a reply within 1.9 s counts as an outage.
  void WatchBusyPrefix(std::string prefix, std::function<Duration()> pause,
                       KeyValueObserver observer);

  // Ends the pause between two watches of `prefix`, if there is one. Has no
  // effect if the prefix is not watched.
  void EndWatchPause(std::string_view prefix);

  // Puts `item` under a lease of `ttl` and renews the lease. Puts the item
  // again under a new lease if the lease has ended. Precondition: not called
  // before.
  void PutWithLease(KeyValueItem item, std::chrono::milliseconds ttl);

  // Revokes the lease, so that the service removes the key at once, and ends
  // its renewal. Call it before a stop.
  void RevokeLease();

  // Returns when the service last responded to a call and did not reject it, or
  // the zero time point if it never has.
  TimePoint LastResponseTime() const;

  const KeyValueCounts& Counts() const;

 private:
  friend class KeyValueClientBuilder;
  explicit KeyValueClient(std::unique_ptr<internal::KeyValueClientState> state);

  std::unique_ptr<internal::KeyValueClientState> state;
};

// Builds a KeyValueClient.
class KeyValueClientBuilder {
 public:
  // Preconditions: `loop` outlives the client; the codec is complete.
  KeyValueClientBuilder(EventLoop* loop, Endpoint endpoint,
                        KeyValueCodec codec);

  std::unique_ptr<KeyValueClient> Build();

 private:
  EventLoop* loop;
  Endpoint endpoint;
  KeyValueCodec codec;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_KEY_VALUE_CLIENT_H_
