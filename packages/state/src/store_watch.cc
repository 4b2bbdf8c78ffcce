#include "sequoiapath/state/store_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sequoiapath/state/log.h"
#include "sequoiapath/state/store_client.h"

namespace sequoiapath {
namespace internal {

// Time limit of the streaming request. The idle timer replaces a stream that
// receives no data much earlier.
constexpr auto kStreamTimeout = std::chrono::hours(24);
// A line contains a value of up to 1 MiB in base64, and several values if the
// store batches events.
constexpr std::size_t kMaxLineBytes = std::size_t{16} << 20;

// Shared with the callbacks of requests and timers, which may run after the
// watch is destroyed. `closed` is true from then on.
struct StoreWatchState : std::enable_shared_from_this<StoreWatchState> {
  EventLoop* loop = nullptr;
  StoreClient* client = nullptr;
  StoreWatchOptions options;
  StoreWatchHandlers handlers;
  std::int64_t next_revision = 1;
  Duration retry_delay{};
  StoreStreamId stream;
  std::string buffer;
  TimerId idle_timer = 0;
  TimerId retry_timer = 0;
  bool closed = false;
  // Identifies the current stream; chunks of earlier streams are ignored.
  std::uint64_t attempt = 0;
};

namespace {

void Connect(StoreWatchState* watch);

// Cancels the current stream, if any.
void Disconnect(StoreWatchState* watch) {
  ++watch->attempt;
  watch->loop->Cancel(std::exchange(watch->idle_timer, 0));
  watch->loop->Cancel(std::exchange(watch->retry_timer, 0));
  watch->client->CancelStream(std::exchange(watch->stream, {}));
  watch->buffer.clear();
}

void Close(StoreWatchState* watch) {
  if (std::exchange(watch->closed, true)) return;
  Disconnect(watch);
}

void Reset(StoreWatchState* watch, const std::string& reason) {
  Close(watch);
  const auto on_reset = std::move(watch->handlers.on_reset);
  if (on_reset) on_reset(reason);
}

// Replaces the stream after a delay that doubles with each consecutive failure.
void Reconnect(StoreWatchState* watch, const std::string& reason) {
  Disconnect(watch);
  Log(LogLevel::kDebug, "store_watch_ended",
      {{"key", watch->options.key}, {"detail", reason}});
  watch->retry_timer =
      watch->loop->Schedule(watch->retry_delay, [watch] { Connect(watch); });
  watch->retry_delay =
      std::min(watch->retry_delay * 2, watch->options.max_retry_delay);
}

void RestartIdleTimer(StoreWatchState* watch) {
  watch->loop->Cancel(watch->idle_timer);
  watch->idle_timer =
      watch->loop->Schedule(watch->options.idle_timeout, [watch] {
        watch->idle_timer = 0;
        Disconnect(watch);
        Connect(watch);
      });
}

void OnEvents(StoreWatchState* watch, const WatchReply& reply) {
  for (const StoreEvent& event : reply.events) {
    // A new stream may repeat events that the previous stream has delivered.
    if (event.entry.mod_revision < watch->next_revision) continue;
    watch->next_revision = event.entry.mod_revision + 1;
    watch->handlers.on_event(event);
    if (watch->closed) return;
  }
}

void OnLine(StoreWatchState* watch, std::string_view line) {
  const auto decoded = DecodeWatchReply(line);
  if (const Failure* failure = GetFailure(decoded)) {
    Reconnect(watch, failure->detail);
    return;
  }
  const auto& reply = std::get<WatchReply>(decoded);
  if (reply.compact_revision > 0) {
    Reset(watch,
          fmt::format("the start revision was compacted; the compact revision "
                      "is {}",
                      reply.compact_revision));
  } else if (reply.canceled) {
    Reconnect(watch, "the store cancelled the watch");
  } else if (reply.created && reply.revision < watch->next_revision - 1) {
    Reset(watch, fmt::format("the store is at revision {}, but revision {} was "
                             "received before",
                             reply.revision, watch->next_revision - 1));
  } else {
    watch->retry_delay = watch->options.retry_delay;
    OnEvents(watch, reply);
    // A progress notification: all events up to its revision were delivered.
    if (!watch->closed && !reply.created && reply.events.empty()) {
      watch->next_revision = std::max(watch->next_revision, reply.revision + 1);
    }
  }
}

void OnChunk(StoreWatchState* watch, std::string_view chunk) {
  const auto keep_alive = watch->shared_from_this();
  const std::uint64_t attempt = watch->attempt;
  RestartIdleTimer(watch);
  watch->buffer += chunk;
  if (watch->buffer.size() > kMaxLineBytes) {
    Reconnect(watch,
              fmt::format("{} bytes of the watch reply are buffered; allowed: "
                          "at most {}",
                          watch->buffer.size(), kMaxLineBytes));
    return;
  }
  // A handler may close the watch or replace the stream.
  while (!watch->closed && watch->attempt == attempt) {
    const std::size_t end = watch->buffer.find('\n');
    if (end == std::string::npos) return;
    const std::string line = watch->buffer.substr(0, end);
    watch->buffer.erase(0, end + 1);
    if (!line.empty()) OnLine(watch, line);
  }
}

void Connect(StoreWatchState* watch) {
  watch->retry_timer = 0;
  const std::uint64_t attempt = ++watch->attempt;
  const std::weak_ptr<StoreWatchState> weak = watch->weak_from_this();
  const auto current = [weak, attempt]() -> std::shared_ptr<StoreWatchState> {
    auto alive = weak.lock();
    const bool is_current =
        alive != nullptr && !alive->closed && alive->attempt == attempt;
    return is_current ? alive : nullptr;
  };
  watch->stream = watch->client->Stream(
      kStoreWatchPath, EncodeWatch(watch->options.key, watch->next_revision),
      kStreamTimeout,
      [current](std::string_view chunk) {
        if (const auto alive = current()) OnChunk(alive.get(), chunk);
      },
      [current](const Result<std::string>& result) {
        const auto alive = current();
        if (alive == nullptr) return;
        alive->stream = {};
        const Failure* failure = GetFailure(result);
        Reconnect(alive.get(), failure == nullptr ? "the store ended the stream"
                                                  : failure->detail);
      });
  RestartIdleTimer(watch);
}

}  // namespace
}  // namespace internal

StoreWatch::StoreWatch(EventLoop* loop, StoreClient* client,
                       StoreWatchOptions options, StoreWatchHandlers handlers)
    : state(std::make_shared<internal::StoreWatchState>()) {
  this->state->loop = loop;
  this->state->client = client;
  this->state->next_revision = options.start_revision;
  this->state->retry_delay = options.retry_delay;
  this->state->options = std::move(options);
  this->state->handlers = std::move(handlers);
  internal::Connect(this->state.get());
}

StoreWatch::~StoreWatch() { internal::Close(this->state.get()); }

}  // namespace sequoiapath
