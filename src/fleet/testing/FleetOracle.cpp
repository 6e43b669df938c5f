//===- FleetOracle.cpp - Invariants of all committed changes --------------===//

#include "fleet/testing/FleetOracle.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::json;

/// Returns the part of \p Key after \p Prefix; empty if \p Key does not start
/// with \p Prefix.
std::string suffixAfter(const std::string &Key, const std::string &Prefix) {
  return Key.compare(0, Prefix.size(), Prefix) == 0 ? Key.substr(Prefix.size())
                                                    : std::string();
}

} // namespace

FleetOracle::FleetOracle(const Document &Doc, InFlight Count)
    : m_InFlight(std::move(Count)) {
  for (const Pool &P : Doc.m_Pools)
    m_Pools[P.m_Name.m_Text] = P;
}

void FleetOracle::fail(std::string Text) {
  if (m_Violation.empty())
    m_Violation = std::move(Text);
}

void FleetOracle::onCommit(const Transaction &Txn,
                           const std::set<InstanceId> &Unavailable) {
  for (const RowWrite &W : Txn.m_Writes)
    applyInstance(W, Unavailable);
  for (const RowWrite &W : Txn.m_Writes) {
    checkBudget(W);
    checkBatch(W);
  }
}

void FleetOracle::applyInstance(const RowWrite &Write,
                                const std::set<InstanceId> &Unavailable) {
  InstanceId Id(suffixAfter(Write.m_Key, "instance/"));
  if (Id.empty())
    return;
  Json Value = Json::parse(Write.m_Value);
  Instance New{Value["pool"], Value["state"], Value["holder"], Value["epoch"]};
  auto It = m_Instances.find(Id);
  if (It == m_Instances.end()) {
    m_Instances[Id] = New;
    return;
  }
  Instance Old = It->second;
  It->second = New;
  checkChange(Id, Old, New);
  if (Old.m_State == "serving" && New.m_State != "serving")
    checkDrain(Id, New.m_Pool, Unavailable);
}

void FleetOracle::checkChange(const InstanceId &Id, const Instance &Old,
                              const Instance &New) {
  if (New.m_Epoch != Old.m_Epoch + 1)
    fail(Id.m_Text + ": epoch changes from " + std::to_string(Old.m_Epoch) +
         " to " + std::to_string(New.m_Epoch));
  if ((New.m_State == "serving") != New.m_Holder.empty())
    fail(Id.m_Text + ": state " + New.m_State + " with holder '" +
         New.m_Holder + "'");
  bool IsMoved = New.m_Pool != Old.m_Pool;
  m_MoveCount += IsMoved ? 1 : 0;
  if (IsMoved && Old.m_State != "draining")
    fail(Id.m_Text + ": pool changes in state " + Old.m_State);
  if ((IsMoved || New.m_State == "away") && m_InFlight(Id) > 0)
    fail(Id.m_Text +
         ": pool change or reboot committed with requests in flight");
}

void FleetOracle::checkDrain(const InstanceId &Id, const std::string &PoolText,
                             const std::set<InstanceId> &Unavailable) {
  std::uint32_t Serving = 0;
  std::uint32_t OutOfService = 0;
  for (const auto &[Other, I] : m_Instances) {
    if (I.m_Pool != PoolText)
      continue;
    bool IsServing = I.m_State == "serving" && Unavailable.count(Other) == 0;
    ++(IsServing ? Serving : OutOfService);
  }
  const Pool &P = m_Pools.at(PoolText);
  if (Serving < P.m_MinServing)
    fail(Id.m_Text + ": drained though pool " + PoolText + " then has " +
         std::to_string(Serving) + " serving instances, promised " +
         std::to_string(P.m_MinServing));
  if (OutOfService > P.m_AvailabilityBudget)
    fail(Id.m_Text + ": drained though pool " + PoolText + " then has " +
         std::to_string(OutOfService) +
         " instances away or unavailable, budget " +
         std::to_string(P.m_AvailabilityBudget));
}

void FleetOracle::checkBudget(const RowWrite &Write) {
  std::string Name = suffixAfter(Write.m_Key, "pool/");
  if (Name.empty())
    return;
  Name.resize(Name.size() - std::string("/budget").size());
  std::set<std::string> Units;
  Json Value = Json::parse(Write.m_Value);
  for (const Json &U : Value["units"])
    Units.insert(U["instance"].get<std::string>());
  for (const auto &[Id, I] : m_Instances) {
    bool IsAway = I.m_Pool == Name && I.m_State != "serving";
    if (IsAway != (Units.count(Id.m_Text) != 0))
      fail(Id.m_Text + ": " + I.m_State + " in pool " + I.m_Pool + " but " +
           (IsAway ? "without" : "with") + " a budget unit of pool " + Name);
  }
}

void FleetOracle::checkBatch(const RowWrite &Write) {
  std::string Wave = suffixAfter(Write.m_Key, "wave/");
  if (!Wave.empty())
    m_MaxBatches[Wave] = Json::parse(Write.m_Value)["max_batch"];
  std::string Held = suffixAfter(Write.m_Key, "wave-batch/");
  if (Held.empty() || Write.m_Delete)
    return;
  Json Value = Json::parse(Write.m_Value);
  if (Value["held"].size() > m_MaxBatches[Held])
    fail("wave " + Held + " holds more members than its batch allows: " +
         std::to_string(Value["held"].size()));
}

void FleetOracle::onReboot(const InstanceId &Id) {
  if (m_Instances[Id].m_State != "away")
    fail(Id.m_Text + ": rebooted in state " + m_Instances[Id].m_State);
  if (m_InFlight(Id) > 0)
    fail(Id.m_Text + ": rebooted with requests in flight");
}

void FleetOracle::onDispatch(const InstanceId &Id, const PoolName &Pool) {
  const Instance &I = m_Instances[Id];
  if (I.m_Pool != Pool.m_Text)
    fail(Id.m_Text + ": request for pool " + Pool.m_Text +
         " started though the instance is in pool " + I.m_Pool);
  if (I.m_State == "away")
    fail(Id.m_Text + ": request started in state away");
}

bool FleetOracle::isServing(const InstanceId &Id) const {
  auto It = m_Instances.find(Id);
  return It != m_Instances.end() && It->second.m_State == "serving";
}

std::vector<InstanceId> FleetOracle::notServing() const {
  std::vector<InstanceId> Ids;
  for (const auto &[Id, I] : m_Instances)
    if (I.m_State != "serving")
      Ids.push_back(Id);
  return Ids;
}

} // namespace pollenspool
