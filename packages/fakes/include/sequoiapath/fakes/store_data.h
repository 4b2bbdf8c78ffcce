// Defines StoreData, the keys, revisions and leases of the stand-in for the
// platform's key-value service. It works on the JSON messages of the etcd v3
// gateway and does no I/O.

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
  std::int64_t compacted_revision = 0;  // Events up to this revision are gone.
  std::int64_t next_lease = 1;
};

// Each runs one call and returns the reply. Throws nlohmann::json::exception
// for a malformed request. Not thread-safe.
nlohmann::json StoreRange(const StoreData& data, const nlohmann::json& request);
nlohmann::json StorePut(StoreData* data, const nlohmann::json& request);
nlohmann::json StoreTransact(StoreData* data, const nlohmann::json& request);
nlohmann::json StoreLeaseGrant(StoreData* data, const nlohmann::json& request,
                               std::chrono::steady_clock::time_point now);
nlohmann::json StoreLeaseKeepAlive(StoreData* data,
                                   const nlohmann::json& request,
                                   std::chrono::steady_clock::time_point now);
nlohmann::json StoreLeaseRevoke(StoreData* data, const nlohmann::json& request);

// Deletes the leases that expire up to `now`, and their keys.
void ExpireLeases(StoreData* data, std::chrono::steady_clock::time_point now);

// Drops all events.
void Compact(StoreData* data);

// Returns the `header` member of a reply.
nlohmann::json StoreHeader(const StoreData& data);

// Returns the events of a watch reply from `start` on, for the keys from `key`
// up to and without `end`, or the one key if `end` is empty.
nlohmann::json StoreEvents(const StoreData& data, const std::string& key,
                           const std::string& end, std::int64_t start);

// Returns the decoded base64 member `key`, or an empty text.
std::string ReadStoreBytes(const nlohmann::json& json, const char* key);

// Returns a 64-bit member, which may be a number or a text; zero if absent.
std::int64_t ReadStoreInt64(const nlohmann::json& json, const char* key);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_FAKES_STORE_DATA_H_
