// Subcommands "apply" and "revert-to": change the configuration in the store.

#include <fmt/format.h>

#include <utility>

#include "command.h"
#include "config_command.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr ConfigUsage kApplyUsage{"sequoiapath apply", "FILE"};
constexpr ConfigUsage kRevertUsage{"sequoiapath revert-to", "GENERATION"};

std::uint64_t MinGeneration(const ConfigOptions& options) {
  return options.above_generation == 0 ? 0 : options.above_generation + 1;
}

// Records in the audit trail that an invalid file was rejected, if the store is
// reachable.
void RecordInvalidFile(const ConfigOptions& options) {
  ConfigConnection connection(options.store);
  std::optional<bool> recorded;
  connection.config.RecordRefusal(
      options.author, fmt::format("{} is not valid", options.argument),
      [&recorded](bool ok) { recorded = ok; });
  if (!connection.Wait(recorded)) {
    fmt::print(stderr,
               "{}: cannot record the rejected file in the audit trail\n",
               kApplyUsage.command);
  }
}

}  // namespace
}  // namespace internal

int RunApply(int argc, const char** argv) {
  const ConfigUsage& usage = internal::kApplyUsage;
  const auto options = ParseConfigOptions(usage, argc, argv);
  if (!options) return kExitUsage;
  auto document = ReadDocumentFile(usage, *options);
  if (!document) {
    internal::RecordInvalidFile(*options);
    return kExitUsage;
  }
  ConfigConnection connection(options->store);
  std::optional<ChangeReport> report;
  connection.config.Apply(
      {options->author, std::move(*document), options->base_generation,
       internal::MinGeneration(*options)},
      [&report](const ChangeReport& received) { report = received; });
  return PrintReport(usage, *options, connection.Wait(report));
}

int RunRevertTo(int argc, const char** argv) {
  const ConfigUsage& usage = internal::kRevertUsage;
  const auto options = ParseConfigOptions(usage, argc, argv);
  if (!options) return kExitUsage;
  const auto generation = ParseGeneration(options->argument);
  if (!generation) {
    fmt::print(stderr, "{}: expected a generation, found \"{}\"\n",
               usage.command, options->argument);
    return kExitUsage;
  }
  ConfigConnection connection(options->store);
  std::optional<ChangeReport> report;
  connection.config.RevertTo(
      *generation, options->author, internal::MinGeneration(*options),
      [&report](const ChangeReport& received) { report = received; });
  return PrintReport(usage, *options, connection.Wait(report));
}

}  // namespace sequoiapath
