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
      {"apply", "FILE", "put a document in force everywhere, or not at all", 1,
       1, runApply},
      {"status", "", "show pools, instances and what waits for what", 0, 0,
       runStatus},
      {"move", "INSTANCE|COUNT FROM TO | cancel INSTANCE",
       "move instances between pools", 2, 3, runMove},
      {"wave", "start SET [NAME] [BATCH] | status | pause|resume|cancel ID",
       "run maintenance waves over a pool, rack, data_centre or all", 1, 4,
       runWave},
      {"queues", "", "show queues of jobs, pools, waves and who leads", 0, 0,
       runQueues},
      {"job", "ID", "show a job and why it waits", 1, 1, runJob},
      {"explain", "INSTANCE", "say what an instance waits for", 1, 1,
       runExplain},
  };
  return Table;
}

} // namespace pollenspool

namespace {

std::string commandList() {
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

int usageError(const std::string &Text) {
  std::cerr << "pollenspool: " << Text << "; see --help\n";
  return ExitUsage;
}

/// Runs the command that \p Words name.
int runCommand(std::vector<std::string> Words, CommandInput In) {
  if (Words.empty())
    return usageError("no command given");
  const Command *Chosen = findCommand(Words.front());
  if (!Chosen)
    return usageError("unknown command \"" + Words.front() + "\"");
  Words.erase(Words.begin());
  if (Words.size() < Chosen->m_MinArguments ||
      Words.size() > Chosen->m_MaxArguments)
    return usageError("usage: pollenspool " + std::string(Chosen->m_Name) +
                      " " + std::string(Chosen->m_Arguments));
  In.m_Arguments = std::move(Words);
  return Chosen->m_Run(In);
}

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Line("pollenspool: the operators' tool", ' ', "0.1.0");
  Line.setExceptionHandling(false);
  TCLAP::MultiArg<std::string> Entries(
      "e", "entry",
      "operators' address of an entry instance; repeatable, the "
      "first that answers is used",
      false, "IP:PORT", Line);
  TCLAP::ValueArg<std::string> Token(
      "t", "token", "operators' token; default $POLLENSPOOL_TOKEN", false,
      fromEnvironment("POLLENSPOOL_TOKEN", ""), "TEXT", Line);
  TCLAP::ValueArg<std::string> Author(
      "a", "author", "who makes the change; default $USER", false,
      fromEnvironment("USER", "operator"), "NAME", Line);
  TCLAP::SwitchArg AsJson("j", "json", "print JSON", Line);
  TCLAP::UnlabeledMultiArg<std::string> Words("command", commandList(), false,
                                              "COMMAND", Line);
  try {
    Line.parse(Argc, Argv);
  } catch (TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? ExitOk : ExitUsage;
  } catch (TCLAP::ArgException &Bad) {
    return usageError(Bad.error() + " " + Bad.argId());
  }
  CommandInput In;
  In.m_Entries = Entries.getValue();
  In.m_Token = Token.getValue();
  In.m_Author = Author.getValue();
  In.m_Json = AsJson.getValue();
  return runCommand(Words.getValue(), std::move(In));
}
