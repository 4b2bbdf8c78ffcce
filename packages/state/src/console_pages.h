// Defines the contents of the console's pages as functions from plain data to
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

// Each returns the HTML of a page's main part; texts are escaped. Thread-safe.
std::string RenderLogin(bool failed);
std::string RenderOverview(const DaemonStatus& status,
                           const std::vector<MemberStatus>& members);
std::string RenderServices(const Document& document);
// Shows one page of workers; `page` counts from 0.
std::string RenderTargets(const Document& document, std::size_t page);
std::string RenderTeams(const Document& document);
// Shows the form for a team; without `team` for a new one.
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

// Returns the HTTP status and the title that go with a submitted change.
int HttpStatusOf(const SubmitResult& result);
std::string_view TitleOf(const SubmitResult& result);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_CONSOLE_PAGES_H_
