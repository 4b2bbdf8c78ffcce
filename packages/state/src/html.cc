#include "html.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::array<std::pair<std::string_view, std::string_view>, 6>
    kNavigation{{{"/", "Overview"},
                 {"/services", "Services"},
                 {"/targets", "Targets"},
                 {"/teams", "Teams"},
                 {"/history", "History"},
                 {"/late", "Late requests"}}};

constexpr std::string_view kStyleSheet = R"(
:root { color-scheme: light dark; }
body { font: 1rem/1.5 system-ui, sans-serif; margin: 0 auto; max-width: 90rem;
  padding: 0 1rem 2rem; }
header { border-bottom: 1px solid #888; padding: .5rem 0; }
header p { margin: 0; font-weight: bold; }
nav ul { display: flex; flex-wrap: wrap; gap: 0 1.25rem; list-style: none;
  margin: .25rem 0; padding: 0; }
nav a[aria-current] { font-weight: bold; text-decoration: none; }
.skip { position: absolute; left: -100rem; }
.skip:focus { left: 1rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; margin: 1rem 0; }
caption { text-align: left; font-weight: bold; padding: .25rem 0; }
th, td { border-bottom: 1px solid #8886; padding: .25rem .75rem .25rem 0;
  text-align: left; vertical-align: top; }
form { margin: 1rem 0; }
label { display: block; margin: .75rem 0 .25rem; }
input, button { font: inherit; padding: .3rem .6rem; }
input { display: block; width: min(100%, 24rem); box-sizing: border-box; }
button { margin: 1rem .5rem 0 0; }
.inline button { margin: 0; }
:focus-visible { outline: 3px solid #36c; outline-offset: 2px; }
.notice { border-left: .35rem solid #c60; padding: .25rem .75rem; }
.behind { font-weight: bold; }
code { overflow-wrap: anywhere; }
)";

std::string RenderNavigation(const HtmlPage& page) {
  std::string html = "<nav aria-label=\"Pages\"><ul>";
  for (const auto& [path, name] : kNavigation) {
    const bool current = page.path == path;
    html += fmt::format("<li><a href=\"{}\"{}>{}</a></li>", path,
                        current ? " aria-current=\"page\"" : "", name);
  }
  return html + "</ul></nav>\n" +
         fmt::format(
             "<form class=\"inline\" method=\"post\" action=\"/logout\">{}"
             "Signed in as {} <button>Sign out</button></form>\n",
             RenderHiddenInput("form_token", page.form_token),
             EscapeHtml(page.author));
}

}  // namespace
}  // namespace internal

std::string EscapeHtml(std::string_view text) {
  std::string html;
  html.reserve(text.size());
  for (const char c : text) {
    switch (c) {
      case '&':
        html += "&amp;";
        break;
      case '<':
        html += "&lt;";
        break;
      case '>':
        html += "&gt;";
        break;
      case '"':
        html += "&quot;";
        break;
      case '\'':
        html += "&#39;";
        break;
      default: {
        const auto byte = static_cast<unsigned char>(c);
        const bool control =
            (byte < ' ' && c != '\n' && c != '\t') || byte == 0x7f;
        if (control) {
          html += "\xEF\xBF\xBD";
        } else {
          html += c;
        }
      }
    }
  }
  return html;
}

std::string RenderTable(const HtmlTable& table) {
  if (table.rows.empty()) {
    return fmt::format("<p>{}</p>\n", EscapeHtml(table.empty_text));
  }
  std::string html = fmt::format(
      "<div class=\"scroll\" role=\"region\" tabindex=\"0\" aria-label=\"{0}\">"
      "<table><caption>{0}</caption><thead><tr>",
      EscapeHtml(table.caption));
  for (const std::string& name : table.header) {
    html += fmt::format("<th scope=\"col\">{}</th>", EscapeHtml(name));
  }
  html += "</tr></thead><tbody>\n";
  for (const auto& row : table.rows) {
    html += "<tr>";
    for (std::size_t i = 0; i < row.size(); ++i) {
      html += i == 0 ? fmt::format("<th scope=\"row\">{}</th>", row[i])
                     : fmt::format("<td>{}</td>", row[i]);
    }
    html += "</tr>\n";
  }
  return html + "</tbody></table></div>\n";
}

std::string RenderHiddenInput(std::string_view name, std::string_view value) {
  return fmt::format("<input type=\"hidden\" name=\"{}\" value=\"{}\">", name,
                     EscapeHtml(value));
}

std::string RenderInput(std::string_view id, std::string_view label,
                        std::string_view value, std::string_view attributes) {
  return fmt::format(
      "<label for=\"{0}\">{1}</label>"
      "<input id=\"{0}\" name=\"{0}\" value=\"{2}\" {3}>\n",
      id, EscapeHtml(label), EscapeHtml(value), attributes);
}

std::string RenderPage(const HtmlPage& page) {
  return fmt::format(
      "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\n"
      "<meta name=\"viewport\" content=\"width=device-width\">\n"
      "<title>{0} - sequoiapath</title>\n"
      "<link rel=\"stylesheet\" href=\"/style.css\">\n"
      "<link rel=\"icon\" href=\"data:,\"></head>\n<body>\n"
      "<a class=\"skip\" href=\"#main\">Skip to the content</a>\n"
      "<header><p>sequoiapath</p>{1}</header>\n"
      "<main id=\"main\"><h1>{0}</h1>\n{2}</main>\n</body>\n</html>\n",
      EscapeHtml(page.title),
      page.author.empty() ? "" : internal::RenderNavigation(page), page.main);
}

std::string_view StyleSheet() { return internal::kStyleSheet; }

}  // namespace sequoiapath
