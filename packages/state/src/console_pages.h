// Defines the functions that render the contents of the console's pages as
// HTML.

#ifndef SEQUOIAPATH_STATE_SRC_CONSOLE_PAGES_H_
#define SEQUOIAPATH_STATE_SRC_CONSOLE_PAGES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiapath/state/operator_backend.h"
#include "team_edit.h"

namespace sequoiapath {

// Each function returns the HTML of a page's main element and escapes all text
// values. Thread-safe.
std::string RenderLogin(bool failed);
std::string RenderOverview(const DaemonStatus& status,
                           const std::vector<MemberStatus>& members);
std::string RenderServices(const Document& document);
// Renders one page of the list of workers; `page` is zero-based.
std::string RenderTargets(const Document& document, std::size_t page);
std::string RenderTeams(const Document& document);
// Renders the form that edits `team`, or that adds a team if `team` is empty.
std::string RenderTeamForm(std::uint64_t generation,
                           const std::optional<TeamSpec>& team,
                           std::string_view form_token);
std::string RenderDifference(const TeamEdit& edit, const Difference& difference,
                             std::string_view form_token);
std::string RenderErrors(const DocumentErrors& errors);
std::string RenderSubmitResult(const TeamEdit& edit, const SubmitResult& result,
                               std::string_view form_token);
std::string RenderHistory(const HistoryResult& history);
std::string RenderLate(const LateLog& log);

// Returns the HTTP status and the page title for the result of a submitted
// change.
int HttpStatusOf(const SubmitResult& result);
std::string_view TitleOf(const SubmitResult& result);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_CONSOLE_PAGES_H_
