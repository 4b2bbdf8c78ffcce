// Defines OperatorApi, the HTTP interface for operators: metrics, status, late
// requests and a console of HTML forms.

#ifndef SEQUOIAPATH_STATE_OPERATOR_API_H_
#define SEQUOIAPATH_STATE_OPERATOR_API_H_

#include <string>

#include "sequoiapath/state/operator_auth.h"
#include "sequoiapath/state/operator_backend.h"
#include "sequoiapath/transport/http_server.h"

namespace sequoiapath {

// The largest request body that the operator address has to accept, in bytes.
constexpr std::size_t kMaxOperatorRequestBytes = 64 << 10;

// Answers operators' requests. All but the login page and the style sheet need
// the token or a login. Thread safety: loop thread only.
class OperatorApi {
 public:
  // Precondition: `backend.status` and `backend.late` are callable.
  OperatorApi(std::string token, OperatorBackend backend);

  // Answers one request.
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
