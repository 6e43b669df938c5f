//===- Main.cpp - Entry point of pollenspoold -----------------------------===//

#include "base/Log.h"
#include "daemon/Daemon.h"
#include <csignal>
#include <fstream>
#include <iostream>
#include <pthread.h>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace pollenspool;

namespace {

constexpr int ExitInvalid = 2;
constexpr int ExitUnavailable = 4;

/// Blocks SIGTERM and SIGINT, which serve() receives with sigwait(), so that no
/// signal handler runs.
sigset_t blockStopSignals() {
  sigset_t Stop;
  sigemptyset(&Stop);
  sigaddset(&Stop, SIGTERM);
  sigaddset(&Stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Stop;
}

Severity severityOf(const std::string &Name) {
  for (Severity Level : {Severity::Debug, Severity::Info, Severity::Warning})
    if (severityName(Level) == Name)
      return Level;
  return Severity::Error;
}

bool readFile(const std::string &Path, std::string &Text) {
  std::ifstream File(Path);
  std::ostringstream All;
  All << File.rdbuf();
  Text = All.str();
  return static_cast<bool>(File);
}

int serve(const Settings &S) {
  sigset_t Stop = blockStopSignals();
  auto Created = Daemon::create(S);
  if (!Created) {
    logEvent(Event::ListenFailed, {{"error", Created.error().describe()}});
    return ExitUnavailable;
  }
  Created.value()->start();
  std::cout << "pollenspoold listening on " << S.m_Listen.m_Callers
            << " (callers), " << S.m_Listen.m_Peers << " (peers), "
            << S.m_Listen.m_Admin << " (operators)" << std::endl;
  logEvent(Event::DaemonStarted, {{"callers", S.m_Listen.m_Callers},
                                  {"peers", S.m_Listen.m_Peers},
                                  {"admin", S.m_Listen.m_Admin}});
  int Signal = 0;
  sigwait(&Stop, &Signal);
  logEvent(Event::DaemonStopping);
  Created.value()->drainAndStop();
  logEvent(Event::DaemonStopped);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Command("pollenspoold: one entry instance. Serves callers, "
                         "keeps pools and runs maintenance waves.",
                         ' ', "0.1.0");
  TCLAP::ValueArg<std::string> Config("c", "config", "settings file (YAML)",
                                      true, "", "FILE", Command);
  TCLAP::SwitchArg CheckOnly("", "check", "check the settings and exit",
                             Command);
  Command.parse(Argc, Argv);
  std::string Text;
  if (!readFile(Config.getValue(), Text)) {
    std::cerr << Config.getValue() << ":1: .: cannot be read\n";
    return ExitInvalid;
  }
  Checked<Settings> S = parseSettings(Config.getValue(), Text);
  if (!S.isValid()) {
    std::cerr << describeFaults(S.m_Faults);
    return ExitInvalid;
  }
  if (CheckOnly.getValue())
    return 0;
  setUpLog(severityOf(S.m_Value.m_LogLevel), S.m_Value.m_Name);
  return serve(S.m_Value);
}
