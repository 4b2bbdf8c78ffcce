#include "sequoiapath/protocol/session_id.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <vector>

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::string_view kVersion = "s1";
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kFieldCount = 7;
constexpr int kHexBase = 16;

std::string ComputeMac(std::string_view text, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &length);
  std::string hex;
  for (std::size_t i = 0; i < kMacBytes; ++i) {
    hex += fmt::format("{:02x}", digest[i]);
  }
  return hex;
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = text.find(separator, begin);
    parts.push_back(text.substr(begin, end - begin));
    if (end == std::string_view::npos) return parts;
    begin = end + 1;
  }
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

// Replaces dots in the address by underscores, because dots separate the fields
// of a session id.
std::string EncodeEndpoint(const Endpoint& endpoint) {
  std::string text = ToString(endpoint);
  for (char& c : text) {
    if (c == '.') c = '_';
  }
  return text;
}

std::optional<Endpoint> DecodeEndpoint(std::string_view encoded) {
  std::string text(encoded);
  for (char& c : text) {
    if (c == '_') c = '.';
  }
  return ParseEndpoint(text);
}

}  // namespace
}  // namespace internal

std::string EncodeSessionId(const SessionId& id, std::string_view cluster_key) {
  const std::string text = fmt::format(
      "{}.{}.{}.{}.{:x}.{:x}", internal::kVersion, id.data_centre, id.vm,
      internal::EncodeEndpoint(id.peer_endpoint), id.incarnation, id.counter);
  return text + "." + internal::ComputeMac(text, cluster_key);
}

std::optional<SessionId> DecodeSessionId(std::string_view text,
                                         std::string_view cluster_key) {
  const auto fields = internal::Split(text, '.');
  if (fields.size() != internal::kFieldCount ||
      fields[0] != internal::kVersion) {
    return std::nullopt;
  }
  const std::string_view mac = fields[6];
  const std::string_view signed_text =
      text.substr(0, text.size() - mac.size() - 1);
  const std::string expected = internal::ComputeMac(signed_text, cluster_key);
  if (mac.size() != expected.size() ||
      CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0) {
    return std::nullopt;
  }
  const auto endpoint = internal::DecodeEndpoint(fields[3]);
  const auto incarnation = internal::ParseHex(fields[4]);
  const auto counter = internal::ParseHex(fields[5]);
  if (!endpoint || !incarnation || !counter) return std::nullopt;
  return SessionId{std::string(fields[1]), std::string(fields[2]), *endpoint,
                   *incarnation, *counter};
}

}  // namespace sequoiapath
