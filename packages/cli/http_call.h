// Defines a blocking HTTP call for the command-line tool.

#ifndef SEQUOIAPATH_CLI_HTTP_CALL_H_
#define SEQUOIAPATH_CLI_HTTP_CALL_H_

#include <chrono>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {

// Sends `request` and runs a loop until the result is there. Not thread-safe.
HttpResult CallAndWait(const Endpoint& endpoint, HttpRequest request,
                       Duration timeout);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_HTTP_CALL_H_
