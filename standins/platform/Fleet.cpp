//===- Fleet.cpp - Instances of the simulated platform --------------------===//

#include "platform/Fleet.h"

namespace standin {

const char *instanceStateName(InstanceState State) {
  switch (State) {
  case InstanceState::Live:
    return "live";
  case InstanceState::Leaving:
    return "leaving";
  case InstanceState::Gone:
    return "gone";
  }
  return "gone";
}

std::optional<InstanceState> parseInstanceState(const std::string &Name) {
  for (const InstanceState State :
       {InstanceState::Live, InstanceState::Leaving, InstanceState::Gone})
    if (Name == instanceStateName(State))
      return State;
  return std::nullopt;
}

void Fleet::put(Instance NewInstance, Milliseconds Now) {
  const auto Found = m_Instances.find(NewInstance.m_Id);
  if (Found != m_Instances.end() &&
      NewInstance.m_Epoch <= Found->second.m_Epoch)
    NewInstance.m_Epoch = Found->second.m_Epoch + 1;
  m_Instances[NewInstance.m_Id] = NewInstance;
  record(NewInstance, Now);
}

bool Fleet::setState(const std::string &Id, InstanceState State,
                     Milliseconds Now) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return false;
  if (Found->second.m_State == State)
    return true;
  Found->second.m_State = State;
  ++Found->second.m_Epoch;
  record(Found->second, Now);
  return true;
}

void Fleet::record(const Instance &Changed, Milliseconds Now) {
  m_History.push_back({Now, ++m_Revision, Changed});
}

const Instance *Fleet::find(const std::string &Id) const {
  const auto Found = m_Instances.find(Id);
  return Found == m_Instances.end() ? nullptr : &Found->second;
}

InstanceList Fleet::listAt(Milliseconds Time) const {
  InstanceList List;
  std::map<std::string, Instance> InstancesById;
  for (const InstanceChange &Change : m_History) {
    if (Change.m_Time > Time)
      break;
    InstancesById[Change.m_Instance.m_Id] = Change.m_Instance;
    List.m_Revision = Change.m_Revision;
  }
  for (auto &Entry : InstancesById)
    List.m_Instances.push_back(std::move(Entry.second));
  return List;
}

bool Fleet::beginReboot(const std::string &Id, const std::string &Token) {
  if (!Token.empty() && !m_RebootTokens.insert(Token).second)
    return false;
  return m_Rebooting.insert(Id).second;
}

} // namespace standin
