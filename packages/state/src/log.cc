#include "sequoiapath/state/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>

#include "sequoiapath/state/log_limiter.h"

namespace sequoiapath {
namespace internal {
namespace {

std::atomic<LogLevel> minimum_level{LogLevel::kInfo};

std::atomic<int> output_descriptor{STDERR_FILENO};

// The number of lines that could not be written since the last report.
std::atomic<std::uint64_t> dropped_lines{0};

std::mutex limiter_mutex;
LogLimiter limiter;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

std::string Quote(std::string_view value) {
  const bool plain =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f';
      });
  if (plain) return std::string(value);
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

void WriteLine(LogLevel level, std::string_view event,
               std::initializer_list<LogField> fields) {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  std::string line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  millis, LevelName(level), event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.key, Quote(field.value));
  }
  line += '\n';
  pollfd ready{output_descriptor, POLLOUT, 0};
  // If poll reports a pipe as writable, writing up to PIPE_BUF bytes does not
  // block.
  if (poll(&ready, 1, 0) != 1 ||
      write(output_descriptor, line.data(), line.size()) < 0) {
    ++dropped_lines;
  }
}

}  // namespace
}  // namespace internal

void SetLogLevel(LogLevel level) { internal::minimum_level = level; }

void SetLogOutput(int descriptor) { internal::output_descriptor = descriptor; }

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < internal::minimum_level) return;
  ReportSuppressedLines();
  {
    const std::lock_guard lock(internal::limiter_mutex);
    if (!AdmitLine(&internal::limiter, level == LogLevel::kError,
                   std::chrono::steady_clock::now())) {
      return;
    }
  }
  internal::WriteLine(level, event, fields);
}

void ReportSuppressedLines() {
  std::uint64_t suppressed = 0;
  {
    const std::lock_guard lock(internal::limiter_mutex);
    suppressed =
        TakeSuppressed(&internal::limiter, std::chrono::steady_clock::now());
  }
  suppressed += internal::dropped_lines.exchange(0);
  if (suppressed == 0) return;
  internal::WriteLine(LogLevel::kWarning, "log_lines_suppressed",
                      {{"lines", suppressed}});
}

}  // namespace sequoiapath
