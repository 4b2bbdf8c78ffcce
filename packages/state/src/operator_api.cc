#include "sequoiapath/state/operator_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "console_pages.h"
#include "form.h"
#include "html.h"
#include "sequoiapath/state/log.h"

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxLateEntries = 1000;
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kLatePath = "/v1/late";
// The author of configuration changes that are requested with the bearer token
// instead of a login.
constexpr std::string_view kTokenAuthor = "token";

HttpResponse DataResponse(int status, std::string type, std::string body) {
  return {status,
          {{"content-type", std::move(type)},
           {"cache-control", "no-store"},
           {"x-content-type-options", "nosniff"}},
          std::move(body)};
}

HttpResponse JsonError(int status, std::string_view error) {
  return DataResponse(status, "application/json",
                      Json{{"error", error}}.dump());
}

// The content security policy forbids scripts, embedding in frames and form
// submissions to other origins.
HttpResponse PageResponse(int status, const HtmlPage& page) {
  HttpResponse response =
      DataResponse(status, "text/html; charset=utf-8", RenderPage(page));
  response.headers.push_back(
      {"content-security-policy",
       "default-src 'none'; style-src 'self'; img-src data:; form-action "
       "'self'; frame-ancestors 'none'; base-uri 'none'"});
  response.headers.push_back({"referrer-policy", "same-origin"});
  return response;
}

HttpResponse Redirect(std::string target) {
  return {303, {{"location", std::move(target)}}, ""};
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view path = request.path;
  return path.substr(0, path.find('?'));
}

Form QueryOf(const HttpRequest& request) {
  const std::size_t mark = request.path.find('?');
  if (mark == std::string::npos) return {};
  const std::string_view path = request.path;
  return ParseForm(path.substr(mark + 1));
}

bool IsRead(const HttpRequest& request) {
  return request.method == "GET" || request.method == "HEAD";
}

Json ToJson(const MemberStatus& member) {
  return {{"vm", member.vm},
          {"data_centre", member.data_centre},
          {"generation", member.generation},
          {"state", member.state},
          {"last_heard_ms", member.heartbeat_age.count()}};
}

