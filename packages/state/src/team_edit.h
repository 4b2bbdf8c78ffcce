// Defines TeamEdit, the contents of the console's form that adds or changes a
// team.

#ifndef SEQUOIAPATH_STATE_SRC_TEAM_EDIT_H_
#define SEQUOIAPATH_STATE_SRC_TEAM_EDIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "form.h"
#include "sequoiapath/state/operator_backend.h"

namespace sequoiapath {

// The form contains the values before the edit as well, so that a concurrent
// change by another operator is detected as a conflict and is not overwritten.
struct TeamEdit {
  std::uint64_t base_generation = 0;
  std::string change_id;
  std::optional<TeamSpec> base;  // Empty if the edit adds the team.
  TeamSpec proposed;
};

// Parses a submitted form. Returns an error for each invalid field.
std::variant<TeamEdit, DocumentErrors> ReadTeamEdit(const Form& form);

// Returns the hidden inputs with the base generation and the values before the
// edit.
std::string RenderTeamBase(const TeamEdit& edit);

// Returns the edit as a change of the configuration in force. `base` of the
// result is that configuration with the team as the operator saw it, so that a
// concurrent change of the same field is detected as a conflict.
ConfigProposal MakeProposal(const TeamEdit& edit, const Catalog& current,
                            std::string author, std::string remote_address);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_TEAM_EDIT_H_
