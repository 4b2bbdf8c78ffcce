#include "sequoiapath/coordination/config_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

// Entries of a section by name.
using Entries = std::map<std::string, Json>;

constexpr std::array<const char*, 4> kSections{"data_centres", "services",
                                               "teams", "workers"};

// Returns the canonical JSON form of a document. Differences and merges work on
// JSON, so that they include new document fields without a change in this file.
Json ToJson(const Document& document) {
  return Json::parse(EncodeDocument(document), nullptr, false);
}

Entries ReadEntries(const Json& document, const char* section) {
  Entries entries;
  for (const Json& entry : document.at(section)) {
    entries.emplace(entry.at("name").get<std::string>(), entry);
  }
  return entries;
}

// Returns the entry or field called `key`, or null if it is absent. A valid
// document contains no JSON null, so null always means absent.
template <typename Container>
Json FindOrNull(const Container& container, const std::string& key) {
  const auto it = container.find(key);
  if (it == container.end()) return nullptr;
  if constexpr (std::is_same_v<Container, Json>) {
    return *it;
  } else {
    return it->second;
  }
}

std::string DumpOrEmpty(const Json& value) {
  return value.is_null() ? "" : value.dump();
}

template <typename... Containers>
std::set<std::string> KeyUnion(const Containers&... containers) {
  std::set<std::string> keys;
  const auto add = [&keys](const auto& container) {
    if constexpr (std::is_same_v<std::decay_t<decltype(container)>, Json>) {
      for (const auto& item : container.items()) keys.insert(item.key());
    } else {
      for (const auto& item : container) keys.insert(item.first);
    }
  };
  (add(containers), ...);
  return keys;
}

void DiffEntry(const char* section, const std::string& name, const Json& from,
               const Json& to, FieldChanges* changes) {
  if (from == to) return;
  if (from.is_null() || to.is_null()) {
    changes->push_back({section, name, "", DumpOrEmpty(from), DumpOrEmpty(to)});
    return;
  }
  for (const std::string& field : KeyUnion(from, to)) {
    const Json old_value = FindOrNull(from, field);
    const Json new_value = FindOrNull(to, field);
    if (old_value == new_value) continue;
    changes->push_back(
        {section, name, field, DumpOrEmpty(old_value), DumpOrEmpty(new_value)});
  }
}

// Merges one value by a three-way merge. Returns false if both sides differ
// from the base and from each other.
bool Merge(const Json& base, const Json& ours, const Json& theirs,
           Json* merged) {
  if (ours == theirs || theirs == base) {
    *merged = ours;
    return true;
  }
  if (ours == base) {
    *merged = theirs;
    return true;
  }
  return false;
}

// Merges the fields of an entry that is present on both sides.
Json MergeFields(const char* section, const std::string& name, const Json& base,
                 const Json& ours, const Json& theirs,
                 FieldConflicts* conflicts) {
  Json merged = Json::object();
  for (const std::string& field : KeyUnion(ours, theirs)) {
    const Json base_value = base.is_null() ? Json() : FindOrNull(base, field);
    const Json our_value = FindOrNull(ours, field);
    const Json their_value = FindOrNull(theirs, field);
    Json value;
    if (!Merge(base_value, our_value, their_value, &value)) {
      conflicts->push_back({section, name, field, DumpOrEmpty(base_value),
                            DumpOrEmpty(our_value), DumpOrEmpty(their_value)});
    }
    merged[field] = std::move(value);
  }
  return merged;
}

Json MergeEntry(const char* section, const std::string& name, const Json& base,
                const Json& ours, const Json& theirs,
                FieldConflicts* conflicts) {
  Json merged;
  if (Merge(base, ours, theirs, &merged)) return merged;
  if (!ours.is_null() && !theirs.is_null()) {
    return MergeFields(section, name, base, ours, theirs, conflicts);
  }
  // One side removed the entry and the other side changed it.
  conflicts->push_back({section, name, "", DumpOrEmpty(base), DumpOrEmpty(ours),
                        DumpOrEmpty(theirs)});
  return merged;
}

