// Defines helpers that render the console's HTML: escaping, tables, inputs and
// the page layout.

#ifndef SEQUOIAPATH_STATE_SRC_HTML_H_
#define SEQUOIAPATH_STATE_SRC_HTML_H_

#include <string>
#include <string_view>
#include <vector>

namespace sequoiapath {

// Escapes `text` for use in element content and quoted attribute values.
// Control characters except line feed and tab are replaced by U+FFFD.
// Thread-safe.
std::string EscapeHtml(std::string_view text);

struct HtmlTable {
  std::string caption;
  std::vector<std::string> header;
  // Cells are HTML; the first cell of each row is rendered as its header.
  std::vector<std::vector<std::string>> rows;
  std::string empty_text;  // Rendered instead of the table if it has no rows.
};

std::string RenderTable(const HtmlTable& table);

struct HtmlPage {
  std::string title;
  std::string path;    // Selects the current page in the navigation.
  std::string author;  // If empty, the page has no navigation.
  std::string form_token;
  std::string main;  // HTML of the main element.
};

// Returns the complete HTML document.
std::string RenderPage(const HtmlPage& page);

// Returns a labelled text input.
std::string RenderInput(std::string_view id, std::string_view label,
                        std::string_view value, std::string_view attributes);

// Returns a hidden input.
std::string RenderHiddenInput(std::string_view name, std::string_view value);

// Returns the style sheet that all pages use.
std::string_view StyleSheet();

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_HTML_H_
