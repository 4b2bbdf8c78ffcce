#include "sequoiapath/fakes/fake_store.h"

#include <fmt/format.h>

#include <list>
#include <nlohmann/json.hpp>
#include <utility>

#include "sequoiapath/fakes/store_data.h"
#include "sequoiapath/protocol/store_api.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {

using Json = nlohmann::json;

// Accepts requests with several base64-encoded values of 1 MiB.
constexpr std::size_t kMaxRequestBytes = std::size_t{8} << 20;
constexpr auto kLeaseExpiryInterval = std::chrono::milliseconds(20);
constexpr const char* kVmPrefix = "/platform/vms";

struct Watcher {
  HttpBodyStream stream;
  std::string key;
  std::string end;
  std::int64_t next_revision = 1;
  bool delivery_stopped = false;
};

struct FakeStoreState : std::enable_shared_from_this<FakeStoreState> {
  EventLoop* loop = nullptr;
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint;
  StoreData data;
  std::optional<StoreData> snapshot;
  std::list<Watcher> watchers;
  std::map<std::string, std::uint64_t> calls;
  bool down = false;
  std::chrono::milliseconds call_delay{0};
  std::chrono::milliseconds watch_delay{0};
  std::chrono::milliseconds progress_interval{0};
  int replies_to_drop = 0;
  int requests_to_drop = 0;
  TimerId lease_timer = 0;
  TimerId progress_timer = 0;
};

