// Defines the layout of the audit trail and of the retained documents in the
// store: the puts and deletes that add one record or one document.

#ifndef SEQUOIAPATH_STATE_AUDIT_LOG_H_
#define SEQUOIAPATH_STATE_AUDIT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiapath/protocol/audit_record.h"
#include "sequoiapath/protocol/store_api.h"

namespace sequoiapath::internal {

// The segment to which the next record is appended.
struct AuditSegment {
  std::uint64_t number = 0;
  std::int64_t mod_revision = 0;  // Zero if the segment does not exist yet.
  std::string text;
};

std::string AuditKey(std::uint64_t number);
std::string DocumentKey(std::uint64_t generation);

// Returns the segment in a reply to GetLast(kAuditPrefix) or GetKey; the
// default value if the reply is empty.
AuditSegment ReadLastSegment(const RangeReply& reply);

// Adds to the transaction the put that appends the record to `segment`, or to a
// new segment if `segment` is full, and the deletion of the segments older than
// the newest kMaxAuditSegments. Returns the key of the written segment, whose
// revision the transaction compares.
std::string AppendAudit(const AuditSegment& segment, const AuditRecord& record,
                        StoreTxn* txn);

// Adds to the transaction the put of a generation's document and the deletion
// of the documents older than the last kMaxStoredDocuments generations.
void AppendDocument(std::uint64_t generation, std::string_view document,
                    StoreTxn* txn);

// Compress returns an empty string on failure. Decompress returns the original
// text, or an empty string if the data is damaged or the text is too large.
std::string Compress(std::string_view text);
std::string Decompress(std::string_view bytes);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_AUDIT_LOG_H_
