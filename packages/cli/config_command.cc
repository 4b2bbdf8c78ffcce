#include "config_command.h"

#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "command.h"

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

constexpr auto kStoreTimeout = std::chrono::seconds(5);
constexpr auto kChangeTimeLimit = std::chrono::seconds(20);

std::string HostName() {
  std::array<char, 256> name{};
  gethostname(name.data(), name.size() - 1);
  return name.data();
}

std::string UserName() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

Json ToJson(const DocumentError& error) {
  return {{"line", error.line},
          {"key", error.key},
          {"found", error.found},
          {"allowed", error.allowed}};
}

Json ToJson(const FieldChange& change) {
  return {{"section", change.section},
          {"name", change.name},
          {"field", change.field},
          {"old", change.old_value},
          {"new", change.new_value}};
}

Json ToJson(const FieldConflict& conflict) {
  return {{"section", conflict.section}, {"name", conflict.name},
          {"field", conflict.field},     {"base", conflict.base},
          {"ours", conflict.ours},       {"theirs", conflict.theirs}};
}

template <typename Item>
Json ListToJson(const std::vector<Item>& items) {
  Json list = Json::array();
  for (const Item& item : items) list.push_back(ToJson(item));
  return list;
}

void PrintJson(const Json& json) {
  fmt::print("{}\n", json.dump(2, ' ', false, Json::error_handler_t::replace));
}

std::string ValueOrAbsent(const std::string& value) {
  return value.empty() ? "(absent)" : value;
}

// Prints the values of each conflict and how to resolve it.
void PrintConflicts(const ChangeReport& report) {
  for (const FieldConflict& conflict : report.conflicts) {
    fmt::print("conflict: {} \"{}\" {}\n", conflict.section, conflict.name,
               conflict.field);
    const std::string newer =
        fmt::format("generation {} has", report.generation);
    fmt::print("  {:<20} {}\n", "both changed", ValueOrAbsent(conflict.base));
    fmt::print("  {:<20} {}\n", "this change wants",
               ValueOrAbsent(conflict.ours));
    fmt::print("  {:<20} {}\n", newer, ValueOrAbsent(conflict.theirs));
  }
  if (report.conflicts.empty()) return;
  fmt::print("Edit the file for generation {0} and use --base {0}.\n",
             report.generation);
}

void PrintErrors(const std::string& file, const DocumentErrors& errors,
                 std::FILE* stream) {
  for (const DocumentError& error : errors) {
    fmt::print(stream, "{}:{}: {}: found {}; allowed: {}\n", file, error.line,
               error.key, error.found, error.allowed);
  }
}

int ExitCodeOf(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kApplied:
      return kExitOk;
    case ChangeOutcome::kNotApplied:
      return kExitFailed;
    case ChangeOutcome::kUnknown:
      return kExitNoReply;
  }
  return kExitNoReply;
}

// Validates the parsed values and stores them in `options`; returns an error
// message if one is invalid.
std::optional<std::string> CheckOptions(const ConfigUsage& usage,
                                        const StringOption& store,
                                        const StringOption& base,
                                        ConfigOptions* options) {
  if (usage.needs_store) {
    const auto endpoint = ParseEndpoint(store.value());
    if (!endpoint || endpoint->port == 0) {
      return fmt::format(
          "--store: expected \"IPv4 address:port\", found \"{}\"",
          store.value());
    }
    options->store = *endpoint;
  }
  if (base.given()) {
    options->base_generation = ParseGeneration(base.value());
    if (!options->base_generation) {
      return fmt::format(
          "--base: expected a generation of 1 or more, found \"{}\"",
          base.value());
    }
  }
  return std::nullopt;
}

}  // namespace
}  // namespace internal

std::optional<std::uint64_t> ParseGeneration(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value == 0) {
    return std::nullopt;
  }
  return value;
}

