// Defines OperatorApi, the HTTP interface for operators: metrics, status, the
// log of late requests and an HTML console.

#ifndef SEQUOIAPATH_STATE_OPERATOR_API_H_
#define SEQUOIAPATH_STATE_OPERATOR_API_H_

#include <string>

#include "sequoiapath/state/operator_auth.h"
#include "sequoiapath/state/operator_backend.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {

// The maximum size of a request body on the operator address, in bytes.
constexpr std::size_t kMaxOperatorRequestBytes = 64 << 10;

// Handles operators' HTTP requests. Every resource except the login page and
// the style sheet requires the operator token or a login cookie. Thread safety:
// loop thread only.
class OperatorApi {
 public:
  // Precondition: `backend.status` and `backend.late_log` are set.
  OperatorApi(std::string token, OperatorBackend backend);

  // Responds to one request, possibly after this function returns.
  void Handle(const HttpRequest& request, const HttpResponder& responder) const;

 private:
  void HandleLogin(const HttpRequest& request,
                   const HttpResponder& responder) const;
  void HandleData(const HttpRequest& request,
                  const HttpResponder& responder) const;
  void HandlePost(const HttpRequest& request, const OperatorLogin& login,
                  const HttpResponder& responder) const;
  void HandlePage(const HttpRequest& request, const OperatorLogin& login,
                  const HttpResponder& responder) const;

  std::string token;
  OperatorBackend backend;
};

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OPERATOR_API_H_
