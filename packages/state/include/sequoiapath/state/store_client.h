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

// Identifies a streaming call; `request` is zero if there is no call.
struct StoreStreamId {
  std::size_t client = 0;
  HttpRequestId request = 0;
};

// Sends calls to one of the service's endpoints and switches to the next one
// after a failed call. The client does not retry a failed call, because a
// transaction may have taken effect; the verdict of the failure is kMayHaveRun
// in that case. Thread safety: loop thread only.
class StoreClient {
 public:
  // Preconditions: `loop` outlives the client; `endpoints` is not empty.
  StoreClient(EventLoop* loop, const std::vector<Endpoint>& endpoints,
              Duration timeout);

  // Reads one key.
  void GetKey(const std::string& key,
              std::function<void(Result<RangeReply>)> callback);

  // Reads all keys that begin with `prefix`.
  void GetPrefix(const std::string& prefix,
                 std::function<void(Result<RangeReply>)> callback);

  // Reads the last key, in sort order, that begins with `prefix`.
  void GetLast(const std::string& prefix,
               std::function<void(Result<RangeReply>)> callback);

  // Watches one key until the returned object is destroyed.
  // Precondition: the client outlives the watch.
  std::unique_ptr<StoreWatch> Watch(StoreWatchOptions options,
                                    StoreWatchHandlers handlers);

  // Sends a call whose reply arrives in chunks. Calls `on_end` once when the
  // reply ends or fails.
  StoreStreamId Stream(std::string_view path, std::string body,
                       Duration max_duration, HttpChunkCallback on_chunk,
                       std::function<void(Result<std::string>)> on_end);

  // Cancels a streaming call. Its `on_end` receives a failure, possibly before
  // this function returns. Has no effect on a finished call.
  void CancelStream(StoreStreamId id);

  // Runs a transaction.
  void Commit(const StoreTxn& txn,
              std::function<void(Result<TxnReply>)> callback);

 private:
  using BodyCallback = std::function<void(Result<std::string>)>;
  void Post(std::string_view path, std::string body, BodyCallback callback);
  HttpCallback MakeReplyHandler(std::size_t client_index,
                                BodyCallback callback);
  void Range(std::string body,
             std::function<void(Result<RangeReply>)> callback);

  EventLoop* loop;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::size_t current_client = 0;
  Duration timeout;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_STORE_CLIENT_H_