std::optional<ConfigOptions> ParseConfigOptions(const ConfigUsage& usage,
                                                int argc, const char** argv) {
  StringOption store;
  StringOption operator_name;
  StringOption base;
  int json = 0;
  long long above = 0;  // NOLINT(google-runtime-int): popt's type.
  int limit = 20;
  const poptOption table[] = {
      {"store", 's', POPT_ARG_STRING, store.popt_arg(), 0,
       "address of the platform's key-value service", "ADDRESS:PORT"},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
      {"who", 'w', POPT_ARG_STRING, operator_name.popt_arg(), 0,
       "name for the audit trail (default: $USER)", "NAME"},
      {"base", 'b', POPT_ARG_STRING, base.popt_arg(), 0,
       "generation that the file was edited from (default: the one in force)",
       "GENERATION"},
      {"above", 'a', POPT_ARG_LONGLONG, &above, 0,
       "make the new generation greater than this; needed after the store was "
       "restored from a backup",
       "GENERATION"},
      {"limit", 'n', POPT_ARG_INT, &limit, 0,
       "maximum number of history records", "COUNT"},
      POPT_AUTOHELP POPT_TABLEEND};
  const auto rest = ParseArguments(usage.command, argc, argv, table);
  if (!rest) return std::nullopt;
  const std::size_t expected = *usage.argument == '\0' ? 0 : 1;
  if (rest->size() != expected || above < 0 || limit < 1) {
    fmt::print(stderr, "usage: {} [OPTION...] {}\n", usage.command,
               usage.argument);
    return std::nullopt;
  }
  ConfigOptions options;
  options.json = json != 0;
  options.author = {
      operator_name.given() ? operator_name.value() : internal::UserName(),
      internal::HostName()};
  options.above_generation = static_cast<std::uint64_t>(above);
  options.limit = static_cast<std::size_t>(limit);
  if (expected == 1) options.argument = rest->front();
  if (const auto error = internal::CheckOptions(usage, store, base, &options)) {
    fmt::print(stderr, "{}: {}\n", usage.command, *error);
    return std::nullopt;
  }
  return options;
}

ConfigConnection::ConfigConnection(const Endpoint& store)
    : client(&this->loop, {store}, internal::kStoreTimeout),
      config(&this->loop, &this->client, internal::kChangeTimeLimit) {}

std::optional<Document> ReadDocumentFile(const ConfigUsage& usage,
                                         const ConfigOptions& options) {
  const auto text = ReadInputFile(usage.command, options.argument);
  if (!text) return std::nullopt;
  DocumentResult parsed = ParseDocumentToml(*text);
  if (auto* document = std::get_if<Document>(&parsed)) {
    return std::move(*document);
  }
  const auto& errors = std::get<DocumentErrors>(parsed);
  if (options.json) {
    internal::PrintJson({{"errors", internal::ListToJson(errors)}});
  } else {
    internal::PrintErrors(options.argument, errors, stderr);
  }
  return std::nullopt;
}

int PrintReport(const ConfigUsage& usage, const ConfigOptions& options,
                const ChangeReport& report) {
  if (options.json) {
    internal::PrintJson({{"outcome", ToString(report.outcome)},
                         {"change_id", report.change_id},
                         {"generation", report.generation},
                         {"detail", report.detail},
                         {"changes", internal::ListToJson(report.changes)},
                         {"conflicts", internal::ListToJson(report.conflicts)},
                         {"errors", internal::ListToJson(report.errors)}});
    return internal::ExitCodeOf(report.outcome);
  }
  for (const FieldChange& change : report.changes) {
    fmt::print("{}\n", FormatChange(change));
  }
  internal::PrintConflicts(report);
  internal::PrintErrors("rebased document", report.errors, stdout);
  fmt::print("{}: {}: generation {}, change {}{}{}\n", usage.command,
             ToString(report.outcome), report.generation,
             report.change_id.empty() ? "none" : report.change_id,
             report.detail.empty() ? "" : ": ", report.detail);
  return internal::ExitCodeOf(report.outcome);
}

int PrintFailure(const ConfigUsage& usage, const ConfigOptions& options,
                 const Failure& failure) {
  if (options.json) {
    internal::PrintJson({{"error", failure.detail}});
  } else {
    fmt::print(stderr, "{}: {}\n", usage.command, failure.detail);
  }
  return kExitFailed;
}

}  // namespace sequoiapath
