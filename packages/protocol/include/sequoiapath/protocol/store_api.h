// Defines the messages of the platform's key-value service: the JSON bodies of
// the etcd v3 gateway that this program uses.

#ifndef SEQUOIAPATH_PROTOCOL_STORE_API_H_
#define SEQUOIAPATH_PROTOCOL_STORE_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

constexpr std::string_view kStoreRangePath = "/v3/kv/range";
constexpr std::string_view kStoreTxnPath = "/v3/kv/txn";

struct StoreEntry {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;  // Zero: the key does not exist.
};

struct RangeReply {
  std::int64_t revision = 0;
  std::vector<StoreEntry> entries;
};

// Puts `puts` if each key in `conditions` has exactly the given mod revision.
struct StoreTxn {
  struct Condition {
    std::string key;
    std::int64_t mod_revision = 0;
  };
  struct Put {
    std::string key;
    std::string value;
  };
  std::vector<Condition> conditions;
  std::vector<Put> puts;
};

struct TxnReply {
  std::int64_t revision = 0;
  bool succeeded = false;
};

// Returns the range request for one key, or for a prefix. Thread-safe.
std::string EncodeRangeKey(std::string_view key);
std::string EncodeRangePrefix(std::string_view prefix);
Result<RangeReply> DecodeRangeReply(std::string_view body);

std::string EncodeTxn(const StoreTxn& txn);
Result<TxnReply> DecodeTxnReply(std::string_view body);

// Standard base64 with padding. Thread-safe.
std::string EncodeBase64(std::string_view bytes);
Result<std::string> DecodeBase64(std::string_view text);

// Returns the smallest key that is greater than all keys with `prefix`.
std::string PrefixEnd(std::string_view prefix);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_STORE_API_H_
