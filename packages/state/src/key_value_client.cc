#include "sequoiapath/state/key_value_client.h"

#include <algorithm>
#include <map>
#include <utility>

#include "sequoiapath/state/log.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {
namespace internal {

using std::chrono::milliseconds;

// One watch of each prefix and one call for the lease are in flight at a time.
constexpr std::size_t kMaxConnections = 8;
// A pending watch counts as one call, so it waits long, but not so long that
// the history since its revision may be discarded meanwhile.
constexpr milliseconds kWatchWait{15'000};
// A busy prefix changes all the time: no reply for this long is an outage.
constexpr milliseconds kBusyWatchWait{1200};
constexpr milliseconds kBusyWatchSlack{700};
// The service answers in milliseconds; it may be slow by a hundred times.
constexpr milliseconds kCallTimeout{1500};
constexpr milliseconds kConnectTimeout{500};
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kFirstRetry = milliseconds(100);
constexpr Duration kLongestRetry = milliseconds(800);
// Changes that come in quick succession arrive in one reply.
constexpr Duration kWatchPause = milliseconds(20);
// A lease is renewed so many times within its time to live.
constexpr int kRenewalsPerTtl = 3;

// A prefix that is followed.
struct FollowedPrefix {
  std::string prefix;
  KeyValueObserver observer;
  // Set for a prefix that changes all the time: the pause between watches.
  std::function<Duration()> busy_pause;
  HttpRequestId watch = 0;  // In flight.
  bool restart = false;     // The watch is cancelled to be sent again.
  std::uint64_t revision = 0;
  bool listed = false;
  KeyValuePage listing;  // While pages arrive.
  Duration retry = kFirstRetry;
  bool failing = false;
};

struct KeptKey {
  KeyValueItem item;
  milliseconds ttl{0};
  std::uint64_t lease = 0;  // Zero: none.
  bool written = false;
  Duration retry = kFirstRetry;
  bool failing = false;
};

struct KeyValueClientState {
  EventLoop* loop = nullptr;
  KeyValueCodec codec;
  std::unique_ptr<HttpClient> http;
  std::vector<std::unique_ptr<FollowedPrefix>> followed;
  KeptKey kept;
  TimePoint last_answer;
  KeyValueCounts counts;
  bool ending = false;
  // A call was not answered since the watches were last sent.
  bool outage = false;
};

namespace {

// After an outage the service may have forgotten a pending watch although its
// connection is still open, so the watches are sent again.
void RestartWatches(KeyValueClientState* client) {
  for (const auto& followed : client->followed) {
    if (followed->watch == 0) continue;
    followed->restart = true;
    client->http->Cancel(followed->watch);
  }
}

void NoteResult(KeyValueClientState* client, const HttpResult& result) {
  if (std::holds_alternative<HttpResponse>(result)) {
    client->last_answer = client->loop->Now();
    if (!std::exchange(client->outage, false)) return;
    client->loop->Schedule(Duration::zero(),
                           [client] { RestartWatches(client); });
  } else if (std::get<HttpError>(result).kind != HttpErrorKind::kCancelled) {
    client->outage = true;
  }
}

// Logs the first of several failures in a row and the recovery.
void LogTransition(const std::string& subject, bool* failing, bool failed,
                   const char* detail) {
  if (*failing == failed) return;
  *failing = failed;
  Log(failed ? LogLevel::kWarning : LogLevel::kInfo,
      failed ? "store_lost" : "store_regained",
      {{"subject", subject}, {"detail", detail}});
}

Duration NextRetry(Duration* retry) {
  const Duration now = *retry;
  *retry = std::min<Duration>(*retry * 2, kLongestRetry);
  return now;
}

void List(KeyValueClientState* client, FollowedPrefix* followed);
void Watch(KeyValueClientState* client, FollowedPrefix* followed);

void RetryFollow(KeyValueClientState* client, FollowedPrefix* followed,
                 KeyValueFailure failure) {
  ++client->counts.failures;
  LogTransition(followed->prefix, &followed->failing, true, ToString(failure));
  if (failure == KeyValueFailure::kRevisionCompacted) followed->listed = false;
  client->loop->Schedule(NextRetry(&followed->retry), [client, followed] {
    if (followed->listed) {
      Watch(client, followed);
    } else {
      followed->listing = {};
      List(client, followed);
    }
  });
}

void NoteFollowed(FollowedPrefix* followed) {
  followed->retry = kFirstRetry;
  LogTransition(followed->prefix, &followed->failing, false, "answered");
}

void OnListed(KeyValueClientState* client, FollowedPrefix* followed,
              KeyValuePageResult result) {
  if (const auto* failure = std::get_if<KeyValueFailure>(&result)) {
    RetryFollow(client, followed, *failure);
    return;
  }
  NoteFollowed(followed);
  auto& page = std::get<KeyValuePage>(result);
  KeyValuePage& listing = followed->listing;
  // Pages are no snapshot: the watch goes on from the first page's revision, so
  // that changes during the listing are seen again.
  if (listing.revision == 0) listing.revision = page.revision;
  std::move(page.items.begin(), page.items.end(),
            std::back_inserter(listing.items));
  if (page.more && !page.items.empty()) {
    List(client, followed);
    return;
  }
  followed->listed = true;
  followed->revision = listing.revision;
  followed->observer(listing, /*complete=*/true);
  listing = {};
  Watch(client, followed);
}

void List(KeyValueClientState* client, FollowedPrefix* followed) {
  ++client->counts.ranges;
  const auto& items = followed->listing.items;
  const std::string after = items.empty() ? "" : items.back().key;
  client->http->Send(
      client->codec.encode_range(followed->prefix, after), kCallTimeout,
      [client, followed](const HttpResult& result) {
        NoteResult(client, result);
        OnListed(client, followed, client->codec.decode_page(result));
      });
}

void OnWatched(KeyValueClientState* client, FollowedPrefix* followed,
               KeyValuePageResult result) {
  if (const auto* failure = std::get_if<KeyValueFailure>(&result)) {
    RetryFollow(client, followed, *failure);
    return;
  }
  NoteFollowed(followed);
  const auto& page = std::get<KeyValuePage>(result);
  followed->revision = std::max(followed->revision, page.revision);
  if (!page.items.empty() || !page.removed.empty()) {
    followed->observer(page, /*complete=*/false);
  }
  const Duration pause =
      followed->busy_pause ? followed->busy_pause() : kWatchPause;
  client->loop->Schedule(pause,
                         [client, followed] { Watch(client, followed); });
}

void Watch(KeyValueClientState* client, FollowedPrefix* followed) {
  ++client->counts.watches;
  const milliseconds wait = followed->busy_pause ? kBusyWatchWait : kWatchWait;
  const milliseconds slack =
      followed->busy_pause ? kBusyWatchSlack : kCallTimeout;
  followed->watch = client->http->Send(
      client->codec.encode_watch(followed->prefix, followed->revision, wait),
      wait + slack, [client, followed](const HttpResult& result) {
        followed->watch = 0;
        if (std::exchange(followed->restart, false) &&
            std::holds_alternative<HttpError>(result)) {
          Watch(client, followed);
          return;
        }
        NoteResult(client, result);
        OnWatched(client, followed, client->codec.decode_page(result));
      });
}

void Grant(KeyValueClientState* client);

void RetryKeep(KeyValueClientState* client, KeyValueFailure failure) {
  ++client->counts.failures;
  LogTransition(client->kept.item.key, &client->kept.failing, true,
                ToString(failure));
  client->loop->Schedule(NextRetry(&client->kept.retry),
                         [client] { Grant(client); });
}

void Renew(KeyValueClientState* client);

void ScheduleRenewal(KeyValueClientState* client) {
  client->kept.retry = kFirstRetry;
  LogTransition(client->kept.item.key, &client->kept.failing, false,
                "answered");
  client->loop->Schedule(client->kept.ttl / kRenewalsPerTtl,
                         [client] { Renew(client); });
}

void Write(KeyValueClientState* client) {
  ++client->counts.writes;
  client->http->Send(
      client->codec.encode_put(client->kept.item, client->kept.lease),
      kCallTimeout, [client](const HttpResult& result) {
        NoteResult(client, result);
        const auto failure = client->codec.decode_put(result);
        if (failure) {
          // The write may have been done; it is repeated under a new lease.
          RetryKeep(client, *failure);
          return;
        }
        client->kept.written = true;
        ScheduleRenewal(client);
      });
}

void Grant(KeyValueClientState* client) {
  if (client->ending) return;
  client->kept.written = false;
  client->kept.lease = 0;
  ++client->counts.writes;
  client->http->Send(
      client->codec.encode_grant(client->kept.ttl), kCallTimeout,
      [client](const HttpResult& result) {
        NoteResult(client, result);
        const auto lease = client->codec.decode_lease(result);
        if (const auto* failure = std::get_if<KeyValueFailure>(&lease)) {
          RetryKeep(client, *failure);
          return;
        }
        client->kept.lease = std::get<std::uint64_t>(lease);
        Write(client);
      });
}

void Renew(KeyValueClientState* client) {
  if (client->ending) return;
  ++client->counts.renewals;
  client->http->Send(
      client->codec.encode_renewal(client->kept.lease), kCallTimeout,
      [client](const HttpResult& result) {
        NoteResult(client, result);
        const auto lease = client->codec.decode_lease(result);
        const auto* failure = std::get_if<KeyValueFailure>(&lease);
        if (failure == nullptr) {
          ScheduleRenewal(client);
        } else if (*failure == KeyValueFailure::kNotFound) {
          Grant(client);
        } else {
          ++client->counts.failures;
          LogTransition(client->kept.item.key, &client->kept.failing, true,
                        ToString(*failure));
          client->loop->Schedule(NextRetry(&client->kept.retry),
                                 [client] { Renew(client); });
        }
      });
}

}  // namespace
}  // namespace internal

KeyValueClient::KeyValueClient(
    std::unique_ptr<internal::KeyValueClientState> state)
    : state(std::move(state)) {}

KeyValueClient::~KeyValueClient() {
  // Timers and pending watches keep pointers to the state, so it is not freed;
  // a client lives as long as its process.
  static_cast<void>(this->state.release());
}

void KeyValueClient::WatchPrefix(std::string prefix,
                                 KeyValueObserver observer) {
  auto followed = std::make_unique<internal::FollowedPrefix>();
  followed->prefix = std::move(prefix);
  followed->observer = std::move(observer);
  internal::FollowedPrefix* added = followed.get();
  this->state->followed.push_back(std::move(followed));
  internal::List(this->state.get(), added);
}

void KeyValueClient::WatchBusyPrefix(std::string prefix,
                                     std::function<Duration()> pause,
                                     KeyValueObserver observer) {
  this->WatchPrefix(std::move(prefix), std::move(observer));
  this->state->followed.back()->busy_pause = std::move(pause);
}

void KeyValueClient::PutWithLease(KeyValueItem item,
                                  std::chrono::milliseconds ttl) {
  this->state->kept.item = std::move(item);
  this->state->kept.ttl = ttl;
  internal::Grant(this->state.get());
}

void KeyValueClient::RevokeLease() {
  this->state->ending = true;
  if (this->state->kept.lease == 0) return;
  this->state->http->Send(
      this->state->codec.encode_revocation(this->state->kept.lease),
      internal::kCallTimeout, [](const HttpResult& result) {
        if (std::holds_alternative<HttpError>(result)) {
          Log(LogLevel::kWarning, "lease_end_unanswered",
              {{"detail", std::get<HttpError>(result).message}});
        }
      });
}

TimePoint KeyValueClient::LastResponseTime() const {
  return this->state->last_answer;
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
