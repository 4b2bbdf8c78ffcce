// Defines the subcommands of the command-line tool and their exit codes.

#ifndef SEQUOIAPATH_CLI_COMMAND_H_
#define SEQUOIAPATH_CLI_COMMAND_H_

namespace sequoiapath {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,   // The reply reports a failure.
  kExitUsage = 2,    // The command line or an input file is invalid.
  kExitNoReply = 3,  // No reply arrived; the request may have taken effect.
};

// Each function runs one subcommand and returns its exit code; argv[0] is the
// name of the subcommand.
int RunSession(int argc, const char** argv);
int RunCancel(int argc, const char** argv);
int RunSubmit(int argc, const char** argv);
int RunCheck(int argc, const char** argv);
int RunPlan(int argc, const char** argv);
int RunApply(int argc, const char** argv);
int RunStatus(int argc, const char** argv);
int RunLate(int argc, const char** argv);
int RunLoad(int argc, const char** argv);
int RunHistory(int argc, const char** argv);
int RunRevertTo(int argc, const char** argv);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_CLI_COMMAND_H_
