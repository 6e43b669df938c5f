//===- Command.h - Commands of the pollenspool tool -------------*- C++ -*-===//
//
// Each command is a row of a table: name, arguments, help and a function. The
// manual page in docs/COMMANDS.md is checked against this table.
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

/// What a command is called with.
struct CommandInput {
  std::vector<std::string> m_Arguments;
  std::vector<std::string> m_Entries;
  std::string m_Token;
  std::string m_Author;
  bool m_Json = false;
};

struct Command {
  std::string_view m_Name;
  std::string_view m_Arguments;
  std::string_view m_Help;
  std::size_t m_MinArguments = 0;
  std::size_t m_MaxArguments = 0;
  int (*m_Run)(const CommandInput &);
};

/// All commands in the order of the help text.
const std::vector<Command> &commands();

/// Reads a file whole; an error names the file.
Result<std::string> readTextFile(const std::string &Path);

/// Prints \p Fault on standard error and gives the exit code for it.
int reportError(const Error &Fault);

/// Prints the reply's error, if it is one, and gives the exit code for it.
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
