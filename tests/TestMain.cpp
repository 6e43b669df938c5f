//===- TestMain.cpp - Main function of the test programs ------------------===//
//
// Runs the linked CppUTest tests. Takes CppUTest's options, such as -v,
// -g GROUP and -n NAME.
//
//===----------------------------------------------------------------------===//

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int Argc, char **Argv) {
  // CppUTest's leak detector is not thread safe; the sanitizer builds detect
  // leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
