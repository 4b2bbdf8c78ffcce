#include "console_pages.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "html.h"

namespace sequoiapath {
namespace internal {
namespace {

// Limits the size of a page for configurations with many workers or daemons.
constexpr std::size_t kRowsPerPage = 200;

template <typename T>
std::string EscapedText(const T& value) {
  return EscapeHtml(fmt::format("{}", value));
}

std::string FormatTime(std::chrono::system_clock::time_point when) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(when)));
}

std::string FormatMilliseconds(std::chrono::milliseconds duration) {
  return fmt::format("{} ms", duration.count());
}

std::string YesNo(bool value) { return value ? "yes" : "no"; }

// Describes by how many generations a daemon is behind the greatest known one.
std::string GenerationNote(std::uint64_t generation, std::uint64_t greatest) {
  if (generation >= greatest) return "current";
  return fmt::format("<span class=\"behind\">behind by {}</span>",
                     greatest - generation);
}

std::string RenderStatus(const DaemonStatus& status) {
  HtmlTable table;
  table.caption = "This daemon";
  table.header = {"Property", "Value"};
  table.rows = {
      {"VM", EscapedText(status.vm)},
      {"Data centre", EscapedText(status.data_centre)},
      {"Incarnation", fmt::format("<code>{:x}</code>", status.incarnation)},
      {"Generation in force", EscapedText(status.generation)},
      {"Digest", fmt::format("<code>{}</code>", EscapeHtml(status.digest))},
      {"Running jobs", EscapedText(status.running_jobs)},
      {"Waiting tasks", EscapedText(status.waiting_tasks)},
      {"Stopping", YesNo(status.stopping)}};
  return RenderTable(table);
}

std::string RenderMembers(const DaemonStatus& status,
                          std::vector<MemberStatus> members) {
  members.push_back({status.vm, status.data_centre, status.generation,
                     "this daemon", std::chrono::milliseconds(0)});
  std::uint64_t greatest = 0;
  for (const MemberStatus& member : members) {
    greatest = std::max(greatest, member.generation);
  }
  const auto behind = std::count_if(members.begin(), members.end(),
                                    [greatest](const MemberStatus& member) {
                                      return member.generation < greatest;
                                    });
  // Lists daemons with older generations first.
  std::sort(members.begin(), members.end(),
            [](const MemberStatus& a, const MemberStatus& b) {
              return std::tie(a.generation, a.vm) <
                     std::tie(b.generation, b.vm);
            });
  HtmlTable table;
  table.caption = "Daemons";
  table.header = {"VM",         "Data centre", "State",
                  "Last heard", "Generation",  "Configuration"};
  for (const MemberStatus& member : members) {
    if (table.rows.size() == kRowsPerPage) break;
    table.rows.push_back(
        {EscapedText(member.vm), EscapedText(member.data_centre),
         EscapedText(member.state), FormatMilliseconds(member.heartbeat_age),
         EscapedText(member.generation),
         GenerationNote(member.generation, greatest)});
  }
  return fmt::format(
             "<p>The greatest known generation is {}. {} of {} daemons are "
             "behind it.</p>\n",
             greatest, behind, members.size()) +
         RenderTable(table);
}

std::string RenderPageLinks(std::size_t page, std::size_t pages) {
  if (pages < 2) return "";
  std::string html = "<nav aria-label=\"Pages of the list\"><ul>";
  for (std::size_t i = 0; i < pages; ++i) {
    html += i == page ? fmt::format(
                            "<li><a aria-current=\"page\" "
                            "href=\"/targets?page={0}\">{0}</a></li>",
                            i + 1)
                      : fmt::format(
                            "<li><a href=\"/targets?page={0}\">{0}"
                            "</a></li>",
                            i + 1);
  }
  return html + "</ul></nav>\n";
}

std::string RenderFieldChanges(const Difference& difference) {
  HtmlTable table;
  table.caption = "Pending difference";
  table.header = {"Entry", "Field", "Before", "After"};
  table.empty_text = "The change does not modify any field.";
  for (const FieldChange& change : difference) {
    table.rows.push_back({EscapeHtml(change.section + "/" + change.name),
                          EscapeHtml(change.field),
                          EscapeHtml(change.old_value),
                          EscapeHtml(change.new_value)});
  }
  return RenderTable(table);
}

