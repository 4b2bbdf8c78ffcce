// Tests that docs/settings.md documents the rules of the settings parser.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

#include "sequoiapath/state/settings.h"

namespace sequoiapath {
namespace {

constexpr const char* kRowBegin = "| `";

std::vector<std::string> ReadRows() {
  std::ifstream page(std::string(SEQUOIAPATH_SOURCE_DIR) + "/docs/settings.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with(kRowBegin)) rows.push_back(line);
  }
  return rows;
}

// Fails if a key is added, removed or changed without updating
// docs/settings.md, which would give operators wrong documentation.
TEST(SettingsPageTest, EveryKeyIsListedWithTheParsersRule) {
  const auto rows = ReadRows();
  const auto rules = SettingRules();
  ASSERT_EQ(rows.size(), rules.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const std::string begin =
        fmt::format("| `{}` | {} | {} | {} | ", rules[i].key, rules[i].type,
                    rules[i].default_value, rules[i].range);
    EXPECT_TRUE(rows[i].starts_with(begin))
        << "page: " << rows[i] << "\nrule: " << begin;
    EXPECT_GT(rows[i].size(), begin.size() + 10) << "no meaning: " << rows[i];
  }
}

// The descriptions of the rules must agree with the keys that the parser
// requires.
TEST(SettingsPageTest, RequiredKeysAreThoseThatTheParserMisses) {
  const auto parsed = ParseSettings("");
  const auto* errors = std::get_if<SettingsErrors>(&parsed);
  ASSERT_NE(errors, nullptr);
  std::vector<std::string> missing;
  for (const SettingsError& error : *errors) missing.push_back(error.key);
  std::vector<std::string> required;
  for (const SettingRule& rule : SettingRules()) {
    if (rule.default_value == "required") required.push_back(rule.key);
  }
  EXPECT_EQ(missing, required);
}

}  // namespace
}  // namespace sequoiapath
