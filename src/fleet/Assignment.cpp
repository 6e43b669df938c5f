//===- Assignment.cpp - The first pool of each instance -------------------===//

#include "fleet/Assignment.h"
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace pollenspool {

namespace {

/// Listed instances without a row, dealt over data centres in turn: the first
/// of each, then the second of each, so that a pool spans them all.
std::vector<const ListedInstance *>
newcomers(const std::vector<ListedInstance> &Listed,
          const std::set<InstanceId> &Placed) {
  std::map<DataCentreName, std::vector<const ListedInstance *>> ByCentre;
  for (const ListedInstance &L : Listed) {
    bool New = L.m_Kind == InstanceKind::Backend &&
               L.m_State == InstanceState::Live && !Placed.count(L.m_Id);
    if (New)
      ByCentre[L.m_DataCentre].push_back(&L);
  }
  std::vector<const ListedInstance *> Dealt;
  std::size_t Longest = 0;
  for (auto &[Centre, Instances] : ByCentre) {
    std::sort(Instances.begin(), Instances.end(),
              [](const ListedInstance *A, const ListedInstance *B) {
                return A->m_Id < B->m_Id;
              });
    Longest = std::max(Longest, Instances.size());
  }
  for (std::size_t I = 0; I < Longest; ++I)
    for (auto &[Centre, Instances] : ByCentre)
      if (I < Instances.size())
        Dealt.push_back(Instances[I]);
  return Dealt;
}

const Pool *sparePool(const Document &Doc) {
  for (const Pool &P : Doc.m_Pools)
    if (P.m_Spare)
      return &P;
  return nullptr;
}

/// Instances of each pool, whole and by data centre.
class PoolSizes {
public:
  void add(const PoolName &Pool, const DataCentreName &Centre) {
    ++m_Whole[Pool];
    ++m_ByCentre[PlaceKey{Pool, Centre}];
  }
  std::uint32_t whole(const PoolName &Pool) const {
    auto It = m_Whole.find(Pool);
    return It == m_Whole.end() ? 0 : It->second;
  }
  std::uint32_t inCentre(const PoolName &Pool,
                         const DataCentreName &Centre) const {
    auto It = m_ByCentre.find(PlaceKey{Pool, Centre});
    return It == m_ByCentre.end() ? 0 : It->second;
  }

private:
  struct PlaceKey {
    PoolName m_Pool;
    DataCentreName m_Centre;
    bool operator<(const PlaceKey &Other) const {
      return std::tie(m_Pool, m_Centre) <
             std::tie(Other.m_Pool, Other.m_Centre);
    }
  };
  std::map<PoolName, std::uint32_t> m_Whole;
  std::map<PlaceKey, std::uint32_t> m_ByCentre;
};

/// Of the pools that are not full, the one that has least of its declared size
/// in \p Centre, so that each pool spans the data centres; else the spare pool.
const Pool *neediest(const Document &Doc, const PoolSizes &Sizes,
                     const DataCentreName &Centre) {
  const Pool *Best = nullptr;
  double BestShare = 0;
  for (const Pool &P : Doc.m_Pools) {
    if (Sizes.whole(P.m_Name) >= P.m_Instances)
      continue;
    double Share =
        static_cast<double>(Sizes.inCentre(P.m_Name, Centre)) / P.m_Instances;
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
  std::map<InstanceId, DataCentreName> Centres;
  for (const ListedInstance &L : Listed)
    Centres.emplace(L.m_Id, L.m_DataCentre);
  PoolSizes Sizes;
  std::set<InstanceId> Placed;
  for (const InstanceRow &Row : Known) {
    Sizes.add(Row.m_Pool, Centres[Row.m_Id]);
    Placed.insert(Row.m_Id);
  }
  std::vector<InstanceRow> Rows;
  for (const ListedInstance *L : newcomers(Listed, Placed)) {
    const Pool *Target = neediest(Doc, Sizes, L->m_DataCentre);
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
