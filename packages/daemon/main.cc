// The daemon sequoiapathd, which runs on each entry VM.

#include <popt.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include "sequoiapath/platform/adapter.h"
#include "sequoiapath/state/daemon.h"
#include "sequoiapath/state/entry_daemon.h"
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
volatile std::sig_atomic_t reload_signals = 0;

void OnStopSignal(int /*signal*/) { stop_signals = stop_signals + 1; }
void OnReloadSignal(int /*signal*/) { reload_signals = reload_signals + 1; }

struct Options {
  std::string settings_file;
  bool platform = false;
  bool check_only = false;
};

// Parses the command line. If it is invalid or requests the version, prints the
// error or the version and returns the exit code instead of the options.
std::variant<Options, int> ParseOptions(int argc, const char** argv) {
  char* settings_file = nullptr;
  int check_only = 0;
  int platform = 0;
  int version = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_file, 0,
       "settings file (TOML), see docs/settings.md", "FILE"},
      {"platform", 'p', POPT_ARG_NONE, &platform, 0,
       "run on the platform, with a settings file in its format", nullptr},
      {"check", 'c', POPT_ARG_NONE, &check_only, 0,
       "validate the settings file and exit", nullptr},
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
  } else if (extra != nullptr || (settings_file == nullptr && platform == 0)) {
    std::fputs(
        "usage: sequoiapathd --settings FILE [--check]\n"
        "       sequoiapathd --platform [--settings FILE] [--check]\n",
        stderr);
    exit_code = kExitUsage;
  }
  poptFreeContext(context);
  if (exit_code) return *exit_code;
  const std::string file = settings_file == nullptr ? "" : settings_file;
  return Options{file, platform != 0, check_only != 0};
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<Settings> LoadSettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "%s: cannot read the settings file\n", path.c_str());
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

// Handles new stop signals now and then periodically on the loop's thread,
// because a signal handler must not call the daemon. `handled` is the number of
// stop signals that were already handled.
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

// Returns the path of the settings file: the value of --settings or, without
// that option, of the environment variable that the platform sets. Returns an
// empty string if both are absent.
std::string PlatformSettingsFile(const Options& options) {
  if (!options.settings_file.empty()) return options.settings_file;
  const char* named = std::getenv(platform::kSettingsVariable);
  return named == nullptr ? "" : named;
}

// Reads and validates the platform's settings file; logs the errors and returns
// nothing if it is invalid.
std::optional<EntrySettings> LoadEntrySettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    Log(LogLevel::kError, "settings_unreadable", {{"file", path}});
    return std::nullopt;
  }
  auto settings = platform::ReadSettings(*text);
  if (const auto* errors = std::get_if<std::string>(&settings)) {
    Log(LogLevel::kError, "settings_invalid",
        {{"file", path}, {"detail", *errors}});
    return std::nullopt;
  }
  return std::get<EntrySettings>(std::move(settings));
}

// The number of handled signals of each kind.
struct HandledSignals {
  int stop = 0;
  int reload = 0;
};

void PollEntrySignals(EventLoop* loop, EntryDaemon* daemon,
                      const std::string& settings_file,
                      HandledSignals handled) {
  while (handled.reload < reload_signals) {
    ++handled.reload;
    const auto settings = LoadEntrySettings(settings_file);
    if (settings) daemon->Reload(*settings);
  }
  while (handled.stop < stop_signals) {
    ++handled.stop;
    daemon->BeginStop();
  }
  loop->Schedule(kSignalPollInterval, [loop, daemon, settings_file, handled] {
    PollEntrySignals(loop, daemon, settings_file, handled);
  });
}

int RunOnPlatform(const Options& options) {
  SetLogOutput(STDOUT_FILENO);
  const std::string file = PlatformSettingsFile(options);
  auto settings = LoadEntrySettings(file);
  if (!settings) return kExitUsage;
  if (options.check_only) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  std::signal(SIGHUP, OnReloadSignal);
  EventLoop loop;
  auto built = EntryDaemonBuilder(&loop, *std::move(settings),
                                  {.callers = platform::MakeCallerCodec(),
                                   .workers = platform::MakeWorkerCodec(),
                                   .store = platform::MakeKeyValueCodec()})
                   .Build();
  if (const auto* error = std::get_if<std::string>(&built)) {
    Log(LogLevel::kError, "cannot_start", {{"detail", *error}});
    return kExitCannotStart;
  }
  const auto& daemon = std::get<std::unique_ptr<EntryDaemon>>(built);
  PollEntrySignals(&loop, daemon.get(), file, {});
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
  if (options.platform) return sequoiapath::internal::RunOnPlatform(options);
  auto settings = sequoiapath::internal::LoadSettings(options.settings_file);
  if (!settings) return sequoiapath::internal::kExitUsage;
  if (options.check_only) return 0;
  return sequoiapath::internal::Run(*std::move(settings));
}
