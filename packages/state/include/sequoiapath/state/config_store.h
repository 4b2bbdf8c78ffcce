// Defines ConfigStore, which changes the configuration in the platform's store
// and writes the audit trail and the documents of recent generations there.

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

// Key of the record of the current configuration.
constexpr const char* kConfigKey = "/sequoiapath/config";
// Prefix of the keys of the audit segments. The prefix is followed by the
// segment number with ten digits, so that keys sort by number.
constexpr const char* kAuditPrefix = "/sequoiapath/audit/";
// Prefix of the keys of the documents. The prefix is followed by the generation
// with ten digits. The value is the canonical document, compressed with zstd.
constexpr const char* kDocumentPrefix = "/sequoiapath/document/";

// The store accepts values of 1 MiB, but each change rewrites a whole segment.
constexpr std::size_t kMaxAuditSegmentBytes = std::size_t{64} << 10;
// The segments hold up to 8 MiB of records, which is enough for twelve days
// with 2,800 changes a day and 240 bytes per record.
constexpr std::uint64_t kMaxAuditSegments = 128;
constexpr std::uint64_t kMaxStoredDocuments = 32;

enum class ChangeOutcome {
  kApplied,     // The change is in the store, once.
  kNotApplied,  // The change is not in the store and cannot get there any more.
  kUnknown,     // The effect of a write is not known; it may still be applied.
};

// Returns "applied", "not_applied" or "unknown".
const char* ToString(ChangeOutcome outcome);

// The author of a change, as written to the audit trail.
struct ChangeAuthor {
  std::string operator_name;
  std::string operator_host;
};

struct ChangeRequest {
  ChangeAuthor author;
  Document document;  // The whole requested document. Precondition: valid.
  // The generation that the author edited. If absent, the generation that is in
  // the store when the change starts.
  std::optional<std::uint64_t> base_generation;
  // Lower bound of the new generation. Needed after the store was restored from
  // an old backup, because daemons accept only greater generations than theirs.
  std::uint64_t min_generation = 0;
  // Identifies the change; generated if empty. A change is not applied again if
  // the newest audit segment records its id as applied.
  std::string change_id{};
};

struct ChangeReport {
  ChangeOutcome outcome = ChangeOutcome::kNotApplied;
  std::string change_id;
  // The generation that contains the change, or the generation in the store
  // when the change was refused.
  std::uint64_t generation = 0;
  FieldChanges changes;      // Relative to the previous generation.
  FieldConflicts conflicts;  // If not empty, the reason for the refusal.
  DocumentErrors errors;     // If not empty, the rebased document is invalid.
  std::string detail;        // Human-readable explanation.
};

// The configuration in the store; `record` is absent if the key does not exist.
struct ConfigSnapshot {
  std::optional<ConfigRecord> record;
  std::int64_t mod_revision = 0;
};

using ChangeCallback = std::function<void(const ChangeReport& report)>;

// Reads and changes the configuration in the store. Thread safety: loop thread
// only.
class ConfigStore {
 public:
  // Preconditions: `loop` and `store` outlive all changes in progress. A change
  // ends within `time_limit` plus two timeouts of the store client.
  ConfigStore(EventLoop* loop, StoreClient* store, Duration time_limit);

  // Applies a change: one transaction writes the new record, the audit record
  // and the document. If a concurrent change was committed first, rebases the
  // change and retries. If the reply is lost, reads the store to find out
  // whether the transaction took effect. Calls `callback` once, after this
  // function has returned.
  void Apply(ChangeRequest request, ChangeCallback callback);

  // Applies the document of an earlier generation as a new generation. Handles
  // concurrent changes as Apply does.
  void RevertTo(std::uint64_t generation, const ChangeAuthor& author,
                std::uint64_t min_generation, ChangeCallback callback);

  // Writes an audit record of a change that was refused before Apply. Calls
  // `callback` with true if the record was written.
  void RecordRefusal(const ChangeAuthor& author, const std::string& detail,
                     const std::function<void(bool recorded)>& callback);

  // Reads the configuration.
  void Read(std::function<void(Result<ConfigSnapshot>)> callback);

  // Reads the document of one of the last kMaxStoredDocuments generations.
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
