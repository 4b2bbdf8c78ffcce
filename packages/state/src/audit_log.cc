#include "audit_log.h"

#include <fmt/format.h>
#include <zstd.h>

#include <charconv>

#include "sequoiapath/state/config_store.h"

namespace sequoiapath::internal {
namespace {

constexpr int kCompressionLevel = 3;

// Adds the deletion of the keys numbered 0..number-1 to the transaction.
void DeleteBelow(const char* prefix, std::uint64_t number, StoreTxn* txn) {
  if (number == 0) return;
  txn->deletes.push_back({fmt::format("{}{:010}", prefix, 0),
                          fmt::format("{}{:010}", prefix, number)});
}

std::uint64_t FirstRetained(std::uint64_t newest, std::uint64_t count) {
  return newest < count ? 0 : newest - count + 1;
}

}  // namespace

std::string AuditKey(std::uint64_t number) {
  return fmt::format("{}{:010}", kAuditPrefix, number);
}

std::string DocumentKey(std::uint64_t generation) {
  return fmt::format("{}{:010}", kDocumentPrefix, generation);
}

AuditSegment ReadLastSegment(const RangeReply& reply) {
  AuditSegment segment;
  if (reply.entries.empty()) return segment;
  const StoreEntry& entry = reply.entries.front();
  std::string_view digits = entry.key;
  digits.remove_prefix(std::string_view(kAuditPrefix).size());
  std::from_chars(digits.data(), digits.data() + digits.size(), segment.number);
  segment.mod_revision = entry.mod_revision;
  segment.text = entry.value;
  return segment;
}

std::string AppendAudit(const AuditSegment& segment, const AuditRecord& record,
                        StoreTxn* txn) {
  const std::string line = EncodeAuditRecord(record) + "\n";
  const bool is_full =
      segment.text.size() + line.size() > kMaxAuditSegmentBytes;
  const bool starts_new = is_full && segment.mod_revision != 0;
  const std::uint64_t number = segment.number + (starts_new ? 1 : 0);
  std::string key = AuditKey(number);
  txn->conditions.push_back({key, starts_new ? 0 : segment.mod_revision});
  txn->puts.push_back({key, (starts_new ? "" : segment.text) + line});
  if (starts_new) {
    DeleteBelow(kAuditPrefix, FirstRetained(number, kMaxAuditSegments), txn);
  }
  return key;
}

void AppendDocument(std::uint64_t generation, std::string_view document,
                    StoreTxn* txn) {
  txn->puts.push_back({DocumentKey(generation), Compress(document)});
  DeleteBelow(kDocumentPrefix, FirstRetained(generation, kMaxStoredDocuments),
              txn);
}

std::string Compress(std::string_view text) {
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(
      bytes.data(), bytes.size(), text.data(), text.size(), kCompressionLevel);
  bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return bytes;
}

std::string Decompress(std::string_view bytes) {
  const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  // The check also rejects the two error codes of zstd, which are the largest
  // values of the type.
  if (size > kMaxDocumentBytes) return "";
  std::string text(size, '\0');
  const std::size_t actual =
      ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
  return ZSTD_isError(actual) != 0 || actual != size ? "" : text;
}

}  // namespace sequoiapath::internal