namespace {

void WriteResult(const Watcher& watcher, const Json& result) {
  if (watcher.delivery_stopped) return;
  watcher.stream.Write(Json{{"result", result}}.dump() + "\n");
}

// Sends each open watcher its undelivered events and removes closed watchers.
void DeliverEvents(FakeStoreState* store) {
  for (auto it = store->watchers.begin(); it != store->watchers.end();) {
    if (!it->stream.IsOpen()) {
      it = store->watchers.erase(it);
      continue;
    }
    Json events = StoreEvents(store->data, it->key, it->end, it->next_revision);
    it->next_revision = std::max(it->next_revision, store->data.revision + 1);
    if (!events.empty()) {
      WriteResult(*it, {{"header", StoreHeader(store->data)},
                        {"events", std::move(events)}});
    }
    ++it;
  }
}

void OnDataChanged(FakeStoreState* store) {
  if (store->watch_delay.count() == 0) {
    DeliverEvents(store);
    return;
  }
  const std::weak_ptr<FakeStoreState> weak = store->weak_from_this();
  store->loop->Schedule(store->watch_delay, [weak] {
    if (const auto locked = weak.lock()) DeliverEvents(locked.get());
  });
}

void CloseWatchers(FakeStoreState* store) {
  for (const Watcher& watcher : store->watchers) watcher.stream.Finish();
  store->watchers.clear();
}

void ExpireLeasesPeriodically(FakeStoreState* store) {
  store->lease_timer = 0;
  const std::int64_t before = store->data.revision;
  ExpireLeases(&store->data, store->loop->Now());
  if (store->data.revision != before) OnDataChanged(store);
  if (store->data.leases.empty()) return;
  store->lease_timer = store->loop->Schedule(
      kLeaseExpiryInterval, [store] { ExpireLeasesPeriodically(store); });
}

void SendProgress(FakeStoreState* store) {
  store->progress_timer = 0;
  if (store->progress_interval.count() == 0) return;
  for (const Watcher& watcher : store->watchers) {
    WriteResult(watcher, {{"header", StoreHeader(store->data)}});
  }
  store->progress_timer = store->loop->Schedule(
      store->progress_interval, [store] { SendProgress(store); });
}

void StartWatch(FakeStoreState* store, const Json& body,
                const HttpResponder& responder) {
  const Json& create = body.at("create_request");
  Watcher watcher{responder.StartStream({200, {}, ""}),
                  ReadStoreBytes(create, "key"),
                  ReadStoreBytes(create, "range_end"),
                  ReadStoreInt64(create, "start_revision")};
  if (watcher.next_revision == 0) {
    watcher.next_revision = store->data.revision + 1;
  }
  WriteResult(watcher,
              {{"header", StoreHeader(store->data)}, {"created", true}});
  if (watcher.next_revision <= store->data.compacted_revision) {
    WriteResult(watcher, {{"header", StoreHeader(store->data)},
                          {"canceled", true},
                          {"compact_revision",
                           std::to_string(store->data.compacted_revision)}});
    watcher.stream.Finish();
    return;
  }
  store->watchers.push_back(std::move(watcher));
  OnDataChanged(store);
}

enum class CallType { kRead, kWrite, kWatch, kUnknown };

struct CallRoute {
  std::string_view path;
  const char* name;
  CallType type;
};

constexpr CallRoute kCallRoutes[] = {
    {kStoreRangePath, "range", CallType::kRead},
    {kStorePutPath, "put", CallType::kWrite},
    {kStoreTxnPath, "txn", CallType::kWrite},
    {kStoreLeaseGrantPath, "lease_grant", CallType::kWrite},
    {kStoreLeaseKeepAlivePath, "lease_keepalive", CallType::kWrite},
    {kStoreLeaseRevokePath, "lease_revoke", CallType::kWrite},
    {kStoreWatchPath, "watch", CallType::kWatch},
};

CallRoute FindCall(std::string_view path) {
  for (const CallRoute& call : kCallRoutes) {
    if (call.path == path) return call;
  }
  return {path, "unknown", CallType::kUnknown};
}

Json ApplyWrite(FakeStoreState* store, std::string_view path,
                const Json& body) {
  const TimePoint now = store->loop->Now();
  if (path == kStorePutPath) return StorePut(&store->data, body);
  if (path == kStoreTxnPath) return StoreTransact(&store->data, body);
  if (path == kStoreLeaseRevokePath) {
    return StoreLeaseRevoke(&store->data, body);
  }
  if (path == kStoreLeaseKeepAlivePath) {
    return StoreLeaseKeepAlive(&store->data, body, now);
  }
  Json reply = StoreLeaseGrant(&store->data, body, now);
  if (store->lease_timer == 0) ExpireLeasesPeriodically(store);
  return reply;
}

// Applies a write, unless its request or its reply is to be dropped.
void HandleWrite(FakeStoreState* store, std::string_view path, const Json& body,
                 const HttpResponder& responder) {
  if (store->requests_to_drop > 0) {
    --store->requests_to_drop;
    return;
  }
  const std::int64_t before = store->data.revision;
  const Json reply = ApplyWrite(store, path, body);
  if (store->data.revision != before) OnDataChanged(store);
  if (store->replies_to_drop > 0) {
    --store->replies_to_drop;
    return;
  }
  responder.Respond({200, {}, reply.dump()});
}

void RunCall(FakeStoreState* store, const std::string& path,
             const std::string& text, const HttpResponder& responder) {
  if (store->down) {
    responder.Respond({503, {}, R"({"error":"unavailable","code":14})"});
    return;
  }
  try {
    const Json body = Json::parse(text);
    switch (FindCall(path).type) {
      case CallType::kRead:
        responder.Respond({200, {}, StoreRange(store->data, body).dump()});
        return;
      case CallType::kWrite:
        HandleWrite(store, path, body, responder);
        return;
      case CallType::kWatch:
        StartWatch(store, body, responder);
        return;
      case CallType::kUnknown:
        responder.Respond({404, {}, R"({"error":"unknown path","code":5})"});
        return;
    }
  } catch (const Json::exception& error) {
    responder.Respond({400, {}, Json{{"error", error.what()}}.dump()});
  }
}

void SetVm(FakeStoreState* store, const Json& vm) {
  const std::string key = fmt::format("{}/{}/{}", kVmPrefix,
                                      vm.at("data_centre").get<std::string>(),
                                      vm.at("vm").get<std::string>());
  const std::string encoded = EncodeBase64(key);
  const std::string state = vm.at("state");
  if (state == "absent") {
    StoreTransact(
        &store->data,
        {{"success", {{{"request_delete_range", {{"key", encoded}}}}}}});
  } else {
    const Json value{{"address", vm.at("address")}, {"state", state}};
    StorePut(&store->data,
             {{"key", encoded}, {"value", EncodeBase64(value.dump())}});
  }
  OnDataChanged(store);
}

void Restore(FakeStoreState* store) {
  if (store->snapshot) store->data = *store->snapshot;
  CloseWatchers(store);
}

// Applies one member of a control message. Returns false if `key` is unknown.
bool ApplyControlMember(FakeStoreState* store, const std::string& key,
                        const Json& value) {
  if (key == "down") {
    store->down = value;
    if (store->down) CloseWatchers(store);
  } else if (key == "delay_ms") {
    store->call_delay = std::chrono::milliseconds(value.get<int>());
  } else if (key == "lose_replies") {
    store->replies_to_drop = value;
  } else if (key == "lose_requests") {
    store->requests_to_drop = value;
  } else if (key == "watch_delay_ms") {
    store->watch_delay = std::chrono::milliseconds(value.get<int>());
  } else if (key == "progress_ms") {
    store->progress_interval = std::chrono::milliseconds(value.get<int>());
    store->loop->Cancel(store->progress_timer);
    SendProgress(store);
  } else if (key == "lapse_leases") {
    const std::int64_t before = store->data.revision;
    ExpireLeases(&store->data, TimePoint::max());
    if (store->data.revision != before) OnDataChanged(store);
  } else if (key == "mute_watches") {
    for (Watcher& watcher : store->watchers) watcher.delivery_stopped = true;
  } else if (key == "compact") {
    Compact(&store->data);
  } else if (key == "snapshot") {
    store->snapshot = store->data;
  } else if (key == "restore") {
    Restore(store);
  } else if (key == "vms") {
    for (const Json& vm : value) SetVm(store, vm);
  } else {
    return false;
  }
  return true;
}

std::optional<std::string> ApplyControl(FakeStoreState* store,
                                        std::string_view text) {
  try {
    const Json message = Json::parse(text);
    for (const auto& [key, value] : message.items()) {
      if (!ApplyControlMember(store, key, value)) {
        return "unknown control member (fake_store.h lists the known ones): " +
               key;
      }
    }
  } catch (const Json::exception& error) {
    return error.what();
  }
  return std::nullopt;
}

void Handle(FakeStoreState* store, const HttpRequest& request,
            const HttpResponder& responder) {
  if (request.path == "/control/stats") {
    Json stats = store->calls;
    stats["open_watches"] = store->watchers.size();
    responder.Respond({200, {}, stats.dump()});
    return;
  }
  if (request.path == "/control") {
    const auto error = ApplyControl(store, request.body);
    responder.Respond(error ? HttpResponse{400, {}, *error}
                            : HttpResponse{200, {}, "{}"});
    return;
  }
  ++store->calls[FindCall(request.path).name];
  if (store->call_delay.count() == 0) {
    RunCall(store, request.path, request.body, responder);
    return;
  }
  const std::weak_ptr<FakeStoreState> weak = store->weak_from_this();
  store->loop->Schedule(store->call_delay, [weak, path = request.path,
                                            body = request.body, responder] {
    if (const auto locked = weak.lock()) {
      RunCall(locked.get(), path, body, responder);
    }
  });
}

}  // namespace
}  // namespace internal

