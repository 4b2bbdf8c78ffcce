// Defines ConfigStore, which changes the configuration in the platform's store
// and keeps its audit trail and recent documents.

#ifndef SEQUOIAPATH_STATE_CONFIG_STORE_H_
#define SEQUOIAPATH_STATE_CONFIG_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/coordination/config_change.h"
#include "sequoiapath/protocol/audit_record.h"
#include "sequoiapath/protocol/document.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

constexpr const char* kConfigKey = "/sequoiapath/config";
// Followed by a number of ten digits, so that keys sort by number.
constexpr const char* kAuditPrefix = "/sequoiapath/audit/";
// Followed by the generation; holds the canonical document under zstd.
constexpr const char* kDocumentPrefix = "/sequoiapath/document/";

// The store takes values of 1 MiB, but each change rewrites its segment.
constexpr std::size_t kMaxAuditSegmentBytes = std::size_t{64} << 10;
// 8 MiB of records: twelve days of 2,800 changes a day at 240 bytes each.
constexpr std::uint64_t kMaxAuditSegments = 128;
constexpr std::uint64_t kMaxStoredDocuments = 32;

enum class ChangeOutcome {
  kApplied,     // The change is in the store, once.
  kNotApplied,  // The change is not in the store and cannot get there any more.
  kUnknown,     // A write is unaccounted for; it may still take effect.
};

// Returns "applied", "not_applied" or "unknown".
const char* ToString(ChangeOutcome outcome);

// Who asks for a change; goes into the audit trail.
struct ChangeAuthor {
  std::string who;
  std::string from;
};

struct ChangeRequest {
  ChangeAuthor author;
  Document document;  // The whole wanted document. Precondition: valid.
  // The generation that the author has edited; absent: the one in the store
  // when the change starts.
  std::optional<std::uint64_t> base_generation;
  // The new generation is at least this. Needed after the store was restored
  // from an old copy, because daemons accept only a greater generation.
  std::uint64_t min_generation = 0;
  // Drawn if empty. A change whose id is among the latest audit records as
  // applied is not applied again.
  std::string change_id{};
};

struct ChangeReport {
  ChangeOutcome outcome = ChangeOutcome::kNotApplied;
  std::string change_id;
  // The generation with the change, or the one that it was refused on.
  std::uint64_t generation = 0;
  FieldChanges changes;      // Against the generation before.
  FieldConflicts conflicts;  // Not empty: the change was refused for them.
  DocumentErrors errors;     // Not empty: the rebased document is not valid.
  std::string detail;        // For people.
};

// The configuration in the store; without `record` there is none.
struct ConfigSnapshot {
  std::optional<ConfigRecord> record;
  std::int64_t mod_revision = 0;
};

using ChangeCallback = std::function<void(const ChangeReport& report)>;

// Thread safety: loop thread only.
class ConfigStore {
 public:
  // Preconditions: `loop` and `store` outlive all changes in progress. A change
  // ends within `time_limit` plus two of the client's timeouts.
  ConfigStore(EventLoop* loop, StoreClient* store, Duration time_limit);

  // Applies a change: one transaction puts the new record, the audit record and
  // the document. A lost race is rebased and tried again; a lost reply is
  // resolved by reading. Calls `callback` once, never before returning.
  void Apply(ChangeRequest request, ChangeCallback callback);

  // Applies the document of an earlier generation as a new generation. Changes
  // that race with it are handled as by Apply.
  void RevertTo(std::uint64_t generation, const ChangeAuthor& author,
                std::uint64_t min_generation, ChangeCallback callback);

  // Records a change that was refused before Apply. `callback` gets whether the
  // record was written.
  void RecordRefusal(const ChangeAuthor& author, const std::string& detail,
                     const std::function<void(bool recorded)>& callback);

  // Reads the configuration.
  void Read(std::function<void(Result<ConfigSnapshot>)> callback);

  // Reads the document of a generation that is still kept.
  void ReadDocument(std::uint64_t generation,
                    std::function<void(Result<Document>)> callback);

  // Reads the newest audit records, at most `limit`, newest first.
  void History(std::size_t limit,
               std::function<void(Result<std::vector<AuditRecord>>)> callback);

 private:
  EventLoop* loop;
  StoreClient* store;
  Duration time_limit;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CONFIG_STORE_H_
