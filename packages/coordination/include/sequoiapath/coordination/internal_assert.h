// Defines SEQUOIAPATH_ASSERT, the check of the program's own invariants. It is
// compiled into every build; errors of users or peers are never reported by it.

#ifndef SEQUOIAPATH_COORDINATION_INTERNAL_ASSERT_H_
#define SEQUOIAPATH_COORDINATION_INTERNAL_ASSERT_H_

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace sequoiapath::internal {

// Prints the failed condition with its place and details, and aborts.
[[noreturn]] inline void FailAssert(const char* file, int line,
                                    const char* condition,
                                    const std::string& details) {
  fmt::print(stderr, "{}:{}: internal error: {} is false: {}\n", file, line,
             condition, details);
  std::abort();
}

}  // namespace sequoiapath::internal

// Aborts with a message formatted from the further arguments if `condition` is
// false. The message is formatted only then.
#define SEQUOIAPATH_ASSERT(condition, ...)                                \
  do {                                                                    \
    if (!(condition)) {                                                   \
      ::sequoiapath::internal::FailAssert(__FILE__, __LINE__, #condition, \
                                          fmt::format(__VA_ARGS__));      \
    }                                                                     \
  } while (false)

#endif  // SEQUOIAPATH_COORDINATION_INTERNAL_ASSERT_H_
