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

// The canonical form as a tree: a new field of the document takes part in
// differences and merges without a change here.
Json ToTree(const Document& document) {
  return Json::parse(EncodeDocument(document), nullptr, false);
}

Entries ReadEntries(const Json& tree, const char* section) {
  Entries entries;
  for (const Json& entry : tree.at(section)) {
    entries.emplace(entry.at("name").get<std::string>(), entry);
  }
  return entries;
}

// Returns the entry or field, or null (which no valid document holds).
template <typename Container>
Json Get(const Container& container, const std::string& key) {
  const auto it = container.find(key);
  if (it == container.end()) return nullptr;
  if constexpr (std::is_same_v<Container, Json>) {
    return *it;
  } else {
    return it->second;
  }
}

std::string Text(const Json& value) {
  return value.is_null() ? "" : value.dump();
}

template <typename... Containers>
std::set<std::string> Keys(const Containers&... containers) {
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
    changes->push_back({section, name, "", Text(from), Text(to)});
    return;
  }
  for (const std::string& field : Keys(from, to)) {
    const Json old_value = Get(from, field);
    const Json new_value = Get(to, field);
    if (old_value == new_value) continue;
    changes->push_back(
        {section, name, field, Text(old_value), Text(new_value)});
  }
}

// Three-way choice between values; false if both sides differ from the base and
// from each other.
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

// Merges the fields of an entry that both sides have.
Json MergeFields(const char* section, const std::string& name, const Json& base,
                 const Json& ours, const Json& theirs,
                 FieldConflicts* conflicts) {
  Json merged = Json::object();
  for (const std::string& field : Keys(ours, theirs)) {
    const Json base_value = base.is_null() ? Json() : Get(base, field);
    const Json our_value = Get(ours, field);
    const Json their_value = Get(theirs, field);
    Json value;
    if (!Merge(base_value, our_value, their_value, &value)) {
      conflicts->push_back({section, name, field, Text(base_value),
                            Text(our_value), Text(their_value)});
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
  // One side removed what the other changed.
  conflicts->push_back(
      {section, name, "", Text(base), Text(ours), Text(theirs)});
  return merged;
}

Json MergeSection(const char* section, const Json& base, const Json& ours,
                  const Json& theirs, FieldConflicts* conflicts) {
  const Entries base_entries = ReadEntries(base, section);
  const Entries our_entries = ReadEntries(ours, section);
  const Entries their_entries = ReadEntries(theirs, section);
  Json merged = Json::array();
  for (const std::string& name : Keys(our_entries, their_entries)) {
    Json entry =
        MergeEntry(section, name, Get(base_entries, name),
                   Get(our_entries, name), Get(their_entries, name), conflicts);
    if (!entry.is_null()) merged.push_back(std::move(entry));
  }
  return merged;
}

std::string Place(const std::string& section, const std::string& name,
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
  const internal::Json old_tree = internal::ToTree(from);
  const internal::Json new_tree = internal::ToTree(to);
  for (const char* section : internal::kSections) {
    const auto old_entries = internal::ReadEntries(old_tree, section);
    const auto new_entries = internal::ReadEntries(new_tree, section);
    for (const std::string& name : internal::Keys(old_entries, new_entries)) {
      internal::DiffEntry(section, name, internal::Get(old_entries, name),
                          internal::Get(new_entries, name), &changes);
    }
  }
  return changes;
}

RebaseResult RebaseChange(const Document& base, const Document& wanted,
                          const Document& current) {
  if (base == current) return wanted;
  const internal::Json base_tree = internal::ToTree(base);
  const internal::Json wanted_tree = internal::ToTree(wanted);
  const internal::Json current_tree = internal::ToTree(current);
  FieldConflicts conflicts;
  internal::Json merged = internal::Json::object();
  for (const char* section : internal::kSections) {
    merged[section] = internal::MergeSection(section, base_tree, wanted_tree,
                                             current_tree, &conflicts);
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
  const std::string place =
      internal::Place(change.section, change.name, change.field);
  if (change.field.empty() && change.old_value.empty()) {
    return fmt::format("+ {}: {}", place, change.new_value);
  }
  if (change.field.empty()) return fmt::format("- {}", place);
  return fmt::format("~ {}: {} -> {}", place,
                     internal::OrAbsent(change.old_value),
                     internal::OrAbsent(change.new_value));
}

std::string FormatConflict(const FieldConflict& conflict) {
  return fmt::format(
      "! {}: was {}; this change wants {}; the newer generation has {}",
      internal::Place(conflict.section, conflict.name, conflict.field),
      internal::OrAbsent(conflict.base), internal::OrAbsent(conflict.ours),
      internal::OrAbsent(conflict.theirs));
}

}  // namespace sequoiapath
