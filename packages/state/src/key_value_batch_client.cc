#include "sequoiapath/state/key_value_batch_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

// One write and a few reads are in flight.
constexpr std::size_t kMaxConnections = 4;
// The service usually answers within milliseconds, but may take a hundred times
// as long.
constexpr milliseconds kCallTimeout{1500};
// A page of 1 MB takes 4.2 s on a link of 2 Mbit/s. The timeout of a read
// doubles up to this value, so that a lost reply is noticed sooner.
constexpr milliseconds kLongestReadTimeout{6000};
constexpr milliseconds kConnectTimeout{500};
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kFirstRetryDelay = milliseconds(100);
constexpr Duration kLongestRetryDelay = milliseconds(800);
// Writes share a lease for this long, because a new lease costs a call.
constexpr milliseconds kLeaseSharing{std::chrono::minutes(1)};
// Time from the call of Write until the service has executed it.
constexpr milliseconds kWriteMargin{std::chrono::seconds(5)};

struct KeyValueBatchClientState {
  EventLoop* loop = nullptr;
  KeyValueCodec codec;
  milliseconds retention{0};
  std::unique_ptr<HttpClient> http;
  std::optional<std::uint64_t> lease;
  TimePoint lease_requested;  // When the grant of `lease` was sent.
  KeyValueCounts counts;
};

namespace {

struct ReadProgress {
  KeyValueRead read;
  std::string after;  // Key of the last item that was read.
  milliseconds timeout = kCallTimeout;
  Duration retry_delay = kFirstRetryDelay;
};

void EndWrite(KeyValueBatchClientState* client,
              const KeyValueWriteCallback& callback,
              std::optional<KeyValueFailure> failure) {
  if (failure) {
    ++client->counts.failures;
    // The lease may have ended early, also if the reply did not say so.
    client->lease.reset();
  }
  callback(failure);
}

void PutItems(KeyValueBatchClientState* client,
              const std::vector<KeyValueItem>& items,
              const KeyValueWriteCallback& callback) {
  ++client->counts.writes;
  client->http->Send(
      client->codec.encode_put_all(items, *client->lease), kCallTimeout,
      [client, callback](const HttpResult& result) {
        EndWrite(client, callback, client->codec.decode_put(result));
      });
}

void GrantLease(KeyValueBatchClientState* client,
                std::vector<KeyValueItem> items,
                const KeyValueWriteCallback& callback) {
  ++client->counts.writes;
  client->lease.reset();
  client->lease_requested = client->loop->Now();
  const milliseconds ttl = client->retention + kLeaseSharing + kWriteMargin;
  client->http->Send(
      client->codec.encode_grant(ttl), kCallTimeout,
      [client, items = std::move(items), callback](const HttpResult& result) {
        const auto lease = client->codec.decode_lease(result);
        if (const auto* failure = std::get_if<KeyValueFailure>(&lease)) {
          EndWrite(client, callback, *failure);
          return;
        }
        client->lease = std::get<std::uint64_t>(lease);
        PutItems(client, items, callback);
      });
}

void ReadPage(KeyValueBatchClientState* client, ReadProgress progress);

void RetryRead(KeyValueBatchClientState* client, ReadProgress progress) {
  ++client->counts.failures;
  const Duration delay = progress.retry_delay;
  if (client->loop->Now() + delay >= progress.read.give_up) {
    progress.read.on_end(/*complete=*/false);
    return;
  }
  progress.timeout = std::min(progress.timeout * 2, kLongestReadTimeout);
  progress.retry_delay = std::min(delay * 2, kLongestRetryDelay);
  client->loop->Schedule(delay, [client, progress = std::move(progress)] {
    ReadPage(client, progress);
  });
}

void OnPage(KeyValueBatchClientState* client, ReadProgress progress,
            const KeyValuePageResult& result) {
  const auto* page = std::get_if<KeyValuePage>(&result);
  if (page == nullptr) {
    RetryRead(client, std::move(progress));
    return;
  }
  progress.read.on_page(page->items);
  if (!page->more || page->items.empty()) {
    progress.read.on_end(/*complete=*/true);
    return;
  }
  progress.after = page->items.back().key;
  progress.retry_delay = kFirstRetryDelay;
  ReadPage(client, std::move(progress));
}

void ReadPage(KeyValueBatchClientState* client, ReadProgress progress) {
  ++client->counts.ranges;
  HttpRequest request =
      client->codec.encode_range(progress.read.prefix, progress.after);
  const milliseconds timeout = progress.timeout;
  client->http->Send(
      std::move(request), timeout,
      [client, progress = std::move(progress)](const HttpResult& result) {
        OnPage(client, progress, client->codec.decode_page(result));
      });
}

}  // namespace
}  // namespace internal

KeyValueBatchClient::KeyValueBatchClient(
    std::unique_ptr<internal::KeyValueBatchClientState> state)
    : state(std::move(state)) {}

KeyValueBatchClient::~KeyValueBatchClient() {
  // Timers and calls in flight have pointers to the state, so it is not freed.
  // A client exists until its process ends.
  static_cast<void>(this->state.release());
}

void KeyValueBatchClient::Write(std::vector<KeyValueItem> items,
                                const KeyValueWriteCallback& callback) {
  internal::KeyValueBatchClientState* client = this->state.get();
  const Duration age = client->loop->Now() - client->lease_requested;
  if (client->lease && age <= internal::kLeaseSharing) {
    internal::PutItems(client, items, callback);
  } else {
    internal::GrantLease(client, std::move(items), callback);
  }
}

void KeyValueBatchClient::Read(KeyValueRead read) {
  internal::ReadProgress progress;
  progress.read = std::move(read);
  internal::ReadPage(this->state.get(), std::move(progress));
}

const KeyValueCounts& KeyValueBatchClient::Counts() const {
  return this->state->counts;
}

KeyValueBatchClientBuilder::KeyValueBatchClientBuilder(EventLoop* loop,
                                                       Endpoint endpoint,
                                                       KeyValueCodec codec)
    : loop(loop), endpoint(std::move(endpoint)), codec(codec) {}

KeyValueBatchClientBuilder& KeyValueBatchClientBuilder::Retention(
    std::chrono::milliseconds retention) {
  this->retention = retention;
  return *this;
}

std::unique_ptr<KeyValueBatchClient> KeyValueBatchClientBuilder::Build() {
  auto state = std::make_unique<internal::KeyValueBatchClientState>();
  state->loop = this->loop;
  state->codec = this->codec;
  state->retention = this->retention;
  state->http = HttpClientBuilder(this->loop, this->endpoint)
                    .MaxConnections(internal::kMaxConnections)
                    .IdleTimeout(internal::kIdleTimeout)
                    .ConnectTimeout(internal::kConnectTimeout)
                    .Build();
  return std::unique_ptr<KeyValueBatchClient>(
      new KeyValueBatchClient(std::move(state)));
}

}  // namespace sequoiapath
