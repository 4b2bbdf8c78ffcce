// Defines AuditRecord, one line of the audit trail, with its JSON codec.

#ifndef SEQUOIAPATH_PROTOCOL_AUDIT_RECORD_H_
#define SEQUOIAPATH_PROTOCOL_AUDIT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/protocol/verdict.h"

namespace sequoiapath {

// One attempt to change the configuration.
struct AuditRecord {
  std::string time;  // UTC, as in "2024-05-17T09:30:00Z".
  std::string operator_name;
  std::string operator_host;  // Host of the operator.
  std::string change_id;
  std::uint64_t generation = 0;  // Created by the change, or refused on.
  std::string outcome;           // "applied" or "refused".
  std::string detail;
  std::vector<std::string> changes;  // For people.
  std::size_t changes_left_out = 0;  // Beyond those in `changes`.

  friend bool operator==(const AuditRecord&, const AuditRecord&) = default;
};

// Returns one line of JSON without a line end. Thread-safe.
std::string EncodeAuditRecord(const AuditRecord& record);

// Parses a segment: one record a line, oldest first. Lines that are not records
// are skipped, so that a damaged line does not hide the others. Thread-safe.
std::vector<AuditRecord> DecodeAuditSegment(std::string_view segment);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_AUDIT_RECORD_H_
