#include "config_console.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <ctime>
#include <iomanip>
#include <sstream>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// The number of records on the console's history page.
constexpr std::size_t kHistoryEntries = 100;

std::variant<Difference, DocumentErrors> PreviewChange(
    const ConfigProposal& proposal) {
  auto rebased = RebaseChange(proposal.base, proposal.proposed, proposal.base);
  if (const auto* document = std::get_if<Document>(&rebased)) {
    return DiffDocuments(proposal.base, *document);
  }
  if (auto* errors = std::get_if<DocumentErrors>(&rebased)) {
    return std::move(*errors);
  }
  return Difference();
}

SubmitResult ToResult(const ChangeReport& report) {
  if (report.outcome == ChangeOutcome::kApplied) {
    return ChangeApplied{report.generation};
  }
  if (report.outcome == ChangeOutcome::kUnknown) {
    return ChangeUnknown{report.detail};
  }
  if (!report.conflicts.empty()) {
    return ChangeConflict{report.generation, report.conflicts};
  }
  if (!report.errors.empty()) return report.errors;
  return ChangeNotApplied{report.detail};
}

std::chrono::system_clock::time_point ParseTime(const std::string& text) {
  std::tm time{};
  std::istringstream stream(text);
  stream >> std::get_time(&time, "%Y-%m-%dT%H:%M:%SZ");
  if (stream.fail()) return {};
  return std::chrono::system_clock::from_time_t(timegm(&time));
}

HistoryEntry ToEntry(const AuditRecord& record) {
  std::string summary = fmt::format("{}", fmt::join(record.changes, "; "));
  if (record.changes_left_out > 0) {
    summary += fmt::format("; and {} more", record.changes_left_out);
  }
  if (summary.empty()) summary = record.detail;
  return {ParseTime(record.time), record.operator_name, record.operator_host,
          record.change_id,       record.generation,    record.outcome,
          std::move(summary)};
}

}  // namespace
}  // namespace internal

void ConnectConfigStore(ConfigStore* store, OperatorBackend* backend) {
  backend->preview = internal::PreviewChange;
  backend->submit = [store](const ConfigProposal& proposal,
                            std::function<void(SubmitResult)> done) {
    ChangeRequest request{{proposal.author, proposal.remote_address},
                          proposal.proposed,
                          proposal.base_generation,
                          0,
                          proposal.change_id};
    store->Apply(std::move(request),
                 [done = std::move(done)](const ChangeReport& report) {
                   done(internal::ToResult(report));
                 });
  };
  backend->history = [store](std::function<void(HistoryResult)> done) {
    store->History(internal::kHistoryEntries,
                   [done = std::move(done)](
                       const Result<std::vector<AuditRecord>>& result) {
                     if (const Failure* failure = GetFailure(result)) {
                       done(*failure);
                       return;
                     }
                     std::vector<HistoryEntry> entries;
                     for (const auto& record :
                          std::get<std::vector<AuditRecord>>(result)) {
                       entries.push_back(internal::ToEntry(record));
                     }
                     done(std::move(entries));
                   });
  };
}

}  // namespace sequoiapath