std::string EncodeStatus(const OperatorBackend& backend) {
  const DaemonStatus status = backend.status();
  Json json{{"vm", status.vm},
            {"data_centre", status.data_centre},
            {"incarnation", fmt::format("{:x}", status.incarnation)},
            {"generation", status.generation},
            {"digest", status.digest},
            {"running_jobs", status.running_jobs},
            {"waiting_tasks", status.waiting_tasks},
            {"stopping", status.stopping}};
  if (backend.members) {
    json["members"] = Json::array();
    for (const MemberStatus& member : backend.members()) {
      json["members"].push_back(ToJson(member));
    }
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::shared_ptr<const Catalog> CurrentCatalog(const OperatorBackend& backend) {
  return backend.current_catalog ? backend.current_catalog() : nullptr;
}

HtmlPage NewPage(std::string_view title, std::string_view path,
                 const OperatorLogin& login, std::string main) {
  return {std::string(title), std::string(path), login.author, login.form_token,
          std::move(main)};
}

HttpResponse Unavailable(const OperatorLogin& login, std::string_view detail) {
  return PageResponse(
      503, NewPage("Not available", "", login,
                   fmt::format("<p class=\"notice\" role=\"alert\">{}</p>\n",
                               EscapeHtml(detail))));
}

HttpResponse NoConfiguration(const OperatorLogin& login) {
  return Unavailable(login,
                     "This daemon has not received a configuration yet.");
}

std::size_t PageNumber(const Form& query) {
  const std::string_view text = FieldOf(query, "page");
  std::size_t page = 1;
  std::from_chars(text.data(), text.data() + text.size(), page);
  return page == 0 ? 0 : page - 1;
}

HttpResponse TeamPage(const HttpRequest& request, const OperatorLogin& login,
                      const Catalog& catalog) {
  const Form query = QueryOf(request);
  const std::string_view name = FieldOf(query, "name");
  if (name.empty()) {
    return PageResponse(200,
                        NewPage("Add a team", "", login,
                                RenderTeamForm(catalog.generation, std::nullopt,
                                               login.form_token)));
  }
  const TeamSpec* team = FindTeam(catalog, name);
  if (team == nullptr) {
    return PageResponse(
        404, NewPage("No such team", "", login,
                     "<p><a href=\"/teams\">Back to the teams</a></p>\n"));
  }
  return PageResponse(200, NewPage("Edit a team", "", login,
                                   RenderTeamForm(catalog.generation, *team,
                                                  login.form_token)));
}

// Returns the response for the pages that show the configuration in force;
// empty for other paths.
std::optional<HttpResponse> ConfigPage(const HttpRequest& request,
                                       const OperatorLogin& login,
                                       const OperatorBackend& backend) {
  const std::string_view path = PathOf(request);
  const bool known = path == "/services" || path == "/targets" ||
                     path == "/teams" || path == "/team";
  if (!known) return std::nullopt;
  const auto catalog = CurrentCatalog(backend);
  if (catalog == nullptr) return NoConfiguration(login);
  const Document& document = catalog->document;
  if (path == "/team") return TeamPage(request, login, *catalog);
  if (path == "/services") {
    return PageResponse(
        200, NewPage("Services", path, login, RenderServices(document)));
  }
  if (path == "/targets") {
    return PageResponse(
        200, NewPage("Targets", path, login,
                     RenderTargets(document, PageNumber(QueryOf(request)))));
  }
  return PageResponse(200,
                      NewPage("Teams", path, login, RenderTeams(document)));
}

void RespondWithHistory(const OperatorBackend& backend,
                        const OperatorLogin& login,
                        const HttpResponder& responder) {
  if (!backend.history) {
    responder.Respond(Unavailable(
        login, "This daemon does not provide the history of changes."));
    return;
  }
  backend.history([login, responder](const HistoryResult& history) {
    const int status = GetFailure(history) == nullptr ? 200 : 503;
    responder.Respond(PageResponse(
        status, NewPage("History", "/history", login, RenderHistory(history))));
  });
}

HttpResponse ErrorPage(const OperatorLogin& login,
                       const DocumentErrors& errors) {
  return PageResponse(
      422, NewPage("Change not applied", "", login, RenderErrors(errors)));
}

HttpResponse CheckEdit(const TeamEdit& edit, const ConfigProposal& proposal,
                       const OperatorBackend& backend,
                       const OperatorLogin& login) {
  if (!backend.preview) {
    return Unavailable(
        login, "This daemon does not accept changes of the configuration.");
  }
  const auto checked = backend.preview(proposal);
  if (const auto* errors = std::get_if<DocumentErrors>(&checked)) {
    return ErrorPage(login, *errors);
  }
  return PageResponse(
      200, NewPage("Pending difference", "", login,
                   RenderDifference(edit, std::get<Difference>(checked),
                                    login.form_token)));
}

void SubmitEdit(const TeamEdit& edit, const ConfigProposal& proposal,
                const OperatorBackend& backend, const OperatorLogin& login,
                const HttpResponder& responder) {
  if (!backend.submit) {
    responder.Respond(Unavailable(
        login, "This daemon does not accept changes of the configuration."));
    return;
  }
  Log(LogLevel::kInfo, "change_submitted",
      {{"change_id", proposal.change_id},
       {"author", proposal.author},
       {"from", proposal.remote_address}});
  backend.submit(
      proposal, [edit, login, responder](const SubmitResult& result) {
        responder.Respond(PageResponse(
            HttpStatusOf(result),
            NewPage(TitleOf(result), "", login,
                    RenderSubmitResult(edit, result, login.form_token))));
      });
}

}  // namespace
}  // namespace internal

OperatorApi::OperatorApi(std::string token, OperatorBackend backend)
    : token(std::move(token)), backend(std::move(backend)) {}

void OperatorApi::Handle(const HttpRequest& request,
                         const HttpResponder& responder) const {
  const std::string_view path = internal::PathOf(request);
  if (path == "/style.css") {
    responder.Respond(
        {200,
         {{"content-type", "text/css"}, {"cache-control", "max-age=3600"}},
         std::string(StyleSheet())});
    return;
  }
  if (request.method == "POST" && !IsSameOrigin(request)) {
    Log(LogLevel::kWarning, "cross_site_post_refused",
        {{"path", path}, {"from", request.remote_address}});
    responder.Respond(internal::JsonError(403, "cross-site post refused"));
    return;
  }
  if (path == "/login") return this->HandleLogin(request, responder);
  // A request with an authorization header is authenticated by its token only:
  // a wrong token is rejected even if the request has a valid cookie.
  std::optional<OperatorLogin> login;
  const bool has_bearer =
      FindHeader(request.headers, "authorization").has_value();
  if (!has_bearer) {
    login = ReadLogin(request, this->token, std::chrono::system_clock::now());
  } else if (HasBearerToken(request, this->token)) {
    login = OperatorLogin{std::string(internal::kTokenAuthor), ""};
  }
  const bool is_data_request =
      path == internal::kMetricsPath || path.starts_with("/v1/") || has_bearer;
  if (!login && is_data_request) {
    HttpResponse refusal = internal::JsonError(401, "operator token required");
    refusal.headers.push_back({"www-authenticate", "Bearer"});
    responder.Respond(refusal);
  } else if (!login) {
    responder.Respond(internal::Redirect("/login"));
  } else if (request.method == "POST") {
    this->HandlePost(request, *login, responder);
  } else if (!internal::IsRead(request)) {
    responder.Respond(internal::JsonError(405, "method not allowed"));
  } else if (path == internal::kMetricsPath || path.starts_with("/v1/")) {
    this->HandleData(request, responder);
  } else {
    this->HandlePage(request, *login, responder);
  }
}

