#include "sequoiapath/state/store_client.h"

#include <fmt/format.h>

#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr int kStatusOk = 200;

Failure StoreFailure(Verdict verdict, std::string detail) {
  return {verdict, Reason::kStoreUnavailable, RetryAdvice::kSameSequence,
          std::nullopt, std::move(detail)};
}

Result<std::string> ToBody(HttpResult result) {
  if (const auto* error = std::get_if<HttpError>(&result)) {
    return StoreFailure(
        error->may_have_been_sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
        fmt::format("{}: {}", ToString(error->kind), error->message));
  }
  auto& response = std::get<HttpResponse>(result);
  if (response.status != kStatusOk) {
    return StoreFailure(
        Verdict::kMayHaveRun,
        fmt::format("the store answered with status {}", response.status));
  }
  return std::move(response.body);
}

HttpRequest MakePost(std::string_view path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(path);
  request.headers = {{"content-type", "application/json"}};
  request.body = std::move(body);
  return request;
}

}  // namespace
}  // namespace internal

StoreClient::StoreClient(EventLoop* loop,
                         const std::vector<Endpoint>& endpoints,
                         Duration timeout)
    : loop(loop), timeout(timeout) {
  for (const Endpoint& endpoint : endpoints) {
    this->clients.push_back(HttpClientBuilder(loop, endpoint).Build());
  }
}

void StoreClient::GetKey(const std::string& key,
                         std::function<void(Result<RangeReply>)> callback) {
  this->Range(EncodeRangeKey(key), std::move(callback));
}

void StoreClient::GetPrefix(const std::string& prefix,
                            std::function<void(Result<RangeReply>)> callback) {
  this->Range(EncodeRangePrefix(prefix), std::move(callback));
}

void StoreClient::GetLast(const std::string& prefix,
                          std::function<void(Result<RangeReply>)> callback) {
  this->Range(EncodeRangeLast(prefix), std::move(callback));
}

void StoreClient::Range(std::string body,
                        std::function<void(Result<RangeReply>)> callback) {
  this->Post(kStoreRangePath, std::move(body),
             [callback = std::move(callback)](Result<std::string> result) {
               if (const Failure* failure = GetFailure(result)) {
                 callback(*failure);
                 return;
               }
               callback(DecodeRangeReply(std::get<std::string>(result)));
             });
}

void StoreClient::Commit(const StoreTxn& txn,
                         std::function<void(Result<TxnReply>)> callback) {
  this->Post(kStoreTxnPath, EncodeTxn(txn),
             [callback = std::move(callback)](Result<std::string> result) {
               if (const Failure* failure = GetFailure(result)) {
                 callback(*failure);
                 return;
               }
               callback(DecodeTxnReply(std::get<std::string>(result)));
             });
}

std::unique_ptr<StoreWatch> StoreClient::Watch(StoreWatchOptions options,
                                               StoreWatchHandlers handlers) {
  return std::make_unique<StoreWatch>(this->loop, this, std::move(options),
                                      std::move(handlers));
}

StoreStreamId StoreClient::Stream(
    std::string_view path, std::string body, Duration max_duration,
    HttpChunkCallback on_chunk,
    std::function<void(Result<std::string>)> on_end) {
  const std::size_t client_index = this->current_client;
  const HttpRequestId request = this->clients[client_index]->SendStreaming(
      internal::MakePost(path, std::move(body)), max_duration,
      std::move(on_chunk),
      this->MakeReplyHandler(client_index, std::move(on_end)));
  return {client_index, request};
}

void StoreClient::CancelStream(StoreStreamId id) {
  if (id.request != 0) this->clients[id.client]->Cancel(id.request);
}

void StoreClient::Post(std::string_view path, std::string body,
                       BodyCallback callback) {
  const std::size_t client_index = this->current_client;
  this->clients[client_index]->Send(
      internal::MakePost(path, std::move(body)), this->timeout,
      this->MakeReplyHandler(client_index, std::move(callback)));
}

HttpCallback StoreClient::MakeReplyHandler(std::size_t client_index,
                                           BodyCallback callback) {
  return
      [this, client_index, callback = std::move(callback)](HttpResult result) {
        const auto* error = std::get_if<HttpError>(&result);
        const bool cancelled =
            error != nullptr && error->kind == HttpErrorKind::kCancelled;
        Result<std::string> reply = internal::ToBody(std::move(result));
        if (GetFailure(reply) != nullptr && !cancelled &&
            this->current_client == client_index) {
          this->current_client = (client_index + 1) % this->clients.size();
        }
        callback(std::move(reply));
      };
}

}  // namespace sequoiapath
