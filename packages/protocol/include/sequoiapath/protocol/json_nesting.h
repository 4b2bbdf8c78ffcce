// Defines IsNestedDeeperThan, which is to be called before text from an
// untrusted sender is parsed as JSON.

#ifndef SEQUOIAPATH_PROTOCOL_JSON_NESTING_H_
#define SEQUOIAPATH_PROTOCOL_JSON_NESTING_H_

#include <string_view>

namespace sequoiapath {

// Returns whether arrays and objects in `text` are nested more than `max_depth`
// deep. Brackets in strings do not count. Copying and writing a parsed value
// recurse once per level, so deep nesting would overflow the stack. `text` need
// not be valid JSON. Thread-safe.
bool IsNestedDeeperThan(int max_depth, std::string_view text);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_PROTOCOL_JSON_NESTING_H_