void OperatorApi::HandleLogin(const HttpRequest& request,
                              const HttpResponder& responder) const {
  const bool posted = request.method == "POST";
  if (posted) {
    const Form form = ParseForm(request.body);
    const std::string_view author = FieldOf(form, "author");
    if (EqualInConstantTime(FieldOf(form, "token"), this->token) &&
        IsAuthorName(author)) {
      HttpResponse response = internal::Redirect("/");
      response.headers.push_back(
          {"set-cookie", MakeLoginCookie(author, this->token,
                                         std::chrono::system_clock::now())});
      responder.Respond(response);
      return;
    }
    Log(LogLevel::kWarning, "login_refused",
        {{"from", request.remote_address}});
  }
  HtmlPage page;
  page.title = "Sign in";
  page.main = RenderLogin(posted);
  responder.Respond(internal::PageResponse(posted ? 401 : 200, page));
}

void OperatorApi::HandleData(const HttpRequest& request,
                             const HttpResponder& responder) const {
  const std::string_view path = internal::PathOf(request);
  if (path == internal::kStatusPath) {
    responder.Respond(internal::DataResponse(
        200, "application/json", internal::EncodeStatus(this->backend)));
  } else if (path == internal::kLatePath) {
    responder.Respond(internal::DataResponse(
        200, "application/json",
        EncodeLateLog(*this->backend.late_log(), internal::kMaxLateEntries)));
  } else if (path == internal::kMetricsPath && this->backend.metrics) {
    responder.Respond(
        internal::DataResponse(200, "text/plain; version=0.0.4; charset=utf-8",
                               this->backend.metrics()));
  } else {
    responder.Respond(internal::JsonError(404, "no such resource"));
  }
}

void OperatorApi::HandlePost(const HttpRequest& request,
                             const OperatorLogin& login,
                             const HttpResponder& responder) const {
  const std::string_view path = internal::PathOf(request);
  const Form form = ParseForm(request.body);
  // Browsers send cookies automatically but no bearer tokens, so only requests
  // with a cookie need the form token against cross-site request forgery.
  if (!login.form_token.empty() &&
      !EqualInConstantTime(FieldOf(form, "form_token"), login.form_token)) {
    responder.Respond(internal::PageResponse(
        403, internal::NewPage("Form refused", "", login,
                               "<p class=\"notice\" role=\"alert\">The form "
                               "token is missing or invalid. Reload the "
                               "form.</p>\n")));
    return;
  }
  if (path == "/logout") {
    HttpResponse response = internal::Redirect("/login");
    response.headers.push_back({"set-cookie", MakeLogoutCookie()});
    responder.Respond(response);
    return;
  }
  if (path != "/teams/check" && path != "/teams/submit") {
    responder.Respond(internal::JsonError(404, "no such resource"));
    return;
  }
  const auto read = ReadTeamEdit(form);
  if (const auto* errors = std::get_if<DocumentErrors>(&read)) {
    responder.Respond(internal::ErrorPage(login, *errors));
    return;
  }
  const auto catalog = internal::CurrentCatalog(this->backend);
  if (catalog == nullptr) {
    responder.Respond(internal::NoConfiguration(login));
    return;
  }
  const auto& edit = std::get<TeamEdit>(read);
  const ConfigProposal proposal =
      MakeProposal(edit, *catalog, login.author, request.remote_address);
  if (path == "/teams/check") {
    responder.Respond(
        internal::CheckEdit(edit, proposal, this->backend, login));
  } else {
    internal::SubmitEdit(edit, proposal, this->backend, login, responder);
  }
}

void OperatorApi::HandlePage(const HttpRequest& request,
                             const OperatorLogin& login,
                             const HttpResponder& responder) const {
  const std::string_view path = internal::PathOf(request);
  if (path == "/") {
    const auto members = this->backend.members ? this->backend.members()
                                               : std::vector<MemberStatus>();
    responder.Respond(internal::PageResponse(
        200,
        internal::NewPage("Overview", path, login,
                          RenderOverview(this->backend.status(), members))));
  } else if (path == "/late") {
    responder.Respond(internal::PageResponse(
        200, internal::NewPage("Late requests", path, login,
                               RenderLate(*this->backend.late_log()))));
  } else if (path == "/history") {
    internal::RespondWithHistory(this->backend, login, responder);
  } else if (auto page = internal::ConfigPage(request, login, this->backend)) {
    responder.Respond(*page);
  } else {
    responder.Respond(internal::PageResponse(
        404, internal::NewPage("No such page", "", login, "")));
  }
}

}  // namespace sequoiapath
