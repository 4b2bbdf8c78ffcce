#include "sequoiapath/protocol/json_nesting.h"

#include <cstddef>

namespace sequoiapath {

bool IsNestedDeeperThan(int max_depth, std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > max_depth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace sequoiapath
