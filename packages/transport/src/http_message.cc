#include "sequoiapath/transport/http_message.h"

namespace sequoiapath {

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) return header.value;
  }
  return std::nullopt;
}

}  // namespace sequoiapath
