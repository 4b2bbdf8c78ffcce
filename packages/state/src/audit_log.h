// Defines the layout of the audit trail and of the kept documents in the store:
// which puts and deletes add one record or one document.

#ifndef SEQUOIAPATH_STATE_AUDIT_LOG_H_
#define SEQUOIAPATH_STATE_AUDIT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiapath/protocol/audit_record.h"
#include "sequoiapath/protocol/store_api.h"

namespace sequoiapath::internal {

// The segment that takes the next record.
struct AuditSegment {
  std::uint64_t number = 0;
  std::int64_t mod_revision = 0;  // Zero: it does not exist yet.
  std::string text;
};

std::string AuditKey(std::uint64_t number);
std::string DocumentKey(std::uint64_t generation);

// Reads the newest segment from a reply to GetLast(kAuditPrefix).
AuditSegment ReadLastSegment(const RangeReply& reply);

// Adds the record to the transaction: to `segment`, or to a new one if it is
// full. Removes the oldest segments beyond the bound. Returns the key that the
// transaction compares.
std::string AppendAudit(const AuditSegment& segment, const AuditRecord& record,
                        StoreTxn* txn);

// Adds the document of a generation to the transaction and removes those beyond
// the bound.
void AppendDocument(std::uint64_t generation, std::string_view document,
                    StoreTxn* txn);

// Returns the text that Compress was given; empty if it is damaged.
std::string Compress(std::string_view text);
std::string Decompress(std::string_view bytes);

}  // namespace sequoiapath::internal

#endif  // SEQUOIAPATH_STATE_AUDIT_LOG_H_
