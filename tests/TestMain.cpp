//===- TestMain.cpp - Entry point of the test programs
//---------------------===//
//
// Runs the CppUTest tests that are linked in; pass -v, -g GROUP or -n NAME.
//
//===----------------------------------------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int Argc, char **Argv) {
  // The leak detector is not thread safe; the sanitizer builds look for leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
