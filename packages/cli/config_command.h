// Defines the common parts of the configuration subcommands: the options, the
// connection to the store and the output of reports.

#ifndef SEQUOIAPATH_CLI_CONFIG_COMMAND_H_
#define SEQUOIAPATH_CLI_CONFIG_COMMAND_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "options.h"
#include "sequoiapath/state/config_store.h"
#include "sequoiapath/state/store_client.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {

// The options of the configuration subcommands. Every subcommand accepts all of
// them and ignores those that it does not use.
struct ConfigOptions {
  Endpoint store;
  bool json = false;
  ChangeAuthor author;
  // The generation that the file was edited from; empty for the one in force.
  std::optional<std::uint64_t> base_generation;
  std::uint64_t above_generation = 0;  // The new generation must exceed this.
  std::size_t limit = 20;              // Maximum number of history records.
  std::string argument;                // The positional argument.
};

// The arguments that a subcommand requires.
struct ConfigUsage {
  const char* command;   // For example "sequoiapath apply".
  const char* argument;  // For example "FILE"; empty if there is none.
  bool needs_store = true;
};

// Parses the command line. If it is invalid, prints an error on standard error
// and returns nothing.
std::optional<ConfigOptions> ParseConfigOptions(const ConfigUsage& usage,
                                                int argc, const char** argv);

// Parses a decimal generation number; returns nothing if it is below 1 or
// malformed.
std::optional<std::uint64_t> ParseGeneration(const std::string& text);

// A connection of one command to the store, with its own event loop.
class ConfigConnection {
 public:
  explicit ConfigConnection(const Endpoint& store);

  // Runs the event loop until `result` has a value, and returns it.
  template <typename T>
  T Wait(const std::optional<T>& result) {
    while (!result) this->loop.RunOnce(std::chrono::milliseconds(100));
    return *result;
  }

  EventLoop loop;
  StoreClient client;
  ConfigStore config;
};

// Reads and validates a configuration file. If it is invalid, prints all errors
// as JSON on standard output or as text on standard error, and returns nothing.
std::optional<Document> ReadDocumentFile(const ConfigUsage& usage,
                                         const ConfigOptions& options);

// Prints the report of a change and returns the exit code.
int PrintReport(const ConfigUsage& usage, const ConfigOptions& options,
                const ChangeReport& report);

// Prints the failure of a read from the store and returns the exit code.
int PrintFailure(const ConfigUsage& usage, const ConfigOptions& options,
                 const Failure& failure);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_CONFIG_COMMAND_H_
