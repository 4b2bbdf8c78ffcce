// Defines helpers for the console's HTML: escaping, tables and the page frame.

#ifndef SEQUOIAPATH_STATE_SRC_HTML_H_
#define SEQUOIAPATH_STATE_SRC_HTML_H_

#include <string>
#include <string_view>
#include <vector>

namespace sequoiapath {

// Returns `text` with markup characters as entities, for element content and
// quoted attributes. Control characters become U+FFFD. Thread-safe.
std::string EscapeHtml(std::string_view text);

struct HtmlTable {
  std::string caption;
  std::vector<std::string> header;
  // Cells are HTML; the first cell of each row is its header.
  std::vector<std::vector<std::string>> rows;
  std::string empty_text;  // Shown instead of a table without rows.
};

std::string RenderTable(const HtmlTable& table);

struct HtmlPage {
  std::string title;
  std::string path;    // Marks the current page in the navigation.
  std::string author;  // Empty: no login, and no navigation.
  std::string form_token;
  std::string main;  // HTML.
};

// Returns the whole document.
std::string RenderPage(const HtmlPage& page);

// Returns a labelled text input.
std::string RenderInput(std::string_view id, std::string_view label,
                        std::string_view value, std::string_view attributes);

// Returns a hidden input.
std::string RenderHiddenInput(std::string_view name, std::string_view value);

// Returns the style sheet of all pages.
std::string_view StyleSheet();

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SRC_HTML_H_
