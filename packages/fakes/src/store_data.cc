#include "sequoiapath/fakes/store_data.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "sequoiapath/protocol/store_api.h"

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

bool InRange(const std::string& candidate, const std::string& key,
             const std::string& end) {
  if (end.empty()) return candidate == key;
  // A range end of a single zero byte means all keys from `key` on.
  return candidate >= key && (end == std::string(1, '\0') || candidate < end);
}

Json EntryToJson(const std::string& key, const StoredValue& value) {
  Json json{{"key", EncodeBase64(key)},
            {"mod_revision", std::to_string(value.mod_revision)}};
  // The gateway omits members that are empty or zero.
  if (value.create_revision != 0) {
    json["create_revision"] = std::to_string(value.create_revision);
    json["version"] = std::to_string(value.version);
  }
  if (!value.value.empty()) json["value"] = EncodeBase64(value.value);
  if (value.lease != 0) json["lease"] = std::to_string(value.lease);
  return json;
}

void PutValue(StoreData* data, const Json& request, std::int64_t revision) {
  const std::string key = ReadStoreBytes(request, "key");
  StoredValue& stored = data->values[key];
  stored.value = ReadStoreBytes(request, "value");
  stored.lease = ReadStoreInt64(request, "lease");
  stored.mod_revision = revision;
  if (stored.version++ == 0) stored.create_revision = revision;
  data->events.push_back({key, stored, false});
}

void DeleteKey(StoreData* data, const std::string& key, std::int64_t revision) {
  data->values.erase(key);
  StoredValue tombstone;
  tombstone.mod_revision = revision;
  data->events.push_back({key, tombstone, true});
}

std::int64_t DeleteRange(StoreData* data, const Json& request,
                         std::int64_t revision) {
  const std::string first = ReadStoreBytes(request, "key");
  const std::string end = ReadStoreBytes(request, "range_end");
  std::vector<std::string> keys;
  for (const auto& [key, value] : data->values) {
    if (InRange(key, first, end)) keys.push_back(key);
  }
  for (const std::string& key : keys) DeleteKey(data, key, revision);
  return static_cast<std::int64_t>(keys.size());
}

template <typename T>
bool Compare(const T& actual, const std::string& result, const T& expected) {
  if (result == "GREATER") return actual > expected;
  if (result == "LESS") return actual < expected;
  if (result == "NOT_EQUAL") return actual != expected;
  return actual == expected;
}

bool CompareSucceeds(const StoreData& data, const Json& compare) {
  const auto it = data.values.find(ReadStoreBytes(compare, "key"));
  const StoredValue actual =
      it == data.values.end() ? StoredValue{} : it->second;
  const std::string result = compare.value("result", "EQUAL");
  const std::string target = compare.value("target", "VERSION");
  const auto compare_number = [&](std::int64_t number, const char* member) {
    return Compare(number, result, ReadStoreInt64(compare, member));
  };
  if (target == "MOD") {
    return compare_number(actual.mod_revision, "mod_revision");
  }
  if (target == "CREATE") {
    return compare_number(actual.create_revision, "create_revision");
  }
  if (target == "LEASE") return compare_number(actual.lease, "lease");
  if (target == "VALUE") {
    // Fails for a missing key, as in etcd.
    return it != data.values.end() &&
           Compare(actual.value, result, ReadStoreBytes(compare, "value"));
  }
  return compare_number(actual.version, "version");
}

// Executes one operation of a transaction that writes at `revision`.
Json ApplyOperation(StoreData* data, const Json& operation,
                    std::int64_t revision) {
  if (operation.contains("request_put")) {
    PutValue(data, operation.at("request_put"), revision);
    return {{"response_put", Json::object()}};
  }
  if (operation.contains("request_delete_range")) {
    const std::int64_t deleted =
        DeleteRange(data, operation.at("request_delete_range"), revision);
    return {{"response_delete_range", {{"deleted", std::to_string(deleted)}}}};
  }
  return {{"response_range", StoreRange(*data, operation.at("request_range"))}};
}

}  // namespace
}  // namespace internal

using internal::Json;

std::string ReadStoreBytes(const Json& json, const char* key) {
  const auto decoded = DecodeBase64(json.value(key, ""));
  const auto* bytes = std::get_if<std::string>(&decoded);
  return bytes == nullptr ? "" : *bytes;
}

std::int64_t ReadStoreInt64(const Json& json, const char* key) {
  const auto it = json.find(key);
  if (it == json.end()) return 0;
  if (it->is_string()) {
    return std::strtoll(it->get_ref<const std::string&>().c_str(), nullptr, 10);
  }
  return it->get<std::int64_t>();
}

Json StoreHeader(const StoreData& data) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(data.revision)},
          {"raft_term", "1"}};
}

