// Defines the HTTP request and response structs that HttpServer, HttpClient and
// PeerClient share.

#ifndef SEQUOIAPATH_TRANSPORT_HTTP_MESSAGE_H_
#define SEQUOIAPATH_TRANSPORT_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapath {

// A header field; names are in lower case.
struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header called `name` (lower case), if any.
// The view is valid as long as `headers` is unchanged. Thread-safe.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

struct HttpRequest {
  std::string method;
  std::string path;  // Includes the query string, if any.
  HttpHeaders headers;
  std::string body;
  std::string remote_address;  // Set by the server only.
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_TRANSPORT_HTTP_MESSAGE_H_
