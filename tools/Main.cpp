//===- Main.cpp - Entry point of the pollenspool tool ---------------------===//

#include "Command.h"
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace pollenspool;

namespace pollenspool {

const std::vector<Command> &commands() {
  static const std::vector<Command> Table = {
      {"validate", "FILE", "check a configuration document", 1, 1, runValidate},
      {"diff", "FILE", "show what applying a document would change", 1, 1,
       runDiff},
      {"apply", "FILE",
       "put a document into effect on all instances, or on none", 1, 1,
       runApply},
      {"status", "", "show pools, instances and what each waits for", 0, 0,
       runStatus},
      {"move", "INSTANCE|COUNT FROM TO | cancel INSTANCE",
       "move instances between pools", 2, 3, runMove},
      {"wave", "start SET [NAME] [BATCH] | status | pause|resume|cancel ID",
       "run maintenance waves over a pool, rack, data_centre or all instances",
       1, 4, runWave},
      {"queues", "",
       "show queues of jobs, pools, waves and which instance leads", 0, 0,
       runQueues},
      {"job", "ID", "show a job and why it waits", 1, 1, runJob},
      {"explain", "INSTANCE", "show what an instance waits for", 1, 1,
       runExplain},
  };
  return Table;
}

} // namespace pollenspool

namespace {

std::string commandHelp() {
  std::string Text = "command and its arguments:\n";
  for (const Command &C : commands())
    Text += "  " + std::string(C.m_Name) + " " + std::string(C.m_Arguments) +
            "  " + std::string(C.m_Help) + "\n";
  return Text;
}

const Command *findCommand(const std::string &Name) {
  for (const Command &C : commands())
    if (C.m_Name == Name)
      return &C;
  return nullptr;
}

std::string fromEnvironment(const char *Variable, const char *Default) {
  const char *Value = std::getenv(Variable);
  return Value ? Value : Default;
}

int reportUsageError(const std::string &Text) {
  std::cerr << "pollenspool: " << Text << "; see --help\n";
  return ExitUsage;
}

/// Runs the command named by the first of \p Words; the others are its
/// arguments. Returns the exit code.
int runCommand(std::vector<std::string> Words, CommandInput In) {
  if (Words.empty())
    return reportUsageError("no command given");
  const Command *Found = findCommand(Words.front());
  if (!Found)
    return reportUsageError("unknown command \"" + Words.front() + "\"");
  Words.erase(Words.begin());
  if (Words.size() < Found->m_MinArguments ||
      Words.size() > Found->m_MaxArguments)
    return reportUsageError("usage: pollenspool " + std::string(Found->m_Name) +
                            " " + std::string(Found->m_Arguments));
  In.m_Arguments = std::move(Words);
  return Found->m_Run(In);
}

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("pollenspool: the operators' tool", ' ', "0.1.0");
  Line.setExceptionHandling(false);
  TCLAP::MultiArg<std::string> Entries(
      "e", "entry",
      "operators' address of an entry instance; repeatable: the first that "
      "can be reached is used",
      false, "IP:PORT", Line);
  TCLAP::ValueArg<std::string> Token(
      "t", "token", "operators' token; default $POLLENSPOOL_TOKEN", false,
      fromEnvironment("POLLENSPOOL_TOKEN", ""), "TEXT", Line);
  TCLAP::ValueArg<std::string> Author(
      "a", "author", "author recorded with the change; default $USER", false,
      fromEnvironment("USER", "operator"), "NAME", Line);
  TCLAP::SwitchArg AsJson("j", "json", "print JSON", Line);
  TCLAP::UnlabeledMultiArg<std::string> Words("command", commandHelp(), false,
                                              "COMMAND", Line);
  try {
    Line.parse(Argc, Argv);
  } catch (TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? ExitOk : ExitUsage;
  } catch (TCLAP::ArgException &Bad) {
    return reportUsageError(Bad.error() + " " + Bad.argId());
  }
  CommandInput In;
  In.m_Entries = Entries.getValue();
  In.m_Token = Token.getValue();
  In.m_Author = Author.getValue();
  In.m_Json = AsJson.getValue();
  return runCommand(Words.getValue(), std::move(In));
}
