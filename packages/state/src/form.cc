#include "form.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sequoiapath {
namespace internal {
namespace {

// Decodes '+' and percent escapes. Malformed escapes are copied unchanged.
std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded += ' ';
      continue;
    }
    unsigned int byte = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace
}  // namespace internal

Form ParseForm(std::string_view text) {
  Form form;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('&'), text.size());
    const std::string_view pair = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    form.emplace(
        internal::Decode(pair.substr(0, equals)),
        internal::Decode(pair.substr(std::min(equals + 1, pair.size()))));
  }
  return form;
}

std::string_view FieldOf(const Form& form, std::string_view name) {
  const auto it = form.find(name);
  return it == form.end() ? std::string_view() : it->second;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

}  // namespace sequoiapath