Json MergeSection(const char* section, const Json& base, const Json& ours,
                  const Json& theirs, FieldConflicts* conflicts) {
  const Entries base_entries = ReadEntries(base, section);
  const Entries our_entries = ReadEntries(ours, section);
  const Entries their_entries = ReadEntries(theirs, section);
  Json merged = Json::array();
  for (const std::string& name : KeyUnion(our_entries, their_entries)) {
    Json entry = MergeEntry(section, name, FindOrNull(base_entries, name),
                            FindOrNull(our_entries, name),
                            FindOrNull(their_entries, name), conflicts);
    if (!entry.is_null()) merged.push_back(std::move(entry));
  }
  return merged;
}

std::string FormatLocation(const std::string& section, const std::string& name,
                           const std::string& field) {
  return field.empty() ? fmt::format("{} \"{}\"", section, name)
                       : fmt::format("{} \"{}\" {}", section, name, field);
}

std::string OrAbsent(const std::string& value) {
  return value.empty() ? "(absent)" : value;
}

}  // namespace
}  // namespace internal

FieldChanges DiffDocuments(const Document& from, const Document& to) {
  FieldChanges changes;
  const internal::Json old_json = internal::ToJson(from);
  const internal::Json new_json = internal::ToJson(to);
  for (const char* section : internal::kSections) {
    const auto old_entries = internal::ReadEntries(old_json, section);
    const auto new_entries = internal::ReadEntries(new_json, section);
    for (const std::string& name :
         internal::KeyUnion(old_entries, new_entries)) {
      internal::DiffEntry(section, name,
                          internal::FindOrNull(old_entries, name),
                          internal::FindOrNull(new_entries, name), &changes);
    }
  }
  return changes;
}

RebaseResult RebaseChange(const Document& base, const Document& wanted,
                          const Document& current) {
  if (base == current) return wanted;
  const internal::Json base_json = internal::ToJson(base);
  const internal::Json wanted_json = internal::ToJson(wanted);
  const internal::Json current_json = internal::ToJson(current);
  FieldConflicts conflicts;
  internal::Json merged = internal::Json::object();
  for (const char* section : internal::kSections) {
    merged[section] = internal::MergeSection(section, base_json, wanted_json,
                                             current_json, &conflicts);
  }
  if (!conflicts.empty()) return conflicts;
  DocumentResult parsed = ParseDocumentJson(merged.dump());
  if (auto* errors = std::get_if<DocumentErrors>(&parsed)) {
    return std::move(*errors);
  }
  return std::get<Document>(std::move(parsed));
}

ConfigRecord NextConfigRecord(const ConfigRecord* current,
                              const Document& document, std::string change_id,
                              std::uint64_t min_generation) {
  const std::uint64_t next = current == nullptr ? 1 : current->generation + 1;
  ConfigRecord record{std::max(next, min_generation), std::move(change_id), "",
                      EncodeDocument(document)};
  record.digest = Sha256Hex(record.document);
  return record;
}

std::string FormatChange(const FieldChange& change) {
  const std::string location =
      internal::FormatLocation(change.section, change.name, change.field);
  if (change.field.empty() && change.old_value.empty()) {
    return fmt::format("+ {}: {}", location, change.new_value);
  }
  if (change.field.empty()) return fmt::format("- {}", location);
  return fmt::format("~ {}: {} -> {}", location,
                     internal::OrAbsent(change.old_value),
                     internal::OrAbsent(change.new_value));
}

std::string FormatConflict(const FieldConflict& conflict) {
  return fmt::format(
      "! {}: was {}; this change wants {}; the newer generation has {}",
      internal::FormatLocation(conflict.section, conflict.name, conflict.field),
      internal::OrAbsent(conflict.base), internal::OrAbsent(conflict.ours),
      internal::OrAbsent(conflict.theirs));
}

}  // namespace sequoiapath
