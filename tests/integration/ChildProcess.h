//===- ChildProcess.h - A process that a test starts ------------*- C++ -*-===//

#ifndef POLLENSPOOL_TESTS_INTEGRATION_CHILDPROCESS_H
#define POLLENSPOOL_TESTS_INTEGRATION_CHILDPROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace pollenspool::testing {

/// A child process that writes its output to a file. The destructor kills it
/// and waits for its end. Not thread safe.
class ChildProcess {
public:
  ChildProcess() = default;
  ChildProcess(std::vector<std::string> Command, std::string OutputFile);
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ~ChildProcess();

  void signal(int Number) const;
  /// Waits for the end of the process. Returns its exit code, or 128 plus the
  /// number of the signal that ended it.
  int wait();
  bool isRunning();
  /// Returns everything that the process has printed so far.
  std::string output() const;

private:
  void killAndReap();

  pid_t m_Id = 0;
  std::string m_OutputFile;
};

} // namespace pollenspool::testing

#endif // POLLENSPOOL_TESTS_INTEGRATION_CHILDPROCESS_H
