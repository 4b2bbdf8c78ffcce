// Defines OptionParser, a thin owner of a popt context.

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

  // For the `arg` member of a poptOption.
  char** popt_arg() { return &this->text; }
  bool given() const { return this->text != nullptr; }
  std::string value() const { return this->given() ? this->text : ""; }

 private:
  char* text = nullptr;
};

// Parses argv with `options`. Reports an error on standard error and returns
// nothing if it is not valid; otherwise returns the other arguments.
std::optional<std::vector<std::string>> ParseArguments(
    const char* command, int argc, const char** argv,
    const poptOption* options);

// Parses the value of --endpoint; reports an error and returns nothing if it is
// missing or malformed.
std::optional<Endpoint> RequireEndpoint(const char* command,
                                        const StringOption& option);

// Reads a whole file; reports an error and returns nothing if that fails.
std::optional<std::string> ReadInputFile(const char* command,
                                         const std::string& path);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_OPTIONS_H_
