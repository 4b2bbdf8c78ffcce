// Defines EndpointListOption, a command-line option that names one or more
// endpoints.

#ifndef SEQUOIAPATH_CLI_ENDPOINT_LIST_H_
#define SEQUOIAPATH_CLI_ENDPOINT_LIST_H_

#include <optional>
#include <vector>

#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// Owns the list that popt allocates for an option of type POPT_ARG_ARGV. The
// option may be repeated, and each value may hold several endpoints separated
// by commas.
class EndpointListOption {
 public:
  EndpointListOption() = default;
  ~EndpointListOption();
  EndpointListOption(const EndpointListOption&) = delete;
  EndpointListOption& operator=(const EndpointListOption&) = delete;

  // Returns the pointer for the `arg` member of a poptOption.
  char*** popt_arg() { return &this->values; }

  // Returns the endpoints. If there is none or one is malformed, prints an
  // error on standard error and returns nothing.
  std::optional<std::vector<Endpoint>> Read(const char* command,
                                            const char* option) const;

 private:
  char** values = nullptr;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_ENDPOINT_LIST_H_
