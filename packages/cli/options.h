// Defines helpers that parse command lines with popt.

#ifndef SEQUOIAPATH_CLI_OPTIONS_H_
#define SEQUOIAPATH_CLI_OPTIONS_H_

#include <popt.h>

#include <optional>
#include <string>
#include <vector>

#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// Owns a string that popt allocated for an option.
class StringOption {
 public:
  StringOption() = default;
  ~StringOption();
  StringOption(const StringOption&) = delete;
  StringOption& operator=(const StringOption&) = delete;

  // Returns the pointer for the `arg` member of a poptOption.
  char** popt_arg() { return &this->text; }
  bool given() const { return this->text != nullptr; }
  std::string value() const { return this->given() ? this->text : ""; }

 private:
  char* text = nullptr;
};

// Parses argv with `options` and returns the positional arguments. If argv is
// invalid, prints an error on standard error and returns nothing.
std::optional<std::vector<std::string>> ParseArguments(
    const char* command, int argc, const char** argv,
    const poptOption* options);

// Parses the value of --endpoint. If it is missing or malformed, prints an
// error on standard error and returns nothing.
std::optional<Endpoint> RequireEndpoint(const char* command,
                                        const StringOption& option);

// Returns the contents of a file. If it cannot be opened, prints an error on
// standard error and returns nothing.
std::optional<std::string> ReadInputFile(const char* command,
                                         const std::string& path);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_OPTIONS_H_
