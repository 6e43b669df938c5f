//===- Command.h - Commands of the pollenspool tool -------------*- C++ -*-===//
//
// Each command is an entry of a table with its name, arguments, help text and
// function. docs/COMMANDS.md is checked against this table.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_TOOLS_COMMAND_H
#define POLLENSPOOL_TOOLS_COMMAND_H

#include "AdminClient.h"
#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

/// Exit codes of the tool.
enum ExitCode : int {
  ExitOk = 0,
  ExitFailed = 1,
  ExitUsage = 2,
  ExitInvalid = 3,
  ExitConflict = 4,
  ExitUnreachable = 5,
};

/// The arguments and options of a command line.
struct CommandInput {
  std::vector<std::string> m_Arguments;
  std::vector<std::string> m_Entries;
  std::string m_Token;
  std::string m_Author;
  bool m_Json = false;
};

/// An entry of the command table. m_MinArguments and m_MaxArguments count the
/// arguments after the command's name.
struct Command {
  std::string_view m_Name;
  std::string_view m_Arguments;
  std::string_view m_Help;
  std::size_t m_MinArguments = 0;
  std::size_t m_MaxArguments = 0;
  int (*m_Run)(const CommandInput &);
};

/// All commands in the order in which the help text lists them.
const std::vector<Command> &commands();

/// Reads the whole file at \p Path. Errors: InvalidArgument with the path.
Result<std::string> readTextFile(const std::string &Path);

/// Prints \p Fault to standard error and returns its exit code.
int reportError(const Error &Fault);

/// Returns the exit code for \p Reply. If it is an error, prints the error and
/// its faults to standard error.
int reportReply(const AdminResponse &Reply);

int runValidate(const CommandInput &In);
int runDiff(const CommandInput &In);
int runApply(const CommandInput &In);
int runStatus(const CommandInput &In);
int runMove(const CommandInput &In);
int runWave(const CommandInput &In);
int runExplain(const CommandInput &In);
int runQueues(const CommandInput &In);
int runJob(const CommandInput &In);

} // namespace pollenspool

#endif // POLLENSPOOL_TOOLS_COMMAND_H
