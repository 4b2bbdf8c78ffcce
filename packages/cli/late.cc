// Subcommand "late": prints the late and failed requests of several daemons,
// newest first, with the answers that their callers received.

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "command.h"
#include "operator_call.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr const char* kLateName = "sequoiapath late";

// Returns the Unix time of the entry in milliseconds, or zero if it is absent.
std::int64_t EntryTimeMs(const nlohmann::json& entry) {
  const auto it = entry.find("when_ms");
  return it != entry.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                      : 0;
}

std::vector<nlohmann::json> CollectEntries(
    const std::vector<OperatorReply>& replies) {
  std::vector<nlohmann::json> entries;
  for (const OperatorReply& reply : replies) {
    if (reply.code != kExitOk || !reply.body.contains("entries")) continue;
    for (const nlohmann::json& entry : reply.body["entries"]) {
      if (entry.is_object()) entries.push_back(entry);
    }
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const nlohmann::json& a, const nlohmann::json& b) {
                     return EntryTimeMs(a) > EntryTimeMs(b);
                   });
  return entries;
}

void PrintEntry(const nlohmann::json& entry) {
  const auto when = std::chrono::system_clock::time_point(
      std::chrono::milliseconds(EntryTimeMs(entry)));
  const std::string verdict = FieldText(entry, "verdict");
  fmt::print(
      "{:%Y-%m-%dT%H:%M:%S}Z {} team={} service={} deadline={}ms "
      "response={}ms ideal={}ms outcome={}{}{} told=\"{}\" callers_told={} "
      "callers_gone={}\n",
      fmt::gmtime(std::chrono::system_clock::to_time_t(when)),
      FieldText(entry, "request_id"), FieldText(entry, "team"),
      FieldText(entry, "service"), FieldText(entry, "deadline_ms"),
      FieldText(entry, "response_ms"), FieldText(entry, "ideal_ms"),
      FieldText(entry, "outcome"), verdict.empty() ? "" : " verdict=" + verdict,
      verdict.empty() ? "" : " reason=" + FieldText(entry, "reason"),
      FieldText(entry, "told"), FieldText(entry, "callers_told"),
      FieldText(entry, "callers_gone"));
}

}  // namespace
}  // namespace internal

int RunLate(int argc, const char** argv) {
  const auto arguments =
      ParseOperatorArguments(internal::kLateName, argc, argv);
  if (!arguments) return kExitUsage;
  const auto replies = ReadFromAll(*arguments, "/v1/late");
  if (arguments->json) {
    PrintJson(replies);
  } else {
    for (const auto& entry : internal::CollectEntries(replies)) {
      internal::PrintEntry(entry);
    }
  }
  return ReportErrors(internal::kLateName, replies);
}

}  // namespace sequoiapath
