// Defines KeyValueCodec, the functions that encode the requests to the
// platform's key-value service and decode its replies.

#ifndef SEQUOIAPATH_PROTOCOL_KEY_VALUE_CODEC_H_
#define SEQUOIAPATH_PROTOCOL_KEY_VALUE_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/route_table.h"
#include "sequoiapath/protocol/worker_order.h"
#include "sequoiapath/transport/http_client.h"
#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

struct KeyValueItem {
  std::string key;
  std::string value;
};

// One page of a range query, or the changes that a watch returned.
struct KeyValuePage {
  std::vector<KeyValueItem> items;
  std::vector<std::string> removed;  // Removed keys; empty for a range query.
  std::uint64_t revision = 0;
  bool more = false;  // True if the range has further pages.
};

// Reason why a call returned no data.
enum class KeyValueFailure {
  kUnavailable,        // Unreachable, too slow or rejecting calls.
  kRevisionCompacted,  // The watched revision was compacted.
  kNotFound,           // The lease or key does not exist.
  kConflict,           // A precondition failed.
  kMalformed,          // The reply cannot be decoded.
};

// Returns a short name for logs. Thread-safe.
const char* ToString(KeyValueFailure failure);

using KeyValuePageResult = std::variant<KeyValuePage, KeyValueFailure>;
using KeyValueLeaseResult = std::variant<std::uint64_t, KeyValueFailure>;

// All functions are free of I/O and state. Thread-safe.
struct KeyValueCodec {
  // Encodes a query for the keys with `prefix` that sort after `after`.
  HttpRequest (*encode_range)(std::string_view prefix, std::string_view after);
  // Encodes a long poll of at most `wait` for the changes after `revision`.
  HttpRequest (*encode_watch)(std::string_view prefix, std::uint64_t revision,
                              std::chrono::milliseconds wait);
  KeyValuePageResult (*decode_page)(const HttpResult& result);
  HttpRequest (*encode_grant)(std::chrono::milliseconds ttl);
  HttpRequest (*encode_renewal)(std::uint64_t lease);
  HttpRequest (*encode_revocation)(std::uint64_t lease);
  KeyValueLeaseResult (*decode_lease)(const HttpResult& result);
  HttpRequest (*encode_put)(const KeyValueItem& item, std::uint64_t lease);
  // Encodes a write of all items at once. Precondition: at most 32 items.
  HttpRequest (*encode_put_all)(const std::vector<KeyValueItem>& items,
                                std::uint64_t lease);
  // Returns an empty optional if the write succeeded.
  std::optional<KeyValueFailure> (*decode_put)(const HttpResult& result);
  // Key prefix and key of the configuration; key prefix of worker records.
  std::string_view config_prefix;
  std::string_view config_key;
  std::string_view worker_prefix;
  // Prefix of all keys that operators write, which includes the configuration,
  // and of the requests to evacuate a data centre, whose name follows.
  std::string_view operator_prefix;
  std::string_view evacuation_prefix;
  // Decodes a configuration, or returns a description of the error.
  std::variant<RouteTable, std::string> (*decode_routes)(
      std::string_view value);
  // Decodes a worker's record, or returns a description of the error.
  std::variant<WorkerDescription, std::string> (*decode_worker)(
      std::string_view id, std::string_view value);
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_KEY_VALUE_CODEC_H_
