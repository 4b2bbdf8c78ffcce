// Defines Settings, the daemon's own settings file. It holds what differs
// between VMs; everything shared is in the configuration document.

#ifndef SEQUOIAPATH_STATE_SETTINGS_H_
#define SEQUOIAPATH_STATE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sequoiapath/state/log.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

struct Settings {
  std::string data_centre;
  std::string vm;
  Endpoint caller_listen;
  Endpoint peer_listen;
  Endpoint operator_listen;
  std::vector<Endpoint> stores;  // The platform's service, tried in order.
  std::vector<Endpoint> seeds;   // Peer endpoints of other daemons.
  std::string cluster_key;       // Shared by all daemons; signs session ids.
  std::string operator_token;
  std::chrono::milliseconds stop_timeout{15'000};
  std::size_t max_waiting_tasks = 100'000;
  std::size_t max_request_bytes = 40u << 20;
  LogLevel log_level = LogLevel::kInfo;
};

struct SettingsError {
  int line = 0;  // Zero if the key is missing.
  std::string key;
  std::string message;
};

using SettingsErrors = std::vector<SettingsError>;

// One key of the settings file as the parser reads it, in words.
struct SettingRule {
  std::string key;
  std::string type;
  std::string default_value;  // "required" if there is none.
  std::string range;
};

// Returns the rules of all keys, in the order of docs/settings.md. Thread-safe.
std::vector<SettingRule> SettingRules();

// Parses and checks the TOML text. Reports every error; unknown keys are
// errors. Thread-safe.
std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SETTINGS_H_
