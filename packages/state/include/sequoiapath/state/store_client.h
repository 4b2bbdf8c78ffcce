// Defines StoreClient, which calls the platform's key-value service.

#ifndef SEQUOIAPATH_STATE_STORE_CLIENT_H_
#define SEQUOIAPATH_STATE_STORE_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sequoiapath/protocol/store_api.h"
#include "sequoiapath/state/store_watch.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {

// Identifies a streamed call; a zero request names none.
struct StoreStreamId {
  std::size_t client = 0;
  HttpRequestId request = 0;
};

// Sends calls to one of the service's endpoints and moves to the next endpoint
// after a failed call. A failed call is not repeated here, because a
// transaction may have taken effect; its failure carries kMayHaveRun in that
// case. Thread safety: loop thread only.
class StoreClient {
 public:
  // Preconditions: `loop` outlives the client; `endpoints` is not empty.
  StoreClient(EventLoop* loop, const std::vector<Endpoint>& endpoints,
              Duration timeout);

  // Reads one key.
  void GetKey(const std::string& key,
              std::function<void(Result<RangeReply>)> callback);

  // Reads all keys with `prefix`.
  void GetPrefix(const std::string& prefix,
                 std::function<void(Result<RangeReply>)> callback);

  // Reads the last key with `prefix`.
  void GetLast(const std::string& prefix,
               std::function<void(Result<RangeReply>)> callback);

  // Watches one key; the watch ends when the result is destroyed.
  // Precondition: the client outlives the watch.
  std::unique_ptr<StoreWatch> Watch(StoreWatchOptions options,
                                    StoreWatchHandlers handlers);

  // Sends a call whose reply arrives in chunks. `on_end` is called once when
  // the reply ends or fails.
  StoreStreamId Stream(std::string_view path, std::string body,
                       Duration max_duration, HttpChunkCallback on_chunk,
                       std::function<void(Result<std::string>)> on_end);

  // Ends a streamed call early; its `on_end` gets a failure, possibly during
  // this call. Has no effect on a finished call.
  void CancelStream(StoreStreamId id);

  // Runs a transaction.
  void Commit(const StoreTxn& txn,
              std::function<void(Result<TxnReply>)> callback);

 private:
  using BodyCallback = std::function<void(Result<std::string>)>;
  void Post(std::string_view path, std::string body, BodyCallback callback);
  HttpCallback OnReply(std::size_t used, BodyCallback callback);
  void Range(std::string body,
             std::function<void(Result<RangeReply>)> callback);

  EventLoop* loop;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::size_t current = 0;
  Duration timeout;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_STORE_CLIENT_H_
