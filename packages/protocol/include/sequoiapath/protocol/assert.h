// Defines SEQUOIAPATH_ASSERT, the check for states that only a fault in this
// program can produce. It is compiled in every build.

#ifndef SEQUOIAPATH_PROTOCOL_ASSERT_H_
#define SEQUOIAPATH_PROTOCOL_ASSERT_H_

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

// Prints the place, the condition and a formatted message to standard error and
// aborts if `condition` is false. Thread-safe.
#define SEQUOIAPATH_ASSERT(condition, ...)                            \
  do {                                                                \
    if (!(condition)) {                                               \
      fmt::print(stderr, "{}:{}: internal error: {}: {}\n", __FILE__, \
                 __LINE__, #condition, fmt::format(__VA_ARGS__));     \
      std::abort();                                                   \
    }                                                                 \
  } while (false)

#endif  // SEQUOIAPATH_PROTOCOL_ASSERT_H_
