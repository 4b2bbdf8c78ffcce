// Subcommand "history": prints the audit trail, newest first.

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "command.h"
#include "config_command.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr ConfigUsage kHistoryUsage{"sequoiapath history", ""};

void PrintRecord(const AuditRecord& record) {
  fmt::print("{} generation {} {} by {} from {}, change {}{}{}\n", record.time,
             record.generation, record.outcome, record.operator_name,
             record.operator_host, record.change_id,
             record.detail.empty() ? "" : ": ", record.detail);
  for (const std::string& change : record.changes) {
    fmt::print("  {}\n", change);
  }
  if (record.changes_left_out > 0) {
    fmt::print("  and {} more\n", record.changes_left_out);
  }
}

}  // namespace
}  // namespace internal

int RunHistory(int argc, const char** argv) {
  const ConfigUsage& usage = internal::kHistoryUsage;
  const auto options = ParseConfigOptions(usage, argc, argv);
  if (!options) return kExitUsage;
  ConfigConnection connection(options->store);
  std::optional<Result<std::vector<AuditRecord>>> read;
  connection.config.History(options->limit,
                            [&read](auto result) { read = std::move(result); });
  const auto result = connection.Wait(read);
  if (const Failure* failure = GetFailure(result)) {
    return PrintFailure(usage, *options, *failure);
  }
  const auto& records = std::get<std::vector<AuditRecord>>(result);
  if (!options->json) {
    for (const AuditRecord& record : records) internal::PrintRecord(record);
    return kExitOk;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const AuditRecord& record : records) {
    list.push_back(nlohmann::json::parse(EncodeAuditRecord(record)));
  }
  fmt::print("{}\n", list.dump(2));
  return kExitOk;
}

}  // namespace sequoiapath
