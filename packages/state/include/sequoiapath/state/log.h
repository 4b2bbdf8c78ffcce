// Defines the structured log, which writes one line per event to a file
// descriptor.

#ifndef SEQUOIAPATH_STATE_LOG_H_
#define SEQUOIAPATH_STATE_LOG_H_

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace sequoiapath {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key and its value. Empty values and values with white space, control
// characters, '"', '=' or a backslash are quoted.
struct LogField {
  template <typename T>
  LogField(std::string_view key, const T& value)
      : key(key), value(fmt::format("{}", value)) {}

  std::string_view key;
  std::string value;
};

// Sets the minimum level of the lines that are written. Must be called before
// other threads start.
void SetLogLevel(LogLevel level);

// Sets the file descriptor of the log, which is standard error by default. Must
// be called before other threads start.
void SetLogOutput(int descriptor);

// Writes one line "time level event key=value ..." in a single write call, so
// that lines of several processes are not interleaved. The rate of lines is
// limited: lines above the limit are suppressed, counted and reported in one
// line. A line that cannot be written without blocking is dropped and counted
// in the same way, so that a slow reader of the log does not block the process.
// Thread-safe.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

// Writes one line with the number of suppressed lines, if there are any. Log
// calls this function; a timer must call it as well, because a process may log
// no further line after the suppressed ones. Thread-safe.
void ReportSuppressedLines();

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_LOG_H_
