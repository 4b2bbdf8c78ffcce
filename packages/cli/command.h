// Defines the subcommands of the command-line tool and their exit codes.

#ifndef SEQUOIAPATH_CLI_COMMAND_H_
#define SEQUOIAPATH_CLI_COMMAND_H_

namespace sequoiapath {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,   // The request was answered with a failure.
  kExitUsage = 2,    // The command line or an input file is not valid.
  kExitNoReply = 3,  // No reply; the request may have taken effect.
};

// Each runs one subcommand; argv[0] is the subcommand's name.
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
