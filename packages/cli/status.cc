// Subcommand "status": prints the state of several daemons and by how many
// generations each is behind the greatest one.

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>

#include "command.h"
#include "operator_call.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr const char* kStatusName = "sequoiapath status";

std::uint64_t GenerationOf(const OperatorReply& reply) {
  const auto it = reply.body.find("generation");
  return it != reply.body.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

void PrintStatus(const std::vector<OperatorReply>& replies) {
  std::uint64_t greatest = 0;
  for (const OperatorReply& reply : replies) {
    if (reply.code == kExitOk) {
      greatest = std::max(greatest, GenerationOf(reply));
    }
  }
  constexpr const char* kRow =
      "{:<21} {:<16} {:<12} {:>10} {:<10} {:>7} {:>8}\n";
  fmt::print(kRow, "OPERATOR", "VM", "DATA CENTRE", "GENERATION", "CONFIG",
             "RUNNING", "WAITING");
  for (const OperatorReply& reply : replies) {
    if (reply.code != kExitOk) continue;
    const std::uint64_t generation = GenerationOf(reply);
    fmt::print(kRow, ToString(reply.endpoint), FieldText(reply.body, "vm"),
               FieldText(reply.body, "data_centre"), generation,
               generation == greatest
                   ? "current"
                   : fmt::format("behind {}", greatest - generation),
               FieldText(reply.body, "running_jobs"),
               FieldText(reply.body, "waiting_tasks"));
  }
}

}  // namespace
}  // namespace internal

int RunStatus(int argc, const char** argv) {
  const auto arguments =
      ParseOperatorArguments(internal::kStatusName, argc, argv);
  if (!arguments) return kExitUsage;
  const auto replies = ReadFromAll(*arguments, "/v1/status");
  if (arguments->json) {
    PrintJson(replies);
  } else {
    internal::PrintStatus(replies);
  }
  return ReportErrors(internal::kStatusName, replies);
}

}  // namespace sequoiapath
