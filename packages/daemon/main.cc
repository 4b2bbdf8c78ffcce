// The daemon of one entry VM.

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include "sequoiapath/state/daemon.h"
#include "sequoiapath/state/log.h"
#include "sequoiapath/state/settings.h"
#include "sequoiapath/transport/event_loop.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitCannotStart = 3;
constexpr auto kSignalPollInterval = std::chrono::milliseconds(50);

volatile std::sig_atomic_t stop_signals = 0;

void OnStopSignal(int /*signal*/) { stop_signals = stop_signals + 1; }

struct Options {
  std::string settings_file;
  bool check_only = false;
};

// Parses the command line; on an error or after --help returns the exit code.
std::variant<Options, int> ParseOptions(int argc, const char** argv) {
  char* settings_file = nullptr;
  int check_only = 0;
  int version = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_file, 0,
       "settings file (TOML), see docs/settings.md", "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check_only, 0,
       "check the settings file and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("sequoiapathd", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  const char* extra = poptGetArg(context);
  const std::unique_ptr<char, decltype(&std::free)> owned(settings_file,
                                                          &std::free);
  std::optional<int> exit_code;
  if (result < -1) {
    std::fprintf(stderr, "sequoiapathd: %s: %s\n",
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(result));
    exit_code = kExitUsage;
  } else if (version != 0) {
    std::puts("sequoiapathd 0.1.0");
    exit_code = 0;
  } else if (extra != nullptr || settings_file == nullptr) {
    std::fputs("usage: sequoiapathd --settings FILE [--check]\n", stderr);
    exit_code = kExitUsage;
  }
  poptFreeContext(context);
  if (exit_code) return *exit_code;
  return Options{settings_file, check_only != 0};
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<Settings> LoadSettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "%s: cannot read the file\n", path.c_str());
    return std::nullopt;
  }
  auto parsed = ParseSettings(*text);
  if (const auto* errors = std::get_if<SettingsErrors>(&parsed)) {
    for (const SettingsError& error : *errors) {
      std::fprintf(stderr, "%s:%d: %s: %s\n", path.c_str(), error.line,
                   error.key.c_str(), error.message.c_str());
    }
    return std::nullopt;
  }
  return std::get<Settings>(std::move(parsed));
}

// Passes stop signals on to the daemon from the loop's thread.
void PollSignals(EventLoop* loop, Daemon* daemon, int handled) {
  while (handled < stop_signals) {
    ++handled;
    daemon->BeginStop();
  }
  loop->Schedule(kSignalPollInterval, [loop, daemon, handled] {
    PollSignals(loop, daemon, handled);
  });
}

int Run(Settings settings) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  SetLogLevel(settings.log_level);
  EventLoop loop;
  auto built = DaemonBuilder(&loop, std::move(settings)).Build();
  if (const auto* error = std::get_if<std::string>(&built)) {
    Log(LogLevel::kError, "cannot_start", {{"detail", *error}});
    return kExitCannotStart;
  }
  const auto& daemon = std::get<std::unique_ptr<Daemon>>(built);
  PollSignals(&loop, daemon.get(), 0);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  using sequoiapath::internal::Options;
  const auto parsed = sequoiapath::internal::ParseOptions(argc, argv);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  const auto& options = std::get<Options>(parsed);
  auto settings = sequoiapath::internal::LoadSettings(options.settings_file);
  if (!settings) return sequoiapath::internal::kExitUsage;
  if (options.check_only) return 0;
  return sequoiapath::internal::Run(*std::move(settings));
}
