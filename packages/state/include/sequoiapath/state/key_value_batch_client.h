// Defines KeyValueBatchClient, which writes items that outlive this daemon to
// the platform's key-value service, and reads the items of a prefix.

#ifndef SEQUOIAPATH_STATE_KEY_VALUE_BATCH_CLIENT_H_
#define SEQUOIAPATH_STATE_KEY_VALUE_BATCH_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/protocol/key_value_codec.h"
#include "sequoiapath/state/key_value_client.h"
#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

namespace internal {
struct KeyValueBatchClientState;
}  // namespace internal

// Receives the result of a write: empty if it has succeeded. After a failure it
// may have been executed, or may be executed later.
using KeyValueWriteCallback =
    std::function<void(std::optional<KeyValueFailure> failure)>;

// A read of all items of a prefix.
struct KeyValueRead {
  std::string prefix;
  // Failed calls are repeated until this time.
  TimePoint give_up;
  // Receives the items of each page as it arrives.
  std::function<void(const std::vector<KeyValueItem>& items)> on_page;
  // Called once after the last page. `complete` is false if the read was given
  // up.
  std::function<void(bool complete)> on_end;
};

// Calls the service over HTTP on connections of its own. Thread safety: loop
// thread only.
class KeyValueBatchClient {
 public:
  ~KeyValueBatchClient();
  KeyValueBatchClient(const KeyValueBatchClient&) = delete;
  KeyValueBatchClient& operator=(const KeyValueBatchClient&) = delete;

  // Writes the items in one transaction without a precondition. They last for
  // at least the client's retention after the call; the service removes them
  // within 65 s after that. Writes of one minute share a lease, which is not
  // renewed. The callback is called once, after 3 s at the latest. A write
  // whose reply was lost may be repeated with the same items. Preconditions: no
  // write is in flight; at most 32 items.
  void Write(std::vector<KeyValueItem> items,
             const KeyValueWriteCallback& callback);

  // Reads the items of a prefix page by page.
  void Read(KeyValueRead read);

  const KeyValueCounts& Counts() const;

 private:
  friend class KeyValueBatchClientBuilder;
  explicit KeyValueBatchClient(
      std::unique_ptr<internal::KeyValueBatchClientState> state);

  std::unique_ptr<internal::KeyValueBatchClientState> state;
};

// Builds a KeyValueBatchClient.
class KeyValueBatchClientBuilder {
 public:
  // Preconditions: `loop` outlives the client; the codec is complete.
  KeyValueBatchClientBuilder(EventLoop* loop, Endpoint endpoint,
                             KeyValueCodec codec);

  // Sets how long written items last at least. The default is 120 s.
  KeyValueBatchClientBuilder& Retention(std::chrono::milliseconds retention);

  std::unique_ptr<KeyValueBatchClient> Build();

 private:
  EventLoop* loop;
  Endpoint endpoint;
  KeyValueCodec codec;
  std::chrono::milliseconds retention{std::chrono::seconds(120)};
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_KEY_VALUE_BATCH_CLIENT_H_
