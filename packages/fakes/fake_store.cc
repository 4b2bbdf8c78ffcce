// A stand-in for the platform's key-value service: the range and txn calls of
// the etcd v3 JSON gateway, kept in memory.

#include <fmt/format.h>
#include <popt.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "sequoiapath/protocol/store_api.h"
#include "sequoiapath/transport/event_loop.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

struct StoredValue {
  std::string value;
  std::int64_t mod_revision = 0;
};

struct FakeStore {
  std::map<std::string, StoredValue> values;
  std::int64_t revision = 1;
  std::uint64_t calls = 0;
};

std::string ReadBytes(const Json& json, const char* key) {
  const auto decoded = DecodeBase64(json.value(key, ""));
  const auto* bytes = std::get_if<std::string>(&decoded);
  return bytes == nullptr ? "" : *bytes;
}

Json Header(const FakeStore& store) {
  return {{"revision", std::to_string(store.revision)}};
}

Json Range(const FakeStore& store, const Json& request) {
  const std::string key = ReadBytes(request, "key");
  const std::string end = ReadBytes(request, "range_end");
  Json entries = Json::array();
  for (auto it = store.values.lower_bound(key); it != store.values.end();
       ++it) {
    if (end.empty() ? it->first != key : it->first >= end) break;
    entries.push_back(
        {{"key", EncodeBase64(it->first)},
         {"value", EncodeBase64(it->second.value)},
         {"mod_revision", std::to_string(it->second.mod_revision)}});
  }
  return {{"header", Header(store)},
          {"count", std::to_string(entries.size())},
          {"kvs", entries}};
}

bool Holds(const FakeStore& store, const Json& compare) {
  const auto it = store.values.find(ReadBytes(compare, "key"));
  const std::int64_t actual =
      it == store.values.end() ? 0 : it->second.mod_revision;
  return std::to_string(actual) == compare.value("mod_revision", "0");
}

Json Txn(FakeStore* store, const Json& request) {
  bool succeeded = true;
  for (const Json& compare : request.value("compare", Json::array())) {
    succeeded = succeeded && Holds(*store, compare);
  }
  if (succeeded) {
    ++store->revision;
    for (const Json& operation : request.value("success", Json::array())) {
      const Json& put = operation.at("request_put");
      store->values[ReadBytes(put, "key")] = {ReadBytes(put, "value"),
                                              store->revision};
    }
  }
  return {{"header", Header(*store)}, {"succeeded", succeeded}};
}

void Handle(FakeStore* store, const HttpRequest& request,
            const HttpResponder& responder) {
  ++store->calls;
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder.Respond({400, {}, R"({"error":"malformed body"})"});
  } else if (request.path == kStoreRangePath) {
    responder.Respond({200, {}, Range(*store, body).dump()});
  } else if (request.path == kStoreTxnPath) {
    responder.Respond({200, {}, Txn(store, body).dump()});
  } else {
    responder.Respond({404, {}, R"({"error":"unknown call"})"});
  }
}

int Main(int argc, const char** argv) {
  int port = 2379;
  const poptOption options[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "port to listen on", "PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("fake_store", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1) {
    fmt::print(stderr, "fake_store: bad option\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  FakeStore store;
  auto built = HttpServerBuilder(&loop)
                   .Listen({"127.0.0.1", static_cast<std::uint16_t>(port)})
                   .Handler([&store](const HttpRequest& request,
                                     const HttpResponder& responder) {
                     Handle(&store, request, responder);
                   })
                   .Build();
  if (const auto* error = std::get_if<ListenError>(&built)) {
    fmt::print(stderr, "fake_store: {}\n", error->message);
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  return sequoiapath::internal::Main(argc, argv);
}
