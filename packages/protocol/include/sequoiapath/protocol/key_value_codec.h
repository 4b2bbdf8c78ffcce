// Defines KeyValueCodec, how the platform's key-value service is called.

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

// One page of a range, or the changes that a watch returns.
struct KeyValuePage {
  std::vector<KeyValueItem> items;
  std::vector<std::string> removed;  // Keys; empty for a range.
  std::uint64_t revision = 0;
  bool more = false;
};

// Why a call brought nothing.
enum class KeyValueFailure {
  kUnavailable,        // Not reachable, too slow, or refusing calls.
  kRevisionCompacted,  // The watch's revision is no longer available.
  kNotFound,           // No such lease or key.
  kConflict,           // A precondition does not hold.
  kMalformed,          // The reply cannot be read.
};

// Returns a short name for logs. Thread-safe.
const char* ToString(KeyValueFailure failure);

using KeyValuePageResult = std::variant<KeyValuePage, KeyValueFailure>;
using KeyValueLeaseResult = std::variant<std::uint64_t, KeyValueFailure>;

// The functions do no I/O and keep no state. Thread-safe.
struct KeyValueCodec {
  HttpRequest (*encode_range)(std::string_view prefix, std::string_view after);
  HttpRequest (*encode_watch)(std::string_view prefix, std::uint64_t revision,
                              std::chrono::milliseconds wait);
  KeyValuePageResult (*decode_page)(const HttpResult& result);
  HttpRequest (*encode_grant)(std::chrono::milliseconds ttl);
  HttpRequest (*encode_renewal)(std::uint64_t lease);
  HttpRequest (*encode_revocation)(std::uint64_t lease);
  KeyValueLeaseResult (*decode_lease)(const HttpResult& result);
  HttpRequest (*encode_put)(const KeyValueItem& item, std::uint64_t lease);
  // Returns nothing if the write succeeded.
  std::optional<KeyValueFailure> (*decode_put)(const HttpResult& result);
  // Keys that the operator and the workers write.
  std::string_view config_prefix;
  std::string_view config_key;
  std::string_view worker_prefix;
  // Reads a configuration; on an error returns what is wrong with it.
  std::variant<RouteTable, std::string> (*decode_routes)(
      std::string_view value);
  // Reads a worker's record; on an error returns what is wrong with it.
  std::variant<WorkerDescription, std::string> (*decode_worker)(
      std::string_view id, std::string_view value);
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_KEY_VALUE_CODEC_H_
