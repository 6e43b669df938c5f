//===- Main.cpp - Entry point of pollenspoold -----------------------------===//

#include "base/Log.h"

int main() {
  pollenspool::setUpLog(pollenspool::Severity::Info, "pollenspoold");
  return 0;
}
