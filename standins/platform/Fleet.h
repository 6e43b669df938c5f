//===- Fleet.h - The platform's instances and their reboots -----*- C++ -*-===//
//
// Keeps the true state of each instance and every change with its time, so
// that the list can lag behind. Time is passed in. Not thread safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_PLATFORM_FLEET_H
#define STANDIN_PLATFORM_FLEET_H

#include "common/EventLoop.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace standin {

enum class MachineState { Live, Leaving, Gone };

/// "live", "leaving" or "gone".
const char *machineStateName(MachineState State);
std::optional<MachineState> parseMachineState(const std::string &Name);

struct Machine {
  std::string m_Id;
  std::string m_Kind;
  std::string m_DataCentre;
  std::string m_Rack;
  std::string m_Address;
  /// Where the backend stand-in takes knobs; empty if there is none.
  std::string m_Control;
  MachineState m_State = MachineState::Live;
  std::uint64_t m_Epoch = 1;
};

/// One change of an instance's state.
struct MachineChange {
  Milliseconds m_Time{0};
  std::uint64_t m_Revision = 0;
  Machine m_Machine;
};

/// The instances as they stood at one time.
struct MachineList {
  std::uint64_t m_Revision = 0;
  std::vector<Machine> m_Machines;
};

class Fleet {
public:
  /// Adds or replaces an instance; replacing raises the epoch.
  void put(Machine NewMachine, Milliseconds Now);
  /// Changes a state. False if there is no such instance.
  bool setState(const std::string &Id, MachineState State, Milliseconds Now);
  const Machine *find(const std::string &Id) const;
  /// The list as it stood at \p Time.
  MachineList listAt(Milliseconds Time) const;
  /// Every change, oldest first.
  const std::vector<MachineChange> &history() const { return m_History; }

  /// Starts a reboot: true if the caller has to carry it out, false if the
  /// instance is being rebooted already or the token is known.
  bool beginReboot(const std::string &Id, const std::string &Token);
  void endReboot(const std::string &Id) { m_Rebooting.erase(Id); }

private:
  void record(const Machine &Changed, Milliseconds Now);

  std::uint64_t m_Revision = 0;
  std::map<std::string, Machine> m_Machines;
  std::vector<MachineChange> m_History;
  std::set<std::string> m_RebootTokens;
  std::set<std::string> m_Rebooting;
};

} // namespace standin

#endif // STANDIN_PLATFORM_FLEET_H
