#include "options.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace sequoiapath {

StringOption::~StringOption() { std::free(this->text); }

std::optional<std::vector<std::string>> ParseArguments(
    const char* command, int argc, const char** argv,
    const poptOption* options) {
  poptContext context = poptGetContext(command, argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  std::optional<std::vector<std::string>> rest;
  if (result < -1) {
    fmt::print(stderr, "{}: {}: {}\n", command,
               poptBadOption(context, POPT_BADOPTION_NOALIAS),
               poptStrerror(result));
  } else {
    rest.emplace();
    while (const char* argument = poptGetArg(context)) {
      rest->push_back(argument);
    }
  }
  poptFreeContext(context);
  return rest;
}

std::optional<Endpoint> RequireEndpoint(const char* command,
                                        const StringOption& option) {
  std::optional<Endpoint> endpoint = ParseEndpoint(option.value());
  if (!endpoint) {
    fmt::print(stderr,
               "{}: --endpoint: expected \"IPv4 address:port\", found \"{}\"\n",
               command, option.value());
  }
  return endpoint;
}

std::optional<std::string> ReadInputFile(const char* command,
                                         const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    fmt::print(stderr, "{}: {}: cannot read the file\n", command, path);
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace sequoiapath
