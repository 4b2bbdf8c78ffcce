// Defines AuditRecord, one line of the audit trail, and its JSON codec.

#ifndef SEQUOIAPATH_PROTOCOL_AUDIT_RECORD_H_
#define SEQUOIAPATH_PROTOCOL_AUDIT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

// An attempt to change the configuration.
struct AuditRecord {
  std::string time;  // UTC, as in "2024-05-17T09:30:00Z".
  std::string operator_name;
  std::string operator_host;  // Host from which the operator sent the change.
  std::string change_id;
  // Generation that the change created, or on which it was refused.
  std::uint64_t generation = 0;
  std::string outcome;  // "applied" or "refused".
  std::string detail;
  std::vector<std::string> changes;  // Human-readable.
  std::size_t changes_left_out = 0;  // Number of changes that `changes` omits.

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

// Returns the record as one line of JSON without a newline. Thread-safe.
std::string EncodeAuditRecord(const AuditRecord& record);

// Parses a segment, which holds one record per line, oldest first. Lines that
// are not valid records are skipped, so that the other records stay readable.
// Thread-safe.
std::vector<AuditRecord> DecodeAuditSegment(std::string_view segment);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_AUDIT_RECORD_H_
