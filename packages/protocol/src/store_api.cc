#include "sequoiapath/protocol/store_api.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

Failure MalformedReply() {
  return {Verdict::kMayHaveRun, Reason::kStoreUnavailable,
          RetryAdvice::kSameSequence, std::nullopt,
          "malformed reply from the store"};
}

// Reads a number or a string, because the gateway encodes 64-bit numbers as
// strings. Returns zero if the member is missing.
std::int64_t ReadInt64(const Json& json, const char* key) {
  if (!json.contains(key)) return 0;
  const Json& value = json.at(key);
  if (value.is_string()) return std::stoll(value.get<std::string>());
  return value.get<std::int64_t>();
}

std::int64_t ReadRevision(const Json& json) {
  return json.contains("header") ? ReadInt64(json.at("header"), "revision") : 0;
}

std::string ReadBytes(const Json& json, const char* key) {
  const auto decoded = DecodeBase64(json.value(key, ""));
  const auto* bytes = std::get_if<std::string>(&decoded);
  return bytes == nullptr ? "" : *bytes;
}

StoreEntry ReadEntry(const Json& kv) {
  return {ReadBytes(kv, "key"), ReadBytes(kv, "value"),
          ReadInt64(kv, "mod_revision")};
}

}  // namespace
}  // namespace internal

std::string EncodeRangeKey(std::string_view key) {
  return internal::Json{{"key", EncodeBase64(key)}}.dump();
}

std::string EncodeRangePrefix(std::string_view prefix) {
  return internal::Json{{"key", EncodeBase64(prefix)},
                        {"range_end", EncodeBase64(PrefixEnd(prefix))}}
      .dump();
}

std::string EncodeRangeLast(std::string_view prefix) {
  return internal::Json{{"key", EncodeBase64(prefix)},
                        {"range_end", EncodeBase64(PrefixEnd(prefix))},
                        {"sort_order", "DESCEND"},
                        {"sort_target", "KEY"},
                        {"limit", "1"}}
      .dump();
}

Result<RangeReply> DecodeRangeReply(std::string_view body) {
  try {
    const auto json = internal::Json::parse(body);
    RangeReply reply;
    reply.revision = internal::ReadRevision(json);
    for (const auto& kv : json.value("kvs", internal::Json::array())) {
      reply.entries.push_back(internal::ReadEntry(kv));
    }
    return reply;
  } catch (const std::exception&) {
    return internal::MalformedReply();
  }
}

std::string EncodeTxn(const StoreTxn& txn) {
  internal::Json json{{"compare", internal::Json::array()},
                      {"success", internal::Json::array()}};
  for (const auto& condition : txn.conditions) {
    json["compare"].push_back(
        {{"key", EncodeBase64(condition.key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(condition.mod_revision)}});
  }
  for (const auto& put : txn.puts) {
    json["success"].push_back({{"request_put",
                                {{"key", EncodeBase64(put.key)},
                                 {"value", EncodeBase64(put.value)}}}});
  }
  for (const auto& range : txn.deletes) {
    json["success"].push_back({{"request_delete_range",
                                {{"key", EncodeBase64(range.key)},
                                 {"range_end", EncodeBase64(range.end)}}}});
  }
  return json.dump();
}

std::string EncodeWatch(std::string_view key, std::int64_t start_revision) {
  return internal::Json{{"create_request",
                         {{"key", EncodeBase64(key)},
                          {"start_revision", std::to_string(start_revision)},
                          {"progress_notify", true}}}}
      .dump();
}

Result<WatchReply> DecodeWatchReply(std::string_view line) {
  try {
    const auto json = internal::Json::parse(line);
    const auto& result = json.at("result");
    WatchReply reply;
    reply.revision = internal::ReadRevision(result);
    reply.created = result.value("created", false);
    reply.canceled = result.value("canceled", false);
    reply.compact_revision = internal::ReadInt64(result, "compact_revision");
    for (const auto& event : result.value("events", internal::Json::array())) {
      // The gateway omits the event type PUT, which is the default.
      reply.events.push_back({internal::ReadEntry(event.at("kv")),
                              event.value("type", "PUT") == "DELETE"});
    }
    return reply;
  } catch (const std::exception&) {
    return internal::MalformedReply();
  }
}

Result<TxnReply> DecodeTxnReply(std::string_view body) {
  try {
    const auto json = internal::Json::parse(body);
    return TxnReply{internal::ReadRevision(json),
                    json.value("succeeded", false)};
  } catch (const std::exception&) {
    return internal::MalformedReply();
  }
}

std::string EncodeBase64(std::string_view bytes) {
  // OpenSSL writes four characters for each group of three bytes and appends a
  // terminating zero byte.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

Result<std::string> DecodeBase64(std::string_view text) {
  if (text.empty()) return std::string();
  std::string bytes(text.size() / 4 * 3 + 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) return internal::MalformedReply();
  // EVP_DecodeBlock includes the bytes that the padding represents.
  std::size_t size = static_cast<std::size_t>(length);
  if (text.ends_with("==")) {
    size -= 2;
  } else if (text.ends_with("=")) {
    size -= 1;
  }
  bytes.resize(size);
  return bytes;
}

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty()) {
    if (static_cast<unsigned char>(end.back()) < 0xff) {
      ++end.back();
      return end;
    }
    end.pop_back();
  }
  return std::string(1, '\0');
}

}  // namespace sequoiapath
