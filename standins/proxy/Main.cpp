//===- Main.cpp - Entry point of standin-proxy ----------------------------===//

#include "proxy/FaultServer.h"
#include <tclap/CmdLine.h>

namespace {

using namespace standin;

/// Creates the route that \p Text, "LISTEN=TARGET", describes.
Expected<std::unique_ptr<Route>> createRoute(EventLoop &Loop,
                                             const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    return Failure{"route '" + Text + "': not LISTEN=TARGET"};
  BOOST_OUTCOME_TRY(Listen, Address::parse(Text.substr(0, Equals)));
  BOOST_OUTCOME_TRY(Target, Address::parse(Text.substr(Equals + 1)));
  return Route::create(Loop, Listen, Target);
}

int runProxy(const std::string &Control,
             const std::vector<std::string> &RouteTexts) {
  Expected<std::unique_ptr<EventLoop>> Loop = EventLoop::create();
  if (!Loop)
    return reportStartupFailure(Loop.error());
  if (const Expected<void> Ready = Loop.value()->stopOnSignals(); !Ready)
    return reportStartupFailure(Ready.error());
  FaultServer::Routes Routes;
  for (const std::string &Text : RouteTexts) {
    Expected<std::unique_ptr<Route>> Created = createRoute(*Loop.value(), Text);
    if (!Created)
      return reportStartupFailure(Created.error());
    Routes.push_back(std::move(Created.value()));
  }
  const Expected<Address> ListenAddress = Address::parse(Control);
  if (!ListenAddress)
    return reportStartupFailure(ListenAddress.error());
  Expected<std::unique_ptr<FaultServer>> Server =
      FaultServer::create(*Loop.value(), ListenAddress.value(), Routes);
  if (!Server)
    return reportStartupFailure(Server.error());
  announce("control", Server.value()->address());
  for (std::size_t I = 0; I < Routes.size(); ++I)
    announce("route-" + std::to_string(I), Routes[I]->address());
  Loop.value()->run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  TCLAP::CmdLine Command(
      "A TCP proxy that delays, drops, resets and freezes connections "
      "(docs/PROXY.md)");
  TCLAP::ValueArg<std::string> Control("", "control",
                                       "Address of the control port", false,
                                       "127.0.0.1:0", "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Listen(
      "", "listen", "Address to listen on for the route to --target", false,
      "127.0.0.1:0", "IP:PORT", Command);
  TCLAP::ValueArg<std::string> Target("", "target",
                                      "Target of the route at --listen", false,
                                      "", "IP:PORT", Command);
  TCLAP::MultiArg<std::string> Route("", "route",
                                     "A route to add; may be repeated", false,
                                     "LISTEN=TARGET", Command);
  Command.parse(Argc, Argv);
  std::vector<std::string> Routes = Route.getValue();
  if (Target.isSet())
    Routes.insert(Routes.begin(), Listen.getValue() + "=" + Target.getValue());
  if (Routes.empty())
    return standin::reportStartupFailure(
        {"no route: give --target or --route"});
  return runProxy(Control.getValue(), Routes);
}
