// Defines the structured log: one line per event on standard output or error.

#ifndef SEQUOIAPATH_STATE_LOG_H_
#define SEQUOIAPATH_STATE_LOG_H_

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace sequoiapath {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key and its value. Values are quoted when they need it.
struct LogField {
  template <typename T>
  LogField(std::string_view key, const T& value)
      : key(key), value(fmt::format("{}", value)) {}

  std::string_view key;
  std::string value;
};

// Sets the lowest level that is written. Call it before other threads start.
void SetLogLevel(LogLevel level);

// Sends the log to a file descriptor instead of standard error. Call it before
// other threads start.
void SetLogOutput(int descriptor);

// Writes one line "time level event key=value ..." in a single write, so that
// lines of several processes do not mix. The rate is bounded: lines beyond it
// are counted and reported in one line. A line that the output does not take at
// once is dropped and counted, so that a reader that stalls never blocks the
// process. Thread-safe.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

// Reports suppressed lines, if any, in one line. Log does so too; a timer has
// to call this where no further line may follow. Thread-safe.
void ReportSuppressedLines();

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_LOG_H_
