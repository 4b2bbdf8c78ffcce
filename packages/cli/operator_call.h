// Defines the reading of one resource from several daemons' operator addresses.

#ifndef SEQUOIAPATH_CLI_OPERATOR_CALL_H_
#define SEQUOIAPATH_CLI_OPERATOR_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "command.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// What one daemon answered.
struct OperatorReply {
  Endpoint endpoint;
  ExitCode code = kExitOk;  // kExitNoReply or kExitFailed without a body.
  std::string error;
  nlohmann::json body;
};

// The checked arguments of a command that reads from daemons.
struct OperatorArguments {
  std::vector<Endpoint> endpoints;
  std::string token;
  bool json = false;
};

// Parses --operator, --token-file and --json. Reports an error on standard
// error and returns nothing if they are not valid.
std::optional<OperatorArguments> ParseOperatorArguments(const char* command,
                                                        int argc,
                                                        const char** argv);

// Reads `path` from all endpoints at once. Not thread-safe.
std::vector<OperatorReply> ReadFromAll(const OperatorArguments& arguments,
                                       const std::string& path);

// Prints what failed on standard error and returns the exit code: kExitNoReply
// if any daemon did not reply, else kExitFailed if any refused.
int ReportErrors(const char* command,
                 const std::vector<OperatorReply>& replies);

// Prints all replies as one JSON array.
void PrintJson(const std::vector<OperatorReply>& replies);

// Returns the text of a field, whatever its type; empty if it is absent.
std::string FieldText(const nlohmann::json& json, const char* key);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_OPERATOR_CALL_H_
