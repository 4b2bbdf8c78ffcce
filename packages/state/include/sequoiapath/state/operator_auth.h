// Defines the checks of operators' requests: the token, the login cookie, the
// form token and the origin of a post.

#ifndef SEQUOIAPATH_STATE_OPERATOR_AUTH_H_
#define SEQUOIAPATH_STATE_OPERATOR_AUTH_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

constexpr std::string_view kOperatorCookie = "sequoiapath_console";

// Compares in a time that does not depend on where the texts differ.
// Thread-safe.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Says whether `request` carries the token as "authorization: Bearer". A wrong
// token is refused even if a valid cookie comes with it.
bool HasBearerToken(const HttpRequest& request, std::string_view token);

// A login, proved by a cookie.
struct OperatorLogin {
  std::string author;      // The name that the operator gave.
  std::string form_token;  // Must come back with every post.
};

// Says whether `author` can be a login name: 1 to 64 letters, digits, '.', '-',
// '_', '@'.
bool IsAuthorName(std::string_view author);

// Returns the set-cookie value of a login. The cookie holds the name, the time
// of expiry and an HMAC under a key derived from the token, so it does not
// reveal the token and is valid at every daemon with the same token.
// Precondition: IsAuthorName(author). Thread-safe.
std::string MakeLoginCookie(std::string_view author, std::string_view token,
                            std::chrono::system_clock::time_point now);

// Returns the set-cookie value that ends a login.
std::string MakeLogoutCookie();

// Returns the login of the request's cookie; empty if there is none, it was
// altered or it has expired. Thread-safe.
std::optional<OperatorLogin> ReadLogin(
    const HttpRequest& request, std::string_view token,
    std::chrono::system_clock::time_point now);

// Says whether a post comes from a page of this server, as far as the browser
// tells: Sec-Fetch-Site must be same-origin and Origin must name the host asked
// for, where they are present. Thread-safe.
bool IsSameOrigin(const HttpRequest& request);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_OPERATOR_AUTH_H_
