//===- ChildProcess.cpp - A process that a test starts --------------------===//

#include "integration/ChildProcess.h"
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace pollenspool::testing {

namespace {

constexpr int OutputMode = 0644;
constexpr int SignalExitBase = 128;

int exitCodeOf(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status)
                           : SignalExitBase + WTERMSIG(Status);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> Command,
                           std::string OutputFile)
    : m_OutputFile(std::move(OutputFile)) {
  std::vector<char *> Arguments;
  for (std::string &Word : Command)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, m_OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, OutputMode);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&m_Id, Arguments[0], &Files, nullptr, Arguments.data(),
                  environ) != 0)
    m_Id = 0;
  posix_spawn_file_actions_destroy(&Files);
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : m_Id(std::exchange(Other.m_Id, 0)),
      m_OutputFile(std::move(Other.m_OutputFile)) {}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  killAndReap();
  m_Id = std::exchange(Other.m_Id, 0);
  m_OutputFile = std::move(Other.m_OutputFile);
  return *this;
}

ChildProcess::~ChildProcess() { killAndReap(); }

void ChildProcess::killAndReap() {
  if (m_Id == 0)
    return;
  kill(m_Id, SIGKILL);
  wait();
}

void ChildProcess::signal(int Number) const {
  if (m_Id != 0)
    kill(m_Id, Number);
}

int ChildProcess::wait() {
  int Status = 0;
  waitpid(std::exchange(m_Id, 0), &Status, 0);
  return exitCodeOf(Status);
}

bool ChildProcess::isRunning() {
  siginfo_t Info{};
  return m_Id != 0 &&
         waitid(P_PID, static_cast<id_t>(m_Id), &Info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         Info.si_pid == 0;
}

std::string ChildProcess::output() const {
  std::ifstream File(m_OutputFile);
  std::ostringstream All;
  All << File.rdbuf();
  return All.str();
}

} // namespace pollenspool::testing