// Renders a form with a button that submits the edit to `action`.
std::string RenderEditForm(const TeamEdit& edit, std::string_view action,
                           std::string_view button,
                           std::string_view form_token) {
  return fmt::format(
      "<form method=\"post\" action=\"{}\">{}{}{}{}{}{}"
      "<button>{}</button></form>\n",
      action, RenderHiddenInput("form_token", form_token), RenderTeamBase(edit),
      RenderHiddenInput("change_id", edit.change_id),
      RenderHiddenInput("name", edit.proposed.name),
      RenderHiddenInput("quota", std::to_string(edit.proposed.quota)),
      RenderHiddenInput("weight", fmt::format("{}", edit.proposed.weight)),
      button);
}

std::string TeamLink(std::string_view name, std::string_view text) {
  return fmt::format("<a href=\"/team?name={}\">{}</a>", PercentEncode(name),
                     EscapeHtml(text));
}

std::string RenderConflict(const TeamEdit& edit,
                           const ChangeConflict& conflict) {
  HtmlTable table;
  table.caption = "Fields that both changes modify";
  table.header = {"Entry", "Field", "You started from", "In force",
                  "Your change"};
  table.empty_text = "The conflicting fields are not known.";
  for (const FieldConflict& field : conflict.fields) {
    table.rows.push_back({EscapeHtml(field.section + "/" + field.name),
                          EscapeHtml(field.field), EscapeHtml(field.base),
                          EscapeHtml(field.theirs), EscapeHtml(field.ours)});
  }
  return fmt::format(
             "<p class=\"notice\" role=\"alert\">Another operator changed the "
             "same fields; generation {} is in force. Your change was not "
             "applied.</p>\n",
             conflict.generation) +
         RenderTable(table) + "<p>" +
         TeamLink(edit.proposed.name, "Edit again from the values in force") +
         "</p>\n";
}

std::string RenderUnknown(const TeamEdit& edit, const ChangeUnknown& unknown,
                          std::string_view form_token) {
  return fmt::format(
             "<p class=\"notice\" role=\"alert\">The change may have been "
             "applied: {}</p>\n<p>Change id <code>{}</code>. Submitting the "
             "same change again is safe: it is applied at most once. See also "
             "the <a href=\"/history\">history</a>.</p>\n",
             EscapeHtml(unknown.detail), EscapeHtml(edit.change_id)) +
         RenderEditForm(edit, "/teams/submit", "Submit the same change again",
                        form_token);
}

std::string DescribeOutcome(const LateEntry& entry) {
  if (!entry.verdict) return "complete, late";
  return EscapeHtml(fmt::format(
      "{}, {}", ToString(*entry.verdict),
      entry.reason ? ToString(*entry.reason) : std::string_view("unknown")));
}

std::string DescribeCallers(const LateEntry& entry) {
  std::string text = EscapeHtml(entry.answer_summary);
  if (entry.callers_told > 0) {
    text += fmt::format(" (sent to {})", entry.callers_told);
  }
  if (entry.callers_gone > 0) {
    text += fmt::format(" ({} disconnected)", entry.callers_gone);
  }
  return text;
}

}  // namespace
}  // namespace internal

std::string RenderLogin(bool failed) {
  return fmt::format(
      "{}<form method=\"post\" action=\"/login\">\n{}{}"
      "<button>Sign in</button></form>\n",
      failed ? "<p class=\"notice\" role=\"alert\">The name or the token is "
               "not valid.</p>\n"
             : "",
      RenderInput("author", "Your name, recorded in the history", "",
                  "required maxlength=\"64\" autocomplete=\"username\" "
                  "pattern=\"[A-Za-z0-9._@\\-]+\""),
      RenderInput("token", "Operator token", "",
                  "type=\"password\" required "
                  "autocomplete=\"current-password\""));
}

std::string RenderOverview(const DaemonStatus& status,
                           const std::vector<MemberStatus>& members) {
  return internal::RenderStatus(status) +
         internal::RenderMembers(status, members);
}

