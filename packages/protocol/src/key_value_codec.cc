#include "sequoiapath/protocol/key_value_codec.h"

namespace sequoiapath {

const char* ToString(KeyValueFailure failure) {
  switch (failure) {
    case KeyValueFailure::kUnavailable:
      return "unavailable";
    case KeyValueFailure::kRevisionCompacted:
      return "history_gone";
    case KeyValueFailure::kNotFound:
      return "not_found";
    case KeyValueFailure::kConflict:
      return "conflict";
    case KeyValueFailure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace sequoiapath
