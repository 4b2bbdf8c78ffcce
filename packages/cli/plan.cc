// Subcommands "check" and "plan": validate a configuration file and print the
// changes that applying it would make, without applying it.

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "command.h"
#include "config_command.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr ConfigUsage kCheckUsage{"sequoiapath check", "FILE",
                                  /*needs_store=*/false};
constexpr ConfigUsage kPlanUsage{"sequoiapath plan", "FILE"};

// Returns the document of the base generation, or `current` if none is given.
Result<Document> ReadBase(ConfigConnection* connection,
                          const ConfigOptions& options,
                          const Document& current) {
  if (!options.base_generation) return current;
  std::optional<Result<Document>> base;
  connection->config.ReadDocument(
      *options.base_generation,
      [&base](Result<Document> read) { base = std::move(read); });
  return connection->Wait(base);
}

// Returns the outcome, changes, conflicts and errors that "apply" would report
// while `current` is in force.
ChangeReport MakePlan(const Document& base, const Document& wanted,
                      const Document& current) {
  ChangeReport report;
  const RebaseResult rebased = RebaseChange(base, wanted, current);
  if (const auto* document = std::get_if<Document>(&rebased)) {
    report.changes = DiffDocuments(current, *document);
    report.outcome = ChangeOutcome::kApplied;
  } else if (const auto* conflicts = std::get_if<FieldConflicts>(&rebased)) {
    report.conflicts = *conflicts;
  } else {
    report.errors = std::get<DocumentErrors>(rebased);
  }
  return report;
}

// Prints the plan. Its outcome is "not_applied" because planning applies
// nothing.
int PrintPlan(const ConfigOptions& options, ChangeReport plan) {
  const bool can_apply = plan.outcome == ChangeOutcome::kApplied;
  plan.outcome = ChangeOutcome::kNotApplied;
  plan.detail = !can_apply             ? "plan: apply would be refused"
                : plan.changes.empty() ? "plan: no change"
                                       : "plan: can be applied";
  PrintReport(kPlanUsage, options, plan);
  return can_apply ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace internal

int RunCheck(int argc, const char** argv) {
  const ConfigUsage& usage = internal::kCheckUsage;
  const auto options = ParseConfigOptions(usage, argc, argv);
  if (!options) return kExitUsage;
  const auto document = ReadDocumentFile(usage, *options);
  if (!document) return kExitUsage;
  if (options->json) {
    fmt::print("{}\n",
               nlohmann::json{{"errors", nlohmann::json::array()}}.dump());
    return kExitOk;
  }
  fmt::print(
      "{}: valid: {} data centres, {} services, {} teams, {} workers, {} bytes "
      "of {}\n",
      options->argument, document->data_centres.size(),
      document->services.size(), document->teams.size(),
      document->workers.size(), EncodeDocument(*document).size(),
      kMaxDocumentBytes);
  return kExitOk;
}

int RunPlan(int argc, const char** argv) {
  const ConfigUsage& usage = internal::kPlanUsage;
  const auto options = ParseConfigOptions(usage, argc, argv);
  if (!options) return kExitUsage;
  const auto wanted = ReadDocumentFile(usage, *options);
  if (!wanted) return kExitUsage;
  ConfigConnection connection(options->store);
  std::optional<Result<ConfigSnapshot>> read;
  connection.config.Read(
      [&read](Result<ConfigSnapshot> result) { read = std::move(result); });
  const auto snapshot = connection.Wait(read);
  if (const Failure* failure = GetFailure(snapshot)) {
    return PrintFailure(usage, *options, *failure);
  }
  const auto& record = std::get<ConfigSnapshot>(snapshot).record;
  Document current;
  if (record) {
    DocumentResult parsed = ParseDocumentJson(record->document);
    if (auto* document = std::get_if<Document>(&parsed)) {
      current = std::move(*document);
    }
  }
  const auto base = internal::ReadBase(&connection, *options, current);
  if (const Failure* failure = GetFailure(base)) {
    return PrintFailure(usage, *options, *failure);
  }
  ChangeReport plan =
      internal::MakePlan(std::get<Document>(base), *wanted, current);
  plan.generation = record ? record->generation : 0;
  return internal::PrintPlan(*options, std::move(plan));
}

}  // namespace sequoiapath
