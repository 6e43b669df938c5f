//===- Fleet.h - Instances of the simulated platform ------------*- C++ -*-===//
//
// Stores the current state of each instance and every change with its time, so
// that the served list can lag behind the current state. The caller passes in
// the time, in milliseconds of the wall clock. Not thread safe.
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

/// A reboot takes an instance from live to leaving, to gone, and back to live.
enum class InstanceState { Live, Leaving, Gone };

/// The name of \p State in messages: "live", "leaving" or "gone".
const char *instanceStateName(InstanceState State);
/// The inverse of instanceStateName(); empty for an unknown name.
std::optional<InstanceState> parseInstanceState(const std::string &Name);

struct Instance {
  std::string m_Id;
  std::string m_Kind;
  std::string m_DataCentre;
  std::string m_Rack;
  std::string m_Address;
  /// Control address of the simulated backend server; empty if there is none.
  std::string m_Control;
  InstanceState m_State = InstanceState::Live;
  /// Increases with every change of the instance.
  std::uint64_t m_Epoch = 1;
};

/// An instance as it was after one change.
struct InstanceChange {
  Milliseconds m_Time{0};
  /// Number of the change among the changes of all instances, from 1.
  std::uint64_t m_Revision = 0;
  Instance m_Instance;
};

/// All instances as they were at one time. The revision is that of the last
/// change before, or 0.
struct InstanceList {
  std::uint64_t m_Revision = 0;
  std::vector<Instance> m_Instances;
};

class Fleet {
public:
  /// Adds or replaces an instance. A replaced instance gets a higher epoch than
  /// before.
  void put(Instance NewInstance, Milliseconds Now);
  /// Changes the state of an instance, and its epoch if the state differs.
  /// Returns false if there is no such instance.
  bool setState(const std::string &Id, InstanceState State, Milliseconds Now);
  /// Returns null if there is no such instance; valid until the next change.
  const Instance *find(const std::string &Id) const;
  /// Returns the instances as they were at \p Time.
  InstanceList listAt(Milliseconds Time) const;
  /// All changes, oldest first.
  const std::vector<InstanceChange> &history() const { return m_History; }

  /// Records the start of a reboot. Returns true if the caller has to carry it
  /// out, and false if the instance is already being rebooted or a request with
  /// the same non-empty token was received before.
  bool beginReboot(const std::string &Id, const std::string &Token);
  void endReboot(const std::string &Id) { m_Rebooting.erase(Id); }

private:
  void record(const Instance &Changed, Milliseconds Now);

  std::uint64_t m_Revision = 0;
  std::map<std::string, Instance> m_Instances;
  std::vector<InstanceChange> m_History;
  std::set<std::string> m_RebootTokens;
  std::set<std::string> m_Rebooting;
};

} // namespace standin

#endif // STANDIN_PLATFORM_FLEET_H
