// Defines SEQUOIAPATH_ASSERT, which checks for states that only a defect in
// this program can cause. It is active in every build type.

#ifndef SEQUOIAPATH_PROTOCOL_ASSERT_H_
#define SEQUOIAPATH_PROTOCOL_ASSERT_H_

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

// If `condition` is false, prints the source file and line, the condition and
// the formatted message to standard error and aborts. Thread-safe.
#define SEQUOIAPATH_ASSERT(condition, ...)                            \
  do {                                                                \
    if (!(condition)) {                                               \
      fmt::print(stderr, "{}:{}: internal error: {}: {}\n", __FILE__, \
                 __LINE__, #condition, fmt::format(__VA_ARGS__));     \
      std::abort();                                                   \
    }                                                                 \
  } while (false)

#endif  // SEQUOIAPATH_PROTOCOL_ASSERT_H_
