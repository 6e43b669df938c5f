//===- Fleet.cpp - The platform's instances and their reboots -------------===//

#include "platform/Fleet.h"

namespace standin {

const char *machineStateName(MachineState State) {
  switch (State) {
  case MachineState::Live:
    return "live";
  case MachineState::Leaving:
    return "leaving";
  case MachineState::Gone:
    return "gone";
  }
  return "gone";
}

std::optional<MachineState> parseMachineState(const std::string &Name) {
  for (const MachineState State :
       {MachineState::Live, MachineState::Leaving, MachineState::Gone})
    if (Name == machineStateName(State))
      return State;
  return std::nullopt;
}

void Fleet::put(Machine NewMachine, Milliseconds Now) {
  const auto Found = m_Machines.find(NewMachine.m_Id);
  if (Found != m_Machines.end() && NewMachine.m_Epoch <= Found->second.m_Epoch)
    NewMachine.m_Epoch = Found->second.m_Epoch + 1;
  m_Machines[NewMachine.m_Id] = NewMachine;
  record(NewMachine, Now);
}

bool Fleet::setState(const std::string &Id, MachineState State,
                     Milliseconds Now) {
  const auto Found = m_Machines.find(Id);
  if (Found == m_Machines.end())
    return false;
  if (Found->second.m_State == State)
    return true;
  Found->second.m_State = State;
  ++Found->second.m_Epoch;
  record(Found->second, Now);
  return true;
}

void Fleet::record(const Machine &Changed, Milliseconds Now) {
  m_History.push_back({Now, ++m_Revision, Changed});
}

const Machine *Fleet::find(const std::string &Id) const {
  const auto Found = m_Machines.find(Id);
  return Found == m_Machines.end() ? nullptr : &Found->second;
}

MachineList Fleet::listAt(Milliseconds Time) const {
  MachineList List;
  std::map<std::string, Machine> Seen;
  for (const MachineChange &Change : m_History) {
    if (Change.m_Time > Time)
      break;
    Seen[Change.m_Machine.m_Id] = Change.m_Machine;
    List.m_Revision = Change.m_Revision;
  }
  for (auto &Entry : Seen)
    List.m_Machines.push_back(std::move(Entry.second));
  return List;
}

bool Fleet::beginReboot(const std::string &Id, const std::string &Token) {
  if (!Token.empty() && !m_RebootTokens.insert(Token).second)
    return false;
  return m_Rebooting.insert(Id).second;
}

} // namespace standin