std::string RenderServices(const Document& document) {
  HtmlTable table;
  table.caption = "Services";
  table.header = {"Service",  "Idempotent",    "Longest run",  "Deadline",
                  "Priority", "Payload bytes", "Tasks per job"};
  table.empty_text = "No service is configured.";
  for (const ServiceSpec& service : document.services) {
    table.rows.push_back({internal::EscapedText(service.name),
                          internal::YesNo(service.idempotent),
                          internal::FormatMilliseconds(service.longest_run),
                          internal::FormatMilliseconds(service.deadline),
                          internal::EscapedText(ToString(service.priority)),
                          internal::EscapedText(service.max_payload_bytes),
                          internal::EscapedText(service.max_tasks)});
  }
  return RenderTable(table);
}

std::string RenderTargets(const Document& document, std::size_t page) {
  const auto& workers = document.workers;
  const std::size_t pages =
      (workers.size() + internal::kRowsPerPage - 1) / internal::kRowsPerPage;
  page = std::min(page, pages == 0 ? 0 : pages - 1);
  const std::size_t begin = page * internal::kRowsPerPage;
  const std::size_t end =
      std::min(workers.size(), begin + internal::kRowsPerPage);
  HtmlTable table;
  table.caption = "Targets (workers)";
  table.header = {"Worker",       "Data centre", "Rack",  "Address",
                  "Slots",        "Connections", "Cores", "Memory",
                  "Accelerators", "Leaving"};
  table.empty_text = "No worker is configured.";
  for (std::size_t i = begin; i < end; ++i) {
    const WorkerSpec& worker = workers[i];
    table.rows.push_back({internal::EscapedText(worker.name),
                          internal::EscapedText(worker.data_centre),
                          internal::EscapedText(worker.rack),
                          internal::EscapedText(ToString(worker.address)),
                          internal::EscapedText(worker.slots),
                          internal::EscapedText(worker.connections),
                          internal::EscapedText(worker.cores),
                          fmt::format("{} MB", worker.memory_mb),
                          internal::EscapedText(worker.accelerators),
                          internal::YesNo(worker.leaving)});
  }
  return fmt::format("<p>{} workers.</p>\n", workers.size()) +
         RenderTable(table) + internal::RenderPageLinks(page, pages);
}

std::string RenderTeams(const Document& document) {
  HtmlTable table;
  table.caption = "Teams";
  table.header = {"Team", "Quota (running tasks)", "Weight", "Change"};
  table.empty_text = "No team is configured.";
  for (const TeamSpec& team : document.teams) {
    table.rows.push_back({internal::EscapedText(team.name),
                          internal::EscapedText(team.quota),
                          internal::EscapedText(team.weight),
                          internal::TeamLink(team.name, "Edit " + team.name)});
  }
  return RenderTable(table) + "<p><a href=\"/team\">Add a team</a></p>\n";
}

std::string RenderTeamForm(std::uint64_t generation,
                           const std::optional<TeamSpec>& team,
                           std::string_view form_token) {
  TeamEdit edit;
  edit.base_generation = generation;
  edit.base = team;
  const TeamSpec shown = team.value_or(TeamSpec{});
  return fmt::format(
      "<form method=\"post\" action=\"/teams/check\">{}{}\n{}{}{}"
      "<button>Show the difference</button></form>\n"
      "<p>The configuration does not change until you submit the "
      "difference.</p>\n",
      RenderHiddenInput("form_token", form_token), RenderTeamBase(edit),
      RenderInput("name", "Team", shown.name,
                  team ? "readonly"
                       : "required maxlength=\"64\" "
                         "pattern=\"[a-z0-9\\-]+\""),
      RenderInput("quota", "Quota: maximum number of running tasks",
                  std::to_string(shown.quota),
                  "type=\"number\" min=\"0\" step=\"1\" required"),
      RenderInput("weight", "Weight among teams of the same priority",
                  fmt::format("{}", shown.weight),
                  "type=\"number\" min=\"0\" step=\"any\" required"));
}

std::string RenderDifference(const TeamEdit& edit, const Difference& difference,
                             std::string_view form_token) {
  std::string html = internal::RenderFieldChanges(difference);
  if (!difference.empty()) {
    html += internal::RenderEditForm(edit, "/teams/submit", "Submit the change",
                                     form_token);
  }
  return html + "<p><a href=\"/teams\">Discard the change</a></p>\n";
}

