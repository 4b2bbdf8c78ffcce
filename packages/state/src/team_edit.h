// Defines TeamEdit, the fields of the console's form that adds or changes a
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

// The values before the edit travel with the form, so that a change by another
// operator in the meantime shows as a conflict and is not overwritten.
struct TeamEdit {
  std::uint64_t base_generation = 0;
  std::string change_id;
  std::optional<TeamSpec> base;  // Empty: the team is new.
  TeamSpec proposed;
};

// Reads a posted form. Returns an error for each field that is not valid.
std::variant<TeamEdit, DocumentErrors> ReadTeamEdit(const Form& form);

// Returns the hidden inputs that carry the edit, but for the proposed values.
std::string RenderTeamBase(const TeamEdit& edit);

// Returns the edit as a change of the configuration in force. `base` is that
// configuration with the values that the operator saw, so another operator's
// change of the same field still differs from it.
ConfigProposal MakeProposal(const TeamEdit& edit, const Catalog& current,
                            std::string author, std::string remote_address);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_TEAM_EDIT_H_
