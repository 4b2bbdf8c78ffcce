// The command-line tool for callers and operators.

#include <csignal>
#include <cstdio>
#include <string_view>

#include "command.h"

namespace sequoiapath {
namespace internal {
namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, const char** argv);
};

constexpr Command kCommands[] = {
    {"session", "open a session and print its id", RunSession},
    {"submit", "submit a job and print its answer", RunSubmit},
    {"cancel", "cancel a running job", RunCancel},
    {"check", "validate a configuration file", RunCheck},
    {"plan", "show what a configuration file would change", RunPlan},
    {"apply", "apply a configuration file", RunApply},
    {"history", "print the audit trail of configuration changes", RunHistory},
    {"revert-to", "apply the document of an earlier generation again",
     RunRevertTo},
    {"status", "print the state of daemons", RunStatus},
    {"late", "print late and failed requests", RunLate},
    {"load", "generate load and print statistics of the answers", RunLoad},
};

void PrintUsage(std::FILE* stream) {
  std::fputs("usage: sequoiapath COMMAND [OPTION...]\n\ncommands:\n", stream);
  for (const Command& command : kCommands) {
    std::fprintf(stream, "  %-12s %s\n", command.name.data(),
                 command.summary.data());
  }
  std::fputs("\nsequoiapath COMMAND --help lists a command's options.\n",
             stream);
}

}  // namespace
}  // namespace internal
}  // namespace sequoiapath

int main(int argc, const char** argv) {
  using sequoiapath::internal::kCommands;
  std::signal(SIGPIPE, SIG_IGN);
  const std::string_view name = argc < 2 ? "" : argv[1];
  if (name == "--help" || name == "-h") {
    sequoiapath::internal::PrintUsage(stdout);
    return sequoiapath::kExitOk;
  }
  for (const auto& command : kCommands) {
    if (command.name == name) return command.run(argc - 1, argv + 1);
  }
  sequoiapath::internal::PrintUsage(stderr);
  return sequoiapath::kExitUsage;
}
