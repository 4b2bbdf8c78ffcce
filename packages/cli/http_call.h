// Defines a blocking HTTP request for the command-line tool.

#ifndef SEQUOIAPATH_CLI_HTTP_CALL_H_
#define SEQUOIAPATH_CLI_HTTP_CALL_H_

#include <chrono>

#include "sequoiapath/transport/endpoint.h"
#include "sequoiapath/transport/http_client.h"

namespace sequoiapath {

// Sends `request` and runs an event loop until its result is available. Not
// thread-safe.
HttpResult CallAndWait(const Endpoint& endpoint, HttpRequest request,
                       Duration timeout);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_HTTP_CALL_H_
