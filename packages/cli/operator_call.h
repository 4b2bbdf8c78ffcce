// Defines functions that read one resource from the operator addresses of
// several daemons.

#ifndef SEQUOIAPATH_CLI_OPERATOR_CALL_H_
#define SEQUOIAPATH_CLI_OPERATOR_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "command.h"
#include "sequoiapath/transport/endpoint.h"

namespace sequoiapath {

// The reply of one daemon.
struct OperatorReply {
  Endpoint endpoint;
  // kExitNoReply without a response, kExitFailed if the response has an error
  // status or is not a JSON object.
  ExitCode code = kExitOk;
  std::string error;
  nlohmann::json body;
};

// The validated arguments of a command that reads from daemons.
struct OperatorArguments {
  std::vector<Endpoint> endpoints;
  std::string token;
  bool json = false;
};

// Parses --operator, --token-file and --json. If they are invalid, prints an
// error on standard error and returns nothing.
std::optional<OperatorArguments> ParseOperatorArguments(const char* command,
                                                        int argc,
                                                        const char** argv);

// Reads `path` from all endpoints concurrently. Not thread-safe.
std::vector<OperatorReply> ReadFromAll(const OperatorArguments& arguments,
                                       const std::string& path);

// Prints the errors on standard error and returns the exit code: kExitNoReply
// if any daemon did not reply, else kExitFailed if any reply is an error, else
// kExitOk.
int ReportErrors(const char* command,
                 const std::vector<OperatorReply>& replies);

// Prints all replies as one JSON array.
void PrintJson(const std::vector<OperatorReply>& replies);

// Returns a string field unquoted and a field of another type as JSON; empty if
// the field is absent.
std::string FieldText(const nlohmann::json& json, const char* key);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_OPERATOR_CALL_H_
