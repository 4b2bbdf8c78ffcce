#include "sequoiapath/state/settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <sstream>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

// Shorter secrets are vulnerable to brute-force guessing.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::int64_t kMaxStopTimeoutMs = 600'000;
constexpr std::int64_t kMaxWaitingTasks = 10'000'000;
constexpr std::int64_t kMaxRequestBytes = std::int64_t{1} << 30;

// Stores the value of one key in `settings`, or returns an error message if the
// value is not allowed.
using Reader = std::function<std::optional<std::string>(const toml::node& node,
                                                        Settings* settings)>;

// The values that a key accepts: a textual description and the function that
// validates and stores the value.
struct ValueRule {
  std::string type;
  std::string range;
  Reader read;
};

struct KeyRule {
  std::string_view key;
  std::string default_value;  // Empty if the key is required.
  ValueRule value;
};

bool IsName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

// Returns the value of a key as TOML, for error messages. Must not be used for
// secrets.
std::string FormatValue(const toml::node& node) {
  std::ostringstream text;
  node.visit([&text](const auto& value) { text << value; });
  return text.str();
}

ValueRule NameRule(std::string Settings::*member) {
  return {"string", "lower-case letters, digits and '-'",
          [member](const toml::node& node,
                   Settings* settings) -> std::optional<std::string> {
            const auto text = node.value_exact<std::string>();
            if (!text || !IsName(*text)) {
              return fmt::format(
                  "expected a string of lower-case letters, digits and '-', "
                  "found {}",
                  FormatValue(node));
            }
            settings->*member = *text;
            return std::nullopt;
          }};
}

ValueRule SecretRule(std::string Settings::*member) {
  return {"string", fmt::format("at least {} characters", kMinSecretLength),
          [member](const toml::node& node,
                   Settings* settings) -> std::optional<std::string> {
            const auto text = node.value_exact<std::string>();
            if (!text || text->size() < kMinSecretLength) {
              return fmt::format("expected a string of at least {} characters",
                                 kMinSecretLength);
            }
            settings->*member = *text;
            return std::nullopt;
          }};
}

std::optional<Endpoint> ReadEndpointText(const toml::node& node) {
  const auto text = node.value_exact<std::string>();
  return text ? ParseEndpoint(*text) : std::nullopt;
}

ValueRule EndpointRule(Endpoint Settings::*member) {
  return {"string", "IPv4 address:port",
          [member](const toml::node& node,
                   Settings* settings) -> std::optional<std::string> {
            const auto endpoint = ReadEndpointText(node);
            if (!endpoint) {
              return fmt::format(
                  "expected a string \"IPv4 address:port\", found {}",
                  FormatValue(node));
            }
            settings->*member = *endpoint;
            return std::nullopt;
          }};
}

ValueRule EndpointListRule(std::vector<Endpoint> Settings::*member) {
  return {"array of strings", "IPv4 address:port each",
          [member](const toml::node& node,
                   Settings* settings) -> std::optional<std::string> {
            constexpr auto kError =
                "expected an array of strings \"IPv4 address:port\"";
            const toml::array* array = node.as_array();
            if (array == nullptr) {
              return fmt::format("{}, found {}", kError, FormatValue(node));
            }
            for (const toml::node& element : *array) {
              const auto endpoint = ReadEndpointText(element);
              if (!endpoint) {
                return fmt::format("{}, found {}", kError,
                                   FormatValue(element));
              }
              (settings->*member).push_back(*endpoint);
            }
            return std::nullopt;
          }};
}

// Accepts a whole number from `low` to `high` and passes it to `assign`.
ValueRule IntegerRule(std::int64_t low, std::int64_t high,
                      std::function<void(Settings*, std::int64_t)> assign) {
  return {"integer", fmt::format("{} to {}", low, high),
          [low, high, assign = std::move(assign)](
              const toml::node& node,
              Settings* settings) -> std::optional<std::string> {
            const auto number = node.value_exact<std::int64_t>();
            if (!number || *number < low || *number > high) {
              return fmt::format(
                  "expected a whole number from {} to {}, found {}", low, high,
                  FormatValue(node));
            }
            assign(settings, *number);
            return std::nullopt;
          }};
}

