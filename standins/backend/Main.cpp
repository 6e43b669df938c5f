//===- Main.cpp - Entry point of standin-backend --------------------------===//

#include "backend/ControlServer.h"
#include "common/HttpConnection.h"
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace standin;

constexpr Milliseconds RegisterTimeout{2000};
constexpr Milliseconds RegisterRetryDelay{100};

struct BackendOptions {
  std::string m_Control;
  std::size_t m_Instances = 1;
  std::string m_IdPrefix;
  std::string m_DataCentre;
  std::size_t m_RackSize = 4;
  std::uint16_t m_BasePort = 0;
  std::string m_Ip;
  std::string m_Register;
  BackendSettings m_Template;
};

Expected<ControlServer::Instances>
createInstances(EventLoop &Loop, RunLog &Log, const BackendOptions &Options) {
  ControlServer::Instances Created;
  for (std::size_t I = 0; I < Options.m_Instances; ++I) {
    BackendSettings Settings = Options.m_Template;
    Settings.m_Id = Options.m_IdPrefix + std::to_string(I + 1);
    Settings.m_Seed += I;
    Settings.m_Listen.m_Ip = Options.m_Ip;
    if (Options.m_BasePort != 0)
      Settings.m_Listen.m_Port =
          static_cast<std::uint16_t>(Options.m_BasePort + I);
    BOOST_OUTCOME_TRY(Instance,
                      BackendInstance::create(Loop, Log, std::move(Settings)));
    Created.push_back(std::move(Instance));
  }
  return Created;
}

std::string registration(const ControlServer::Instances &Instances,
                         const BackendOptions &Options,
                         const Address &Control) {
  Json List = Json::array();
  for (std::size_t I = 0; I < Instances.size(); ++I) {
    const std::size_t Rack = I / Options.m_RackSize + 1;
    List.push_back(
        {{"id", Instances[I]->id()},
         {"kind", "backend"},
         {"data_centre", Options.m_DataCentre},
         {"rack", Options.m_DataCentre + "-rack" + std::to_string(Rack)},
         {"address", Instances[I]->address().text()},
         {"state", "live"},
         {"epoch", 1},
         {"control", Control.text()}});
  }
  return Json{{"instances", List}}.dump();
}

/// Registers the instances with the platform; repeats the request until the
/// platform has confirmed it with status 200.
void registerAt(EventLoop &Loop, const Address &Platform,
                const std::string &Body) {
  HttpMessage Request;
  Request.m_Method = "POST";
  Request.m_Target = "/instances";
  Request.m_Body = Body;
  callOnce(Loop, Platform, std::move(Request), RegisterTimeout,
           [&Loop, Platform, Body](const HttpResult &Result) {
             if (Result.m_Kind == HttpResult::Kind::Reply &&
                 Result.m_Reply.m_Status == 200) {
               std::cout << "registered at " << Platform.text() << std::endl;
               return;
             }
             Loop.after(RegisterRetryDelay, [&Loop, Platform, Body] {
               registerAt(Loop, Platform, Body);
             });
           });
}

int runBackend(const BackendOptions &Options) {
  Expected<std::unique_ptr<EventLoop>> Loop = EventLoop::create();
  if (!Loop)
    return reportStartupFailure(Loop.error());
  if (const Expected<void> Ready = Loop.value()->stopOnSignals(); !Ready)
    return reportStartupFailure(Ready.error());
  const Expected<Address> ListenAddress = Address::parse(Options.m_Control);
  if (!ListenAddress)
    return reportStartupFailure(ListenAddress.error());
  RunLog Log;
  Expected<ControlServer::Instances> Instances =
      createInstances(*Loop.value(), Log, Options);
  if (!Instances)
    return reportStartupFailure(Instances.error());
  Expected<std::unique_ptr<ControlServer>> Control = ControlServer::create(
      *Loop.value(), ListenAddress.value(), Instances.value(), Log);
  if (!Control)
    return reportStartupFailure(Control.error());
  announce("control", Control.value()->address());
  for (const std::unique_ptr<BackendInstance> &Instance : Instances.value())
    announce(Instance->id(), Instance->address());
  if (!Options.m_Register.empty()) {
    const Expected<Address> Platform = Address::parse(Options.m_Register);
    if (!Platform)
      return reportStartupFailure(Platform.error());
    registerAt(
        *Loop.value(), Platform.value(),
        registration(Instances.value(), Options, Control.value()->address()));
  }
  Loop.value()->run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  using TCLAP::ValueArg;
  TCLAP::CmdLine Command(
      "Simulates backend servers: slots, connection "
      "caps, injected faults and a log of runs (docs/BACKENDS.md)");
  ValueArg<std::string> Control("", "control", "Address of the control port",
                                false, "127.0.0.1:0", "IP:PORT", Command);
  ValueArg<std::size_t> Instances("", "instances", "Number of instances", false,
                                  1, "N", Command);
  ValueArg<std::string> IdPrefix("", "id-prefix",
                                 "The instance IDs are PREFIX1, PREFIX2...",
                                 false, "backend", "PREFIX", Command);
  ValueArg<std::string> DataCentre("", "data-centre",
                                   "Data centre of all instances", false, "dc1",
                                   "NAME", Command);
  ValueArg<std::size_t> RackSize(
      "", "rack-size", "Number of instances in a rack", false, 4, "N", Command);
  ValueArg<std::string> Ip("", "ip", "IP address to listen on", false,
                           "127.0.0.1", "IP", Command);
  ValueArg<std::uint16_t> BasePort(
      "", "base-port",
      "Port number of the first instance; 0 chooses free ports", false, 0,
      "PORT", Command);
  ValueArg<std::int64_t> WorkMs("", "work-ms", "Mean run time of a request",
                                false, 20, "MS", Command);
  ValueArg<std::size_t> Slots("", "slots", "Runs of an instance at a time",
                              false, 8, "N", Command);
  ValueArg<std::size_t> Connections("", "connections",
                                    "Connection cap of an instance", false, 64,
                                    "N", Command);
  ValueArg<std::uint64_t> Seed("", "seed", "Seed of the random run times",
                               false, 1, "N", Command);
  ValueArg<std::string> Register("", "register",
                                 "Platform to register the instances at", false,
                                 "", "IP:PORT", Command);
  Command.parse(Argc, Argv);
  BackendOptions Options;
  Options.m_Control = Control.getValue();
  Options.m_Instances = Instances.getValue();
  Options.m_IdPrefix = IdPrefix.getValue();
  Options.m_DataCentre = DataCentre.getValue();
  Options.m_RackSize = std::max<std::size_t>(RackSize.getValue(), 1);
  Options.m_BasePort = BasePort.getValue();
  Options.m_Ip = Ip.getValue();
  Options.m_Register = Register.getValue();
  Options.m_Template.m_Slots = Slots.getValue();
  Options.m_Template.m_MaxConnections = Connections.getValue();
  Options.m_Template.m_Seed = Seed.getValue();
  Options.m_Template.m_Knobs.m_MeanRunTime = Milliseconds(WorkMs.getValue());
  return runBackend(Options);
}
