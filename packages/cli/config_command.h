// Defines what the configuration subcommands share: their options, the
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

// The options of a configuration subcommand. Those that a subcommand does not
// use are accepted and ignored.
struct ConfigOptions {
  Endpoint store;
  bool json = false;
  ChangeAuthor author;
  std::optional<std::uint64_t>
      base_generation;  // Generation that the file was made from.
  std::uint64_t above_generation = 0;  // The new generation exceeds this.
  std::size_t limit = 20;              // Of the history.
  std::string argument;                // The file or generation.
};

// Which options and arguments a subcommand needs.
struct ConfigUsage {
  const char* command;   // Such as "sequoiapath apply".
  const char* argument;  // Such as "FILE"; empty: none.
  bool needs_store = true;
};

// Parses the command line; reports an error and returns nothing if it is not
// valid.
std::optional<ConfigOptions> ParseConfigOptions(const ConfigUsage& usage,
                                                int argc, const char** argv);

// Parses a generation from 1 on.
std::optional<std::uint64_t> ParseGeneration(const std::string& text);

// The connection of one command to the store, with its own loop.
class ConfigConnection {
 public:
  explicit ConfigConnection(const Endpoint& store);

  // Runs the loop until `result` is set.
  template <typename T>
  T Wait(const std::optional<T>& result) {
    while (!result) this->loop.RunOnce(std::chrono::milliseconds(100));
    return *result;
  }

  EventLoop loop;
  StoreClient client;
  ConfigStore config;
};

// Reads and validates a file. Prints all errors, as JSON on standard output or
// as text on standard error, and returns nothing if it is not valid.
std::optional<Document> ReadDocumentFile(const ConfigUsage& usage,
                                         const ConfigOptions& options);

// Prints a report and returns the exit code.
int PrintReport(const ConfigUsage& usage, const ConfigOptions& options,
                const ChangeReport& report);

// Prints a failed read of the store and returns the exit code.
int PrintFailure(const ConfigUsage& usage, const ConfigOptions& options,
                 const Failure& failure);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_CONFIG_COMMAND_H_