std::optional<std::string> ReadLogLevel(const toml::node& node,
                                        Settings* settings) {
  constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLevels{{
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError},
  }};
  const auto text = node.value_exact<std::string>();
  for (const auto& [name, level] : kLevels) {
    if (text && *text == name) {
      settings->log_level = level;
      return std::nullopt;
    }
  }
  return fmt::format("expected debug, info, warning or error, found {}",
                     FormatValue(node));
}

const std::vector<KeyRule>& KeyRules() {
  static const Settings defaults;
  static const auto& rules = *new std::vector<KeyRule>{
      {"data_centre", "", NameRule(&Settings::data_centre)},
      {"vm", "", NameRule(&Settings::vm)},
      {"caller_listen", "", EndpointRule(&Settings::caller_listen)},
      {"peer_listen", "", EndpointRule(&Settings::peer_listen)},
      {"operator_listen", "", EndpointRule(&Settings::operator_listen)},
      {"stores", "", EndpointListRule(&Settings::stores)},
      {"seeds", "[]", EndpointListRule(&Settings::seeds)},
      {"cluster_key", "", SecretRule(&Settings::cluster_key)},
      {"operator_token", "", SecretRule(&Settings::operator_token)},
      {"stop_timeout_ms", fmt::format("{}", defaults.stop_timeout.count()),
       IntegerRule(1, kMaxStopTimeoutMs,
                   [](Settings* settings, std::int64_t value) {
                     settings->stop_timeout = std::chrono::milliseconds(value);
                   })},
      {"max_waiting_tasks", fmt::format("{}", defaults.max_waiting_tasks),
       IntegerRule(1, kMaxWaitingTasks,
                   [](Settings* settings, std::int64_t value) {
                     settings->max_waiting_tasks =
                         static_cast<std::size_t>(value);
                   })},
      {"max_request_bytes", fmt::format("{}", defaults.max_request_bytes),
       IntegerRule(1, kMaxRequestBytes,
                   [](Settings* settings, std::int64_t value) {
                     settings->max_request_bytes =
                         static_cast<std::size_t>(value);
                   })},
      {"log_level",
       "info",
       {"string", "debug, info, warning or error", ReadLogLevel}},
  };
  return rules;
}

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

void CheckUnknownKeys(const toml::table& table, SettingsErrors* errors) {
  const auto& rules = KeyRules();
  for (const auto& [table_key, node] : table) {
    const std::string_view key = table_key.str();
    const bool known =
        std::any_of(rules.begin(), rules.end(),
                    [key](const KeyRule& rule) { return rule.key == key; });
    if (!known) {
      errors->push_back({LineOf(node), std::string(key), "unknown key"});
    }
  }
}

}  // namespace
}  // namespace internal

std::vector<SettingRule> SettingRules() {
  std::vector<SettingRule> rules;
  for (const internal::KeyRule& rule : internal::KeyRules()) {
    rules.push_back(
        {std::string(rule.key), rule.value.type,
         rule.default_value.empty() ? "required" : rule.default_value,
         rule.value.range});
  }
  return rules;
}

std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text) {
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const auto line = static_cast<int>(parsed.error().source().begin.line);
    return SettingsErrors{
        {line, "", std::string(parsed.error().description())}};
  }
  const toml::table& table = parsed.table();
  Settings settings;
  SettingsErrors errors;
  for (const internal::KeyRule& rule : internal::KeyRules()) {
    const toml::node* node = table.get(rule.key);
    if (node == nullptr) {
      if (rule.default_value.empty()) {
        errors.push_back({0, std::string(rule.key), "required key is missing"});
      }
      continue;
    }
    if (auto message = rule.value.read(*node, &settings)) {
      errors.push_back({internal::LineOf(*node), std::string(rule.key),
                        *std::move(message)});
    }
  }
  internal::CheckUnknownKeys(table, &errors);
  if (!errors.empty()) return errors;
  return settings;
}

}  // namespace sequoiapath