FakeStore::FakeStore(EventLoop* loop)
    : state(std::make_shared<internal::FakeStoreState>()) {
  this->state->loop = loop;
}

FakeStore::~FakeStore() {
  internal::CloseWatchers(this->state.get());
  this->state->loop->Cancel(this->state->lease_timer);
  this->state->loop->Cancel(this->state->progress_timer);
}

std::optional<std::string> FakeStore::Listen(const Endpoint& endpoint) {
  internal::FakeStoreState* store = this->state.get();
  auto built = HttpServerBuilder(store->loop)
                   .Listen(endpoint)
                   .MaxBodySize(internal::kMaxRequestBytes)
                   .Handler([store](const HttpRequest& request,
                                    const HttpResponder& responder) {
                     internal::Handle(store, request, responder);
                   })
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    return error->message;
  }
  store->server = std::get<std::unique_ptr<HttpServer>>(std::move(built));
  store->endpoint = store->server->endpoint();
  return std::nullopt;
}

const Endpoint& FakeStore::endpoint() const { return this->state->endpoint; }

std::optional<std::string> FakeStore::Control(std::string_view json) {
  return internal::ApplyControl(this->state.get(), json);
}

std::optional<std::string> FakeStore::Peek(const std::string& key) const {
  const auto it = this->state->data.values.find(key);
  if (it == this->state->data.values.end()) return std::nullopt;
  return it->second.value;
}

const std::map<std::string, std::uint64_t>& FakeStore::CallCounts() const {
  return this->state->calls;
}

}  // namespace sequoiapath
