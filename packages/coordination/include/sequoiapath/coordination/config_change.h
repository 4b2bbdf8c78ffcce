// Defines changes of the configuration document: the difference of two
// documents, the rebase of a change on a newer document, and the next record.

#ifndef SEQUOIAPATH_COORDINATION_CONFIG_CHANGE_H_
#define SEQUOIAPATH_COORDINATION_CONFIG_CHANGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sequoiapath/protocol/document.h"

namespace sequoiapath {

// One changed field. Values are JSON texts. An empty `field` stands for the
// whole entry; an empty value says that the entry does not exist on that side.
struct FieldChange {
  std::string section;
  std::string name;
  std::string field;
  std::string old_value;
  std::string new_value;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

// A field that two changes set to different values. Values as in FieldChange.
struct FieldConflict {
  std::string section;
  std::string name;
  std::string field;
  std::string base;
  std::string ours;    // Wanted by the change that is being rebased.
  std::string theirs;  // In the newer document.

  friend bool operator==(const FieldConflict&, const FieldConflict&) = default;
};

using FieldChanges = std::vector<FieldChange>;
using FieldConflicts = std::vector<FieldConflict>;
using RebaseResult = std::variant<Document, FieldConflicts, DocumentErrors>;

// Returns what differs, sorted by section, name and field.
// Precondition: both documents are valid. Thread-safe.
FieldChanges DiffDocuments(const Document& from, const Document& to);

// Applies the change from `base` to `wanted` to `current`. Fields that only one
// side changed are merged, and the result is validated again, because two valid
// changes may not fit together. Returns every conflict. Thread-safe.
RebaseResult RebaseChange(const Document& base, const Document& wanted,
                          const Document& current);

// Returns the record that follows `current` (null: there is none yet). Its
// generation is at least `min_generation`. Thread-safe.
ConfigRecord NextConfigRecord(const ConfigRecord* current,
                              const Document& document, std::string change_id,
                              std::uint64_t min_generation);

// Return one line for people, without a line end. Thread-safe.
std::string FormatChange(const FieldChange& change);
std::string FormatConflict(const FieldConflict& conflict);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_COORDINATION_CONFIG_CHANGE_H_
