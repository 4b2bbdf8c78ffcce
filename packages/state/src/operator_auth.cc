#include "sequoiapath/state/operator_auth.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <vector>

namespace sequoiapath {
namespace internal {
namespace {

constexpr auto kLoginDuration = std::chrono::hours(12);
constexpr std::size_t kMaxAuthorLength = 64;
constexpr std::string_view kBearer = "Bearer ";

std::string HmacHex(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &length);
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += fmt::format("{:02x}", mac[i]);
  }
  return hex;
}

// Returns the signature of `text` under a key derived from the token and
// `purpose`, so that a cookie's signature is not a valid form token.
std::string Sign(std::string_view token, std::string_view purpose,
                 std::string_view text) {
  return HmacHex(HmacHex(token, purpose), text);
}

std::optional<std::string_view> FindCookie(const HttpRequest& request,
                                           std::string_view name) {
  for (const HttpHeader& header : request.headers) {
    if (header.name != "cookie") continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(';'), rest.size());
      std::string_view pair = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      while (pair.starts_with(' ')) pair.remove_prefix(1);
      if (pair.starts_with(name) && pair.substr(name.size()).starts_with('=')) {
        return pair.substr(name.size() + 1);
      }
    }
  }
  return std::nullopt;
}

std::int64_t UnixSeconds(std::chrono::system_clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace
}  // namespace internal

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  // Comparing digests of equal length keeps the time independent of the length
  // of the secret.
  const std::string first = internal::HmacHex("compare", a);
  const std::string second = internal::HmacHex("compare", b);
  return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

bool HasBearerToken(const HttpRequest& request, std::string_view token) {
  const auto value = FindHeader(request.headers, "authorization");
  if (!value || !value->starts_with(internal::kBearer)) return false;
  return EqualInConstantTime(value->substr(internal::kBearer.size()), token);
}

bool IsAuthorName(std::string_view author) {
  return !author.empty() && author.size() <= internal::kMaxAuthorLength &&
         std::all_of(author.begin(), author.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_' ||
                  c == '@';
         });
}

std::string MakeLoginCookie(std::string_view author, std::string_view token,
                            std::chrono::system_clock::time_point now) {
  const std::string signed_part = fmt::format(
      "{}|{}", internal::UnixSeconds(now + internal::kLoginDuration), author);
  return fmt::format("{}={}|{}; Path=/; Max-Age={}; HttpOnly; SameSite=Strict",
                     kOperatorCookie, signed_part,
                     internal::Sign(token, "console login", signed_part),
                     std::chrono::seconds(internal::kLoginDuration).count());
}

std::string MakeLogoutCookie() {
  return fmt::format("{}=; Path=/; Max-Age=0; HttpOnly; SameSite=Strict",
                     kOperatorCookie);
}

std::optional<OperatorLogin> ReadLogin(
    const HttpRequest& request, std::string_view token,
    std::chrono::system_clock::time_point now) {
  const auto cookie = internal::FindCookie(request, kOperatorCookie);
  if (!cookie) return std::nullopt;
  const std::size_t mac_begin = cookie->rfind('|');
  if (mac_begin == std::string_view::npos) return std::nullopt;
  const std::string_view signed_part = cookie->substr(0, mac_begin);
  if (!EqualInConstantTime(
          cookie->substr(mac_begin + 1),
          internal::Sign(token, "console login", signed_part))) {
    return std::nullopt;
  }
  const std::size_t separator = signed_part.find('|');
  if (separator == std::string_view::npos) return std::nullopt;
  std::int64_t expiry = 0;
  std::from_chars(signed_part.data(), signed_part.data() + separator, expiry);
  if (internal::UnixSeconds(now) >= expiry) return std::nullopt;
  return OperatorLogin{std::string(signed_part.substr(separator + 1)),
                       internal::Sign(token, "console form", *cookie)};
}

bool IsSameOrigin(const HttpRequest& request) {
  const auto site = FindHeader(request.headers, "sec-fetch-site");
  if (site && *site != "same-origin") return false;
  const auto origin = FindHeader(request.headers, "origin");
  if (!origin) return true;
  const auto host = FindHeader(request.headers, "host");
  return host && (*origin == fmt::format("http://{}", *host) ||
                  *origin == fmt::format("https://{}", *host));
}

}  // namespace sequoiapath
