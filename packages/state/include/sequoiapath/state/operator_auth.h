// Defines the authentication of operators' requests: the bearer token, the
// login cookie, the form token against cross-site request forgery and the
// origin check of POST requests.

#ifndef SEQUOIAPATH_STATE_OPERATOR_AUTH_H_
#define SEQUOIAPATH_STATE_OPERATOR_AUTH_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

constexpr std::string_view kOperatorCookie = "sequoiapath_console";

// Compares two strings in a time that does not depend on the position of the
// first difference, to prevent timing attacks. Thread-safe.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Returns whether the authorization header of `request` is "Bearer" followed by
// `token`. The cookie of the request is not considered.
bool HasBearerToken(const HttpRequest& request, std::string_view token);

// A login that was verified by its cookie.
struct OperatorLogin {
  std::string author;      // The name that the operator entered.
  std::string form_token;  // Required in every POST made with the cookie.
};

// Returns whether `author` is a valid login name: 1 to 64 letters, digits, '.',
// '-', '_' or '@'.
bool IsAuthorName(std::string_view author);

// Returns the set-cookie value of a login. The cookie contains the name, the
// expiry time and an HMAC under a key derived from the token, so it does not
// reveal the token and is valid at every daemon that has the same token.
// Precondition: IsAuthorName(author). Thread-safe.
std::string MakeLoginCookie(std::string_view author, std::string_view token,
                            std::chrono::system_clock::time_point now);

// Returns the set-cookie value that deletes the login cookie.
std::string MakeLogoutCookie();

// Returns the login of the request's cookie; empty if the cookie is absent, has
// an invalid signature or has expired. Thread-safe.
std::optional<OperatorLogin> ReadLogin(
    const HttpRequest& request, std::string_view token,
    std::chrono::system_clock::time_point now);

// Returns whether the browser's headers allow that a POST comes from a page of
// this server: if present, Sec-Fetch-Site must be same-origin and Origin must
// match the Host header. Thread-safe.
bool IsSameOrigin(const HttpRequest& request);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OPERATOR_AUTH_H_