std::string RenderErrors(const DocumentErrors& errors) {
  HtmlTable table;
  table.caption = "Values that are not allowed";
  table.header = {"Key", "Found", "Allowed"};
  table.empty_text = "The change was rejected without a reason.";
  for (const DocumentError& error : errors) {
    table.rows.push_back({EscapeHtml(error.key), EscapeHtml(error.found),
                          EscapeHtml(error.allowed)});
  }
  return "<p class=\"notice\" role=\"alert\">The change was not "
         "applied.</p>\n" +
         RenderTable(table) +
         "<p><a href=\"/teams\">Back to the teams</a></p>\n";
}

std::string RenderSubmitResult(const TeamEdit& edit, const SubmitResult& result,
                               std::string_view form_token) {
  if (const auto* applied = std::get_if<ChangeApplied>(&result)) {
    return fmt::format(
        "<p role=\"status\">Generation {} holds your change. The "
        "<a href=\"/\">overview</a> shows which daemons are behind.</p>\n",
        applied->generation);
  }
  if (const auto* conflict = std::get_if<ChangeConflict>(&result)) {
    return internal::RenderConflict(edit, *conflict);
  }
  if (const auto* errors = std::get_if<DocumentErrors>(&result)) {
    return RenderErrors(*errors);
  }
  if (const auto* refused = std::get_if<ChangeNotApplied>(&result)) {
    return fmt::format(
               "<p class=\"notice\" role=\"alert\">The change was not applied: "
               "{}</p>\n",
               EscapeHtml(refused->detail)) +
           internal::RenderEditForm(edit, "/teams/submit", "Try again",
                                    form_token);
  }
  return internal::RenderUnknown(edit, std::get<ChangeUnknown>(result),
                                 form_token);
}

int HttpStatusOf(const SubmitResult& result) {
  if (std::holds_alternative<ChangeApplied>(result)) return 200;
  if (std::holds_alternative<ChangeConflict>(result)) return 409;
  if (std::holds_alternative<DocumentErrors>(result)) return 422;
  return std::holds_alternative<ChangeNotApplied>(result) ? 503 : 504;
}

std::string_view TitleOf(const SubmitResult& result) {
  if (std::holds_alternative<ChangeApplied>(result)) return "Change applied";
  if (std::holds_alternative<ChangeConflict>(result)) return "Conflict";
  if (std::holds_alternative<ChangeUnknown>(result)) return "Outcome unknown";
  return "Change not applied";
}

std::string RenderHistory(const HistoryResult& history) {
  if (const Failure* failure = GetFailure(history)) {
    return fmt::format(
        "<p class=\"notice\" role=\"alert\">The history cannot be read: "
        "{}</p>\n",
        EscapeHtml(failure->detail));
  }
  HtmlTable table;
  table.caption = "Changes, newest first";
  table.header = {"When",       "Who",     "From",
                  "Generation", "Outcome", "What changed"};
  table.empty_text = "No change is recorded.";
  for (const HistoryEntry& entry :
       std::get<std::vector<HistoryEntry>>(history)) {
    if (table.rows.size() == internal::kRowsPerPage) break;
    table.rows.push_back(
        {internal::FormatTime(entry.when), EscapeHtml(entry.author),
         EscapeHtml(entry.remote_address),
         entry.generation == 0 ? "none"
                               : internal::EscapedText(entry.generation),
         EscapeHtml(entry.outcome), EscapeHtml(entry.summary)});
  }
  return RenderTable(table);
}

std::string RenderLate(const LateLog& log) {
  HtmlTable table;
  table.caption = "Late and failed requests at this daemon, newest first";
  table.header = {"Request", "When",     "Team",
                  "Service", "Deadline", "Response",
                  "Ideal",   "Outcome",  "What the caller was told"};
  table.empty_text = "No request was late or failed.";
  for (auto it = log.entries.rbegin();
       it != log.entries.rend() && table.rows.size() < internal::kRowsPerPage;
       ++it) {
    table.rows.push_back(
        {internal::EscapedText(it->request_id), internal::FormatTime(it->when),
         internal::EscapedText(it->team), internal::EscapedText(it->service),
         internal::FormatMilliseconds(it->deadline),
         internal::FormatMilliseconds(it->response_time),
         it->ideal.count() == 0 ? "unknown"
                                : internal::FormatMilliseconds(it->ideal),
         internal::DescribeOutcome(*it), internal::DescribeCallers(*it)});
  }
  return RenderTable(table);
}

}  // namespace sequoiapath
