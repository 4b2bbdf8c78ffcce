// Defines operations on changes of the configuration document: computing the
// difference of two documents, rebasing a change on a newer document, and
// creating the next record.

#ifndef SEQUOIAPATH_COORDINATION_CONFIG_CHANGE_H_
#define SEQUOIAPATH_COORDINATION_CONFIG_CHANGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/document.h"

namespace sequoiapath {

// One changed field. Values are JSON texts. An empty `field` means the whole
// entry; an empty value means that the entry or field is absent from that
// document.
struct FieldChange {
  std::string section;
  std::string name;
  std::string field;
  std::string old_value;
  std::string new_value;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

// A field that two changes set to different values. Its strings have the same
// meaning as in FieldChange.
struct FieldConflict {
  std::string section;
  std::string name;
  std::string field;
  std::string base;
  std::string ours;    // Value set by the change that is being rebased.
  std::string theirs;  // Value in the newer document.

  friend bool operator==(const FieldConflict&, const FieldConflict&) = default;
};

using FieldChanges = std::vector<FieldChange>;
using FieldConflicts = std::vector<FieldConflict>;
using RebaseResult = std::variant<Document, FieldConflicts, DocumentErrors>;

// Returns the changed fields, sorted by section, name and field.
// Precondition: both documents are valid. Thread-safe.
FieldChanges DiffDocuments(const Document& from, const Document& to);

// Applies the change from `base` to `wanted` to `current` by a three-way merge.
// Fields that only one side changed are merged. The result is validated,
// because merging two valid changes can give an invalid document. Returns the
// merged document, all conflicts, or all validation errors. Thread-safe.
RebaseResult RebaseChange(const Document& base, const Document& wanted,
                          const Document& current);

// Returns the record that follows `current`; null means that there is no record
// yet. Its generation is at least `min_generation`. Thread-safe.
ConfigRecord NextConfigRecord(const ConfigRecord* current,
                              const Document& document, std::string change_id,
                              std::uint64_t min_generation);

// Return a change or conflict as one human-readable line without a line
// terminator. Thread-safe.
std::string FormatChange(const FieldChange& change);
std::string FormatConflict(const FieldConflict& conflict);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CONFIG_CHANGE_H_
