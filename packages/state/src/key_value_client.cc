#include "sequoiapath/state/key_value_client.h"

#include <algorithm>
#include <map>
#include <utility>

#include "sequoiapath/state/log.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

// At most one watch of each prefix and one call for the lease are in flight.
constexpr std::size_t kMaxConnections = 8;
// Duration of a watch. The service counts a pending watch as one call, so a
// long duration saves calls, but the revision must not be compacted meanwhile.
constexpr milliseconds kWatchWait{15'000};
// Duration of a watch of a busy prefix, which changes at least once per second.
// If there is no reply within this time plus the margin, this counts as an
// outage.
constexpr milliseconds kBusyWatchWait{1200};
constexpr milliseconds kBusyWatchTimeoutMargin{700};
// The service usually answers within milliseconds, but may take a hundred times
// as long.
constexpr milliseconds kCallTimeout{1500};
constexpr milliseconds kConnectTimeout{500};
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kFirstRetryDelay = milliseconds(100);
constexpr Duration kLongestRetryDelay = milliseconds(800);
// Pause between two watches, so that changes in quick succession arrive in one
// reply.
constexpr Duration kWatchPause = milliseconds(20);
// Number of renewals of a lease within its time to live.
constexpr int kRenewalsPerTtl = 3;

// A watched prefix.
struct WatchedPrefix {
  std::string prefix;
  KeyValueObserver observer;
  // Returns the pause between two watches; set for a busy prefix only.
  std::function<Duration()> busy_pause;
  HttpRequestId watch_request = 0;  // Id of the pending watch.
  TimePoint read_at;                // When the latest list or watch was sent.
  bool paused = false;              // Waiting to send the next watch.
  std::uint64_t pauses = 0;         // Number of pauses so far.
  bool resend_watch = false;        // The watch was cancelled to send it again.
  std::uint64_t revision = 0;       // The next watch returns later changes.
  bool listed = false;              // False: the next call lists the prefix.
  KeyValuePage listing;             // The pages of an incomplete list.
  Duration retry_delay = kFirstRetryDelay;
  bool failing = false;
};

// The item that the client keeps under a lease.
struct LeasedKey {
  KeyValueItem item;
  milliseconds ttl{0};
  std::uint64_t lease = 0;  // Lease id; zero: no lease.
  bool written = false;
  Duration retry_delay = kFirstRetryDelay;
  bool failing = false;
};

struct KeyValueClientState {
  EventLoop* loop = nullptr;
  KeyValueCodec codec;
  std::unique_ptr<HttpClient> http;
  std::vector<std::unique_ptr<WatchedPrefix>> watched_prefixes;
  LeasedKey leased_key;
  TimePoint last_response_time;
  KeyValueCounts counts;
  bool lease_revoked = false;
  // Whether a call has got no response since the service last responded.
  bool outage = false;
};

namespace {

// Cancels the pending watches and sends them again. After an outage the service
// may have lost a watch although its connection is still open.
void RestartWatches(KeyValueClientState* client) {
  for (const auto& watched : client->watched_prefixes) {
    if (watched->watch_request == 0) continue;
    watched->resend_watch = true;
    client->http->Cancel(watched->watch_request);
  }
}

// Returns whether the service refused the call, so that this daemon learns
// nothing from it although the connection works.
bool IsRejection(const HttpResponse& response) {
  return response.status == kStatusTooManyRequests ||
         response.status == kStatusUnavailable;
}

// Records the time of a response with data. If an outage has ended, restarts
// the watches.
void RecordResult(KeyValueClientState* client, const HttpResult& result) {
  if (const auto* response = std::get_if<HttpResponse>(&result)) {
    if (!IsRejection(*response)) {
      client->last_response_time = client->loop->Now();
    }
    if (!std::exchange(client->outage, false)) return;
    client->loop->Schedule(Duration::zero(),
                           [client] { RestartWatches(client); });
  } else if (std::get<HttpError>(result).kind != HttpErrorKind::kCancelled) {
    client->outage = true;
  }
}

// Logs the first of several consecutive failures, and the recovery.
void LogTransition(const std::string& subject, bool* failing, bool failed,
                   const char* detail) {
  if (*failing == failed) return;
  *failing = failed;
  Log(failed ? LogLevel::kWarning : LogLevel::kInfo,
      failed ? "store_lost" : "store_regained",
      {{"subject", subject}, {"detail", detail}});
}

// Returns the current retry delay and doubles it for the next retry, up to a
// limit.
Duration TakeRetryDelay(Duration* retry_delay) {
  const Duration delay = *retry_delay;
  *retry_delay = std::min<Duration>(*retry_delay * 2, kLongestRetryDelay);
  return delay;
}

void ListPrefix(KeyValueClientState* client, WatchedPrefix* watched);
void SendWatch(KeyValueClientState* client, WatchedPrefix* watched);

void RetryWatch(KeyValueClientState* client, WatchedPrefix* watched,
                KeyValueFailure failure) {
  ++client->counts.failures;
  LogTransition(watched->prefix, &watched->failing, true, ToString(failure));
  if (failure == KeyValueFailure::kRevisionCompacted) watched->listed = false;
  client->loop->Schedule(TakeRetryDelay(&watched->retry_delay),
                         [client, watched] {
                           if (watched->listed) {
                             SendWatch(client, watched);
                           } else {
                             watched->listing = {};
                             ListPrefix(client, watched);
                           }
                         });
}

void RecordWatchSuccess(WatchedPrefix* watched) {
  watched->retry_delay = kFirstRetryDelay;
  LogTransition(watched->prefix, &watched->failing, false, "answered");
}

void OnListReply(KeyValueClientState* client, WatchedPrefix* watched,
                 KeyValuePageResult result) {
  if (const auto* failure = std::get_if<KeyValueFailure>(&result)) {
    RetryWatch(client, watched, *failure);
    return;
  }
  RecordWatchSuccess(watched);
  auto& page = std::get<KeyValuePage>(result);
  KeyValuePage& listing = watched->listing;
  // The pages may have different revisions. The watch starts from that of the
  // first page, so that it returns all changes made while the pages were read.
  if (listing.revision == 0) listing.revision = page.revision;
  std::move(page.items.begin(), page.items.end(),
            std::back_inserter(listing.items));
  if (page.more && !page.items.empty()) {
    ListPrefix(client, watched);
    return;
  }
  watched->listed = true;
  watched->revision = listing.revision;
  watched->observer(listing, /*complete=*/true, watched->read_at);
  listing = {};
  SendWatch(client, watched);
}

void ListPrefix(KeyValueClientState* client, WatchedPrefix* watched) {
  ++client->counts.ranges;
  const auto& items = watched->listing.items;
  const std::string after = items.empty() ? "" : items.back().key;
  if (items.empty()) watched->read_at = client->loop->Now();
  client->http->Send(client->codec.encode_range(watched->prefix, after),
                     kCallTimeout, [client, watched](const HttpResult& result) {
                       RecordResult(client, result);
                       OnListReply(client, watched,
                                   client->codec.decode_page(result));
                     });
}

void EndPause(KeyValueClientState* client, WatchedPrefix* watched) {
  if (!std::exchange(watched->paused, false)) return;
  SendWatch(client, watched);
}

void OnWatchReply(KeyValueClientState* client, WatchedPrefix* watched,
                  KeyValuePageResult result) {
  if (const auto* failure = std::get_if<KeyValueFailure>(&result)) {
    RetryWatch(client, watched, *failure);
    return;
  }
  RecordWatchSuccess(watched);
  const auto& page = std::get<KeyValuePage>(result);
  watched->revision = std::max(watched->revision, page.revision);
  if (!page.items.empty() || !page.removed.empty()) {
    watched->observer(page, /*complete=*/false, watched->read_at);
  }
  const Duration pause =
      watched->busy_pause ? watched->busy_pause() : kWatchPause;
  watched->paused = true;
  client->loop->Schedule(pause, [client, watched, id = ++watched->pauses] {
    if (watched->pauses == id) EndPause(client, watched);
  });
}

void SendWatch(KeyValueClientState* client, WatchedPrefix* watched) {
  ++client->counts.watches;
  watched->read_at = client->loop->Now();
  const milliseconds wait = watched->busy_pause ? kBusyWatchWait : kWatchWait;
  const milliseconds timeout_margin =
      watched->busy_pause ? kBusyWatchTimeoutMargin : kCallTimeout;
  watched->watch_request = client->http->Send(
      client->codec.encode_watch(watched->prefix, watched->revision, wait),
      wait + timeout_margin, [client, watched](const HttpResult& result) {
        watched->watch_request = 0;
        if (std::exchange(watched->resend_watch, false) &&
            std::holds_alternative<HttpError>(result)) {
          SendWatch(client, watched);
          return;
        }
        RecordResult(client, result);
        OnWatchReply(client, watched, client->codec.decode_page(result));
      });
}

void GrantLease(KeyValueClientState* client);

void RetryGrant(KeyValueClientState* client, KeyValueFailure failure) {
  ++client->counts.failures;
  LogTransition(client->leased_key.item.key, &client->leased_key.failing, true,
                ToString(failure));
  client->loop->Schedule(TakeRetryDelay(&client->leased_key.retry_delay),
                         [client] { GrantLease(client); });
}

void RenewLease(KeyValueClientState* client);

void ScheduleRenewal(KeyValueClientState* client) {
  client->leased_key.retry_delay = kFirstRetryDelay;
  LogTransition(client->leased_key.item.key, &client->leased_key.failing, false,
                "answered");
  client->loop->Schedule(client->leased_key.ttl / kRenewalsPerTtl,
                         [client] { RenewLease(client); });
}

void PutLeasedKey(KeyValueClientState* client) {
  ++client->counts.writes;
  client->http->Send(client->codec.encode_put(client->leased_key.item,
                                              client->leased_key.lease),
                     kCallTimeout, [client](const HttpResult& result) {
                       RecordResult(client, result);
                       const auto failure = client->codec.decode_put(result);
                       if (failure) {
                         // The write may have been applied. It is repeated
                         // under a new lease.
                         RetryGrant(client, *failure);
                         return;
                       }
                       client->leased_key.written = true;
                       ScheduleRenewal(client);
                     });
}

void GrantLease(KeyValueClientState* client) {
  if (client->lease_revoked) return;
  client->leased_key.written = false;
  client->leased_key.lease = 0;
  ++client->counts.writes;
  client->http->Send(
      client->codec.encode_grant(client->leased_key.ttl), kCallTimeout,
      [client](const HttpResult& result) {
        RecordResult(client, result);
        const auto lease = client->codec.decode_lease(result);
        if (const auto* failure = std::get_if<KeyValueFailure>(&lease)) {
          RetryGrant(client, *failure);
          return;
        }
        client->leased_key.lease = std::get<std::uint64_t>(lease);
        PutLeasedKey(client);
      });
}

void RenewLease(KeyValueClientState* client) {
  if (client->lease_revoked) return;
  ++client->counts.renewals;
  client->http->Send(
      client->codec.encode_renewal(client->leased_key.lease), kCallTimeout,
      [client](const HttpResult& result) {
        RecordResult(client, result);
        const auto lease = client->codec.decode_lease(result);
        const auto* failure = std::get_if<KeyValueFailure>(&lease);
        if (failure == nullptr) {
          ScheduleRenewal(client);
        } else if (*failure == KeyValueFailure::kNotFound) {
          GrantLease(client);
        } else {
          ++client->counts.failures;
          LogTransition(client->leased_key.item.key,
                        &client->leased_key.failing, true, ToString(*failure));
          client->loop->Schedule(
              TakeRetryDelay(&client->leased_key.retry_delay),
              [client] { RenewLease(client); });
        }
      });
}

}  // namespace
}  // namespace internal

