// Defines Settings, the contents of the daemon's settings file. The file holds
// the values that differ between VMs; the configuration document holds the
// values that all daemons share.

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
  // Endpoints of the platform's key-value service, tried in this order.
  std::vector<Endpoint> stores;
  std::vector<Endpoint> seeds;  // Peer endpoints of other daemons.
  std::string cluster_key;      // Shared by all daemons; signs session ids.
  std::string operator_token;
  std::chrono::milliseconds stop_timeout{15'000};
  std::size_t max_waiting_tasks = 100'000;
  std::size_t max_request_bytes = 40u << 20;
  LogLevel log_level = LogLevel::kInfo;
};

struct SettingsError {
  int line = 0;  // Zero if a required key is missing.
  std::string key;
  std::string message;
};

using SettingsErrors = std::vector<SettingsError>;

// A textual description of one key of the settings file and the values that the
// parser accepts for it.
struct SettingRule {
  std::string key;
  std::string type;
  std::string default_value;  // "required" if there is none.
  std::string range;
};

// Returns the rules of all keys, in the order of docs/settings.md. Thread-safe.
std::vector<SettingRule> SettingRules();

// Parses and validates the TOML text. Returns the settings, or all errors;
// unknown keys are errors. Thread-safe.
std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_SETTINGS_H_
