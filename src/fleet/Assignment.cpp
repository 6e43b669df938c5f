//===- Assignment.cpp - Initial pool of each instance ---------------------===//

#include "fleet/Assignment.h"
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace pollenspool {

namespace {

/// Returns the live backend instances that have no row, interleaved by data
/// centre in round-robin order, so that each pool spans all data centres.
std::vector<const ListedInstance *>
unassignedInstances(const std::vector<ListedInstance> &Listed,
                    const std::set<InstanceId> &Assigned) {
  std::map<DataCentreName, std::vector<const ListedInstance *>> ByDataCentre;
  for (const ListedInstance &L : Listed) {
    bool IsUnassigned = L.m_Kind == InstanceKind::Backend &&
                        L.m_State == InstanceState::Live &&
                        !Assigned.count(L.m_Id);
    if (IsUnassigned)
      ByDataCentre[L.m_DataCentre].push_back(&L);
  }
  std::vector<const ListedInstance *> Interleaved;
  std::size_t Longest = 0;
  for (auto &[DataCentre, Instances] : ByDataCentre) {
    std::sort(Instances.begin(), Instances.end(),
              [](const ListedInstance *A, const ListedInstance *B) {
                return A->m_Id < B->m_Id;
              });
    Longest = std::max(Longest, Instances.size());
  }
  for (std::size_t I = 0; I < Longest; ++I)
    for (auto &[DataCentre, Instances] : ByDataCentre)
      if (I < Instances.size())
        Interleaved.push_back(Instances[I]);
  return Interleaved;
}

const Pool *sparePool(const Document &Doc) {
  for (const Pool &P : Doc.m_Pools)
    if (P.m_Spare)
      return &P;
  return nullptr;
}

/// Number of instances of each pool, in total and by data centre.
class PoolSizes {
public:
  void add(const PoolName &Pool, const DataCentreName &DataCentre) {
    ++m_Total[Pool];
    ++m_ByDataCentre[SizeKey{Pool, DataCentre}];
  }
  std::uint32_t total(const PoolName &Pool) const {
    auto It = m_Total.find(Pool);
    return It == m_Total.end() ? 0 : It->second;
  }
  std::uint32_t inDataCentre(const PoolName &Pool,
                             const DataCentreName &DataCentre) const {
    auto It = m_ByDataCentre.find(SizeKey{Pool, DataCentre});
    return It == m_ByDataCentre.end() ? 0 : It->second;
  }

private:
  struct SizeKey {
    PoolName m_Pool;
    DataCentreName m_DataCentre;
    bool operator<(const SizeKey &Other) const {
      return std::tie(m_Pool, m_DataCentre) <
             std::tie(Other.m_Pool, Other.m_DataCentre);
    }
  };
  std::map<PoolName, std::uint32_t> m_Total;
  std::map<SizeKey, std::uint32_t> m_ByDataCentre;
};

/// Returns the pool below its declared size that has the smallest share of it
/// in \p DataCentre, so that each pool spans the data centres. Returns the
/// spare pool if no pool is below its size, or null if there is no spare pool.
const Pool *selectPool(const Document &Doc, const PoolSizes &Sizes,
                       const DataCentreName &DataCentre) {
  const Pool *Best = nullptr;
  double BestShare = 0;
  for (const Pool &P : Doc.m_Pools) {
    if (Sizes.total(P.m_Name) >= P.m_Instances)
      continue;
    double Share =
        static_cast<double>(Sizes.inDataCentre(P.m_Name, DataCentre)) /
        P.m_Instances;
    if (Best && Share >= BestShare)
      continue;
    Best = &P;
    BestShare = Share;
  }
  return Best ? Best : sparePool(Doc);
}

} // namespace

std::vector<InstanceRow>
assignInstances(const Document &Doc, const std::vector<ListedInstance> &Listed,
                const std::vector<InstanceRow> &Known) {
  std::map<InstanceId, DataCentreName> DataCentres;
  for (const ListedInstance &L : Listed)
    DataCentres.emplace(L.m_Id, L.m_DataCentre);
  PoolSizes Sizes;
  std::set<InstanceId> Assigned;
  for (const InstanceRow &Row : Known) {
    Sizes.add(Row.m_Pool, DataCentres[Row.m_Id]);
    Assigned.insert(Row.m_Id);
  }
  std::vector<InstanceRow> Rows;
  for (const ListedInstance *L : unassignedInstances(Listed, Assigned)) {
    const Pool *Target = selectPool(Doc, Sizes, L->m_DataCentre);
    if (!Target)
      break;
    InstanceRow Row;
    Row.m_Id = L->m_Id;
    Row.m_Pool = Target->m_Name;
    Row.m_Epoch = 1;
    Rows.push_back(std::move(Row));
    Sizes.add(Target->m_Name, L->m_DataCentre);
  }
  return Rows;
}

Transaction assignmentTransaction(const std::vector<InstanceRow> &Rows,
                                  const std::string &Token) {
  Transaction Txn;
  Txn.m_Token = Token;
  for (const InstanceRow &Row : Rows) {
    std::string Key = instanceRowKey(Row.m_Id);
    Txn.m_Checks.push_back(RowCheck{Key, 0});
    Txn.m_Writes.push_back(RowWrite{Key, encodeInstanceRow(Row), false});
  }
  return Txn;
}

} // namespace pollenspool
