// Defines the messages of the key-value store: the JSON bodies of the etcd v3
// gateway that this program uses.

#ifndef SEQUOIAPATH_PROTOCOL_STORE_API_H_
#define SEQUOIAPATH_PROTOCOL_STORE_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

constexpr std::string_view kStoreRangePath = "/v3/kv/range";
constexpr std::string_view kStorePutPath = "/v3/kv/put";
constexpr std::string_view kStoreTxnPath = "/v3/kv/txn";
constexpr std::string_view kStoreWatchPath = "/v3/watch";
constexpr std::string_view kStoreLeaseGrantPath = "/v3/lease/grant";
constexpr std::string_view kStoreLeaseKeepAlivePath = "/v3/lease/keepalive";
constexpr std::string_view kStoreLeaseRevokePath = "/v3/lease/revoke";

struct StoreEntry {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;  // Zero: the key does not exist.
};

struct RangeReply {
  std::int64_t revision = 0;
  std::vector<StoreEntry> entries;
};

// Executes `puts` and `deletes` if every key in `conditions` has the given mod
// revision.
struct StoreTxn {
  struct Condition {
    std::string key;
    std::int64_t mod_revision = 0;
  };
  struct Put {
    std::string key;
    std::string value;
  };
  // Deletes the keys in the half-open range [`key`, `end`).
  struct DeleteRange {
    std::string key;
    std::string end;
  };
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<DeleteRange> deletes{};
};

struct TxnReply {
  std::int64_t revision = 0;
  bool succeeded = false;
};

// A change to one key.
struct StoreEvent {
  StoreEntry entry;
  bool deleted = false;
};

// One line of a watch stream. A line without events reports the creation, the
// cancellation or the progress of the watch.
struct WatchReply {
  std::int64_t revision = 0;  // Revision of the store.
  bool created = false;
  bool canceled = false;
  // Nonzero if the start revision of the watch was compacted.
  std::int64_t compact_revision = 0;
  std::vector<StoreEvent> events;
};

// Returns the range request for one key, for all keys with a prefix, or for the
// last key with a prefix. Thread-safe.
std::string EncodeRangeKey(std::string_view key);
std::string EncodeRangePrefix(std::string_view prefix);
std::string EncodeRangeLast(std::string_view prefix);
Result<RangeReply> DecodeRangeReply(std::string_view body);

std::string EncodeTxn(const StoreTxn& txn);
Result<TxnReply> DecodeTxnReply(std::string_view body);

// Returns the request that watches one key, starting at `start_revision`.
std::string EncodeWatch(std::string_view key, std::int64_t start_revision);

// Parses one line of a watch stream. Thread-safe.
Result<WatchReply> DecodeWatchReply(std::string_view line);

// Standard base64 with padding. Thread-safe.
std::string EncodeBase64(std::string_view bytes);
Result<std::string> DecodeBase64(std::string_view text);

// Returns the smallest key that is greater than all keys with `prefix`: the end
// of the prefix's key range.
std::string PrefixEnd(std::string_view prefix);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_STORE_API_H_
