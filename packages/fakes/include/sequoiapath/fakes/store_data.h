// Defines StoreData, the keys, revisions and leases of FakeStore. Its functions
// operate on the JSON messages of the etcd v3 gateway and do no I/O.

#ifndef SEQUOIAPATH_FAKES_STORE_DATA_H_
#define SEQUOIAPATH_FAKES_STORE_DATA_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sequoiapath {

struct StoredValue {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct StoredEvent {
  std::string key;
  StoredValue value;
  bool deleted = false;
};

struct StoredLease {
  std::chrono::seconds ttl{0};
  std::chrono::steady_clock::time_point expires;
};

struct StoreData {
  std::map<std::string, StoredValue> values;
  std::map<std::int64_t, StoredLease> leases;
  std::vector<StoredEvent> events;  // Oldest first.
  std::int64_t revision = 1;
  // Events up to this revision have been discarded.
  std::int64_t compacted_revision = 0;
  std::int64_t next_lease = 1;
};

// StoreRange to StoreLeaseRevoke execute one call each and return its reply.
// They throw nlohmann::json::exception for a malformed request. Not
// thread-safe.
nlohmann::json StoreRange(const StoreData& data, const nlohmann::json& request);
nlohmann::json StorePut(StoreData* data, const nlohmann::json& request);
nlohmann::json StoreTransact(StoreData* data, const nlohmann::json& request);
nlohmann::json StoreLeaseGrant(StoreData* data, const nlohmann::json& request,
                               std::chrono::steady_clock::time_point now);
nlohmann::json StoreLeaseKeepAlive(StoreData* data,
                                   const nlohmann::json& request,
                                   std::chrono::steady_clock::time_point now);
nlohmann::json StoreLeaseRevoke(StoreData* data, const nlohmann::json& request);

// Deletes the leases that expire at or before `now`, and the keys attached to
// them.
void ExpireLeases(StoreData* data, std::chrono::steady_clock::time_point now);

// Discards all events.
void Compact(StoreData* data);

// Returns the `header` member of a reply.
nlohmann::json StoreHeader(const StoreData& data);

// Returns the events of a watch reply from revision `start` on, for the keys in
// the range [`key`, `end`), or for the single key `key` if `end` is empty.
nlohmann::json StoreEvents(const StoreData& data, const std::string& key,
                           const std::string& end, std::int64_t start);

// Returns the decoded base64 member `key`, or an empty string if it is absent
// or not valid base64.
std::string ReadStoreBytes(const nlohmann::json& json, const char* key);

// Returns the 64-bit member `key`, encoded as a number or a string; zero if it
// is absent.
std::int64_t ReadStoreInt64(const nlohmann::json& json, const char* key);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_FAKES_STORE_DATA_H_