KeyValueClient::KeyValueClient(
    std::unique_ptr<internal::KeyValueClientState> state)
    : state(std::move(state)) {}

KeyValueClient::~KeyValueClient() {
  // Timers and pending watches have pointers to the state, so it is not freed.
  // A client exists until its process ends.
  static_cast<void>(this->state.release());
}

void KeyValueClient::WatchPrefix(std::string prefix,
                                 KeyValueObserver observer) {
  auto watched = std::make_unique<internal::WatchedPrefix>();
  watched->prefix = std::move(prefix);
  watched->observer = std::move(observer);
  internal::WatchedPrefix* added = watched.get();
  this->state->watched_prefixes.push_back(std::move(watched));
  internal::ListPrefix(this->state.get(), added);
}

void KeyValueClient::WatchBusyPrefix(std::string prefix,
                                     std::function<Duration()> pause,
                                     KeyValueObserver observer) {
  this->WatchPrefix(std::move(prefix), std::move(observer));
  this->state->watched_prefixes.back()->busy_pause = std::move(pause);
}

void KeyValueClient::EndWatchPause(std::string_view prefix) {
  for (const auto& watched : this->state->watched_prefixes) {
    if (watched->prefix == prefix) {
      internal::EndPause(this->state.get(), watched.get());
    }
  }
}