Json StoreRange(const StoreData& data, const Json& request) {
  const std::string first = ReadStoreBytes(request, "key");
  const std::string end = ReadStoreBytes(request, "range_end");
  const std::int64_t limit = ReadStoreInt64(request, "limit");
  std::vector<Json> entries;
  for (auto it = data.values.lower_bound(first); it != data.values.end();
       ++it) {
    if (!internal::InRange(it->first, first, end)) break;
    entries.push_back(internal::EntryToJson(it->first, it->second));
    if (request.value("keys_only", false)) entries.back().erase("value");
  }
  Json reply{{"header", StoreHeader(data)}};
  if (entries.empty()) return reply;
  reply["count"] = std::to_string(entries.size());
  // Sorting is supported by key only.
  if (request.value("sort_order", "NONE") == "DESCEND") {
    std::reverse(entries.begin(), entries.end());
  }
  if (limit > 0 && static_cast<std::size_t>(limit) < entries.size()) {
    entries.resize(static_cast<std::size_t>(limit));
    reply["more"] = true;
  }
  reply["kvs"] = std::move(entries);
  return reply;
}

Json StorePut(StoreData* data, const Json& request) {
  internal::PutValue(data, request, ++data->revision);
  return {{"header", StoreHeader(*data)}};
}

Json StoreTransact(StoreData* data, const Json& request) {
  const Json none = Json::array();
  const auto list = [&](const char* key) {
    const auto it = request.find(key);
    return it == request.end() ? none : *it;
  };
  bool succeeded = true;
  for (const Json& compare : list("compare")) {
    succeeded = succeeded && internal::CompareSucceeds(*data, compare);
  }
  const std::size_t events_before = data->events.size();
  Json responses = Json::array();
  for (const Json& operation : list(succeeded ? "success" : "failure")) {
    responses.push_back(
        internal::ApplyOperation(data, operation, data->revision + 1));
  }
  // A transaction creates at most one revision.
  if (data->events.size() > events_before) ++data->revision;
  Json reply{{"header", StoreHeader(*data)}};
  if (succeeded) reply["succeeded"] = true;
  if (!responses.empty()) reply["responses"] = std::move(responses);
  return reply;
}

Json StoreLeaseGrant(StoreData* data, const Json& request,
                     std::chrono::steady_clock::time_point now) {
  std::int64_t id = ReadStoreInt64(request, "ID");
  if (id == 0) id = data->next_lease++;
  const std::chrono::seconds ttl(ReadStoreInt64(request, "TTL"));
  data->leases[id] = {ttl, now + ttl};
  return {{"header", StoreHeader(*data)},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl.count())}};
}

Json StoreLeaseKeepAlive(StoreData* data, const Json& request,
                         std::chrono::steady_clock::time_point now) {
  const std::int64_t id = ReadStoreInt64(request, "ID");
  Json result{{"header", StoreHeader(*data)}, {"ID", std::to_string(id)}};
  const auto it = data->leases.find(id);
  // A reply without a TTL means that the lease has expired.
  if (it != data->leases.end()) {
    it->second.expires = now + it->second.ttl;
    result["TTL"] = std::to_string(it->second.ttl.count());
  }
  return {{"result", result}};
}

Json StoreLeaseRevoke(StoreData* data, const Json& request) {
  const std::int64_t id = ReadStoreInt64(request, "ID");
  const auto it = data->leases.find(id);
  if (it != data->leases.end()) {
    it->second.expires = std::chrono::steady_clock::time_point::min();
    ExpireLeases(data, std::chrono::steady_clock::time_point::min());
  }
  return {{"header", StoreHeader(*data)}};
}

void ExpireLeases(StoreData* data, std::chrono::steady_clock::time_point now) {
  for (auto it = data->leases.begin(); it != data->leases.end();) {
    if (it->second.expires > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, value] : data->values) {
      if (value.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++data->revision;
    for (const std::string& key : keys) {
      internal::DeleteKey(data, key, data->revision);
    }
    it = data->leases.erase(it);
  }
}

void Compact(StoreData* data) {
  data->events.clear();
  data->compacted_revision = data->revision;
}

Json StoreEvents(const StoreData& data, const std::string& key,
                 const std::string& end, std::int64_t start) {
  Json events = Json::array();
  const auto first = std::partition_point(
      data.events.begin(), data.events.end(),
      [start](const auto& event) { return event.value.mod_revision < start; });
  for (auto it = first; it != data.events.end(); ++it) {
    if (!internal::InRange(it->key, key, end)) continue;
    Json event{{"kv", internal::EntryToJson(it->key, it->value)}};
    if (it->deleted) event["type"] = "DELETE";
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace sequoiapath
