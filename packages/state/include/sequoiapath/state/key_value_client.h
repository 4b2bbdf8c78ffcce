// Defines KeyValueClient, which follows keys of the platform's key-value
// service and keeps one key of this daemon under a lease.

#ifndef SEQUOIAPATH_STATE_KEY_VALUE_CLIENT_H_
#define SEQUOIAPATH_STATE_KEY_VALUE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sequoiapath/protocol/key_value_codec.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct KeyValueClientState;
}  // namespace internal

// Gets the state of a prefix. `complete` is true for a whole listing, which
// replaces what was known; otherwise the items and removals are changes.
using KeyValueObserver =
    std::function<void(const KeyValuePage& page, bool complete)>;

// Calls of this process to the service, by kind.
struct KeyValueCounts {
  std::uint64_t ranges = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t renewals = 0;
  std::uint64_t failures = 0;
};

// Calls the service over HTTP. It survives outages, refused calls, lost
// replies, cut watches and a discarded history: a watch goes on from the last
// known revision, or lists the prefix again. Thread safety: loop thread only.
class KeyValueClient {
 public:
  ~KeyValueClient();
  KeyValueClient(const KeyValueClient&) = delete;
  KeyValueClient& operator=(const KeyValueClient&) = delete;

  // Lists `prefix` and then follows it for the life of the client.
  void WatchPrefix(std::string prefix, KeyValueObserver observer);

  // As Follow, for a prefix that changes all the time: `pause` returns the time
  // between two watches, so that changes are read in batches, and a watch that
  // brings nothing for a second is taken for an outage.
  void WatchBusyPrefix(std::string prefix, std::function<Duration()> pause,
                       KeyValueObserver observer);

  // Keeps `item` in the service under a lease of `ttl` that is renewed; writes
  // it again when the lease has ended. Precondition: not called before.
  void PutWithLease(KeyValueItem item, std::chrono::milliseconds ttl);

  // Ends the lease, so that the kept key goes at once. Call it before a stop.
  void RevokeLease();

  // Returns when the service last answered a call, or the zero time point.
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
