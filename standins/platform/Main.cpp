//===- Main.cpp - Entry point of standin-platform -------------------------===//

#include "platform/PlatformServer.h"
#include <tclap/CmdLine.h>

namespace {

int runPlatform(const std::string &Listen, const std::string &InstanceFile) {
  using namespace standin;
  Expected<std::unique_ptr<EventLoop>> Loop = EventLoop::create();
  if (!Loop)
    return reportStartupFailure(Loop.error());
  if (const Expected<void> Ready = Loop.value()->stopOnSignals(); !Ready)
    return reportStartupFailure(Ready.error());
  const Expected<Address> ListenAddress = Address::parse(Listen);
  if (!ListenAddress)
    return reportStartupFailure(ListenAddress.error());
  Expected<std::unique_ptr<PlatformServer>> Server =
      PlatformServer::create(*Loop.value(), ListenAddress.value());
  if (!Server)
    return reportStartupFailure(Server.error());
  if (!InstanceFile.empty()) {
    const Expected<Json> List = readJsonFile(InstanceFile);
    if (!List)
      return reportStartupFailure(List.error());
    const Expected<void> Added = Server.value()->addInstances(List.value());
    if (!Added)
      return reportStartupFailure(Added.error());
  }
  announce("platform", Server.value()->address());
  Loop.value()->run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Command("Simulates the platform: table, objects, "
                         "instances and reboots (docs/PLATFORM.md)");
  TCLAP::ValueArg<std::string> Listen("", "listen", "Address to listen on",
                                      false, "127.0.0.1:0", "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Instances("", "instances",
                                         "Instances to add at the start", false,
                                         "", "FILE.json", Command);
  Command.parse(Argc, Argv);
  return runPlatform(Listen.getValue(), Instances.getValue());
}
