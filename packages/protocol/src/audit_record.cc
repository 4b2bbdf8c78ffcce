#include "sequoiapath/protocol/audit_record.h"

#include <nlohmann/json.hpp>

namespace sequoiapath {

std::string EncodeAuditRecord(const AuditRecord& record) {
  const nlohmann::json json{{"time", record.time},
                            {"who", record.operator_name},
                            {"from", record.operator_host},
                            {"change_id", record.change_id},
                            {"generation", record.generation},
                            {"outcome", record.outcome},
                            {"detail", record.detail},
                            {"changes", record.changes},
                            {"changes_left_out", record.changes_left_out}};
  // Replaces invalid UTF-8 instead of throwing, because the operator's name may
  // contain any bytes.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<AuditRecord> DecodeAuditSegment(std::string_view segment) {
  std::vector<AuditRecord> records;
  while (!segment.empty()) {
    const std::string_view line = segment.substr(0, segment.find('\n'));
    segment.remove_prefix(std::min(segment.size(), line.size() + 1));
    try {
      const auto json = nlohmann::json::parse(line);
      records.push_back({json.at("time"), json.at("who"), json.at("from"),
                         json.at("change_id"), json.at("generation"),
                         json.at("outcome"), json.at("detail"),
                         json.at("changes").get<std::vector<std::string>>(),
                         json.at("changes_left_out")});
    } catch (const nlohmann::json::exception&) {
      continue;
    }
  }
  return records;
}

}  // namespace sequoiapath