void KeyValueClient::PutWithLease(KeyValueItem item,
                                  std::chrono::milliseconds ttl) {
  this->state->leased_key.item = std::move(item);
  this->state->leased_key.ttl = ttl;
  internal::GrantLease(this->state.get());
}

void KeyValueClient::RevokeLease() {
  this->state->lease_revoked = true;
  if (this->state->leased_key.lease == 0) return;
  this->state->http->Send(
      this->state->codec.encode_revocation(this->state->leased_key.lease),
      internal::kCallTimeout, [](const HttpResult& result) {
        if (std::holds_alternative<HttpError>(result)) {
          Log(LogLevel::kWarning, "lease_end_unanswered",
              {{"detail", std::get<HttpError>(result).message}});
        }
      });
}

TimePoint KeyValueClient::LastResponseTime() const {
  return this->state->last_response_time;
}

const KeyValueCounts& KeyValueClient::Counts() const {
  return this->state->counts;
}

KeyValueClientBuilder::KeyValueClientBuilder(EventLoop* loop, Endpoint endpoint,
                                             KeyValueCodec codec)
    : loop(loop), endpoint(std::move(endpoint)), codec(codec) {}

std::unique_ptr<KeyValueClient> KeyValueClientBuilder::Build() {
  auto state = std::make_unique<internal::KeyValueClientState>();
  state->loop = this->loop;
  state->codec = this->codec;
  state->http = HttpClientBuilder(this->loop, this->endpoint)
                    .MaxConnections(internal::kMaxConnections)
                    .IdleTimeout(internal::kIdleTimeout)
                    .ConnectTimeout(internal::kConnectTimeout)
                    .Build();
  return std::unique_ptr<KeyValueClient>(new KeyValueClient(std::move(state)));
}

}  // namespace sequoiapath
