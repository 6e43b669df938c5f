//===- ServingView.cpp - An entry instance's view of the fleet ------------===//

#include "view/ServingView.h"
#include "base/Pack.h"

namespace pollenspool {

namespace {

bool acceptsWork(const VersionedRow &Row, const ListedInstance &Listed) {
  return Row.m_Row.m_State == ServingState::Serving &&
         Listed.m_State == InstanceState::Live;
}

/// Wire formats. They are separate from the message structs so that those do
/// not depend on MessagePack.
struct WireRow {
  std::string m_Value;
  std::uint64_t m_Revision = 0;
  MSGPACK_DEFINE(m_Value, m_Revision)
};

struct WireListed {
  std::string m_Id;
  std::uint8_t m_Kind = 0;
  std::string m_DataCentre;
  std::string m_Rack;
  std::string m_Address;
  std::uint8_t m_State = 0;
  std::uint64_t m_Epoch = 0;
  MSGPACK_DEFINE(m_Id, m_Kind, m_DataCentre, m_Rack, m_Address, m_State,
                 m_Epoch)
};

struct WireNotice {
  std::vector<WireRow> m_Rows;
  std::vector<WireListed> m_Listed;
  MSGPACK_DEFINE(m_Rows, m_Listed)
};

Error invalidNotice(const char *What) {
  return makeError(ErrorCode::InvalidMessage, "read fleet notice", {}, What);
}

WireListed toWire(const ListedInstance &L) {
  return WireListed{L.m_Id.m_Text,
                    static_cast<std::uint8_t>(L.m_Kind),
                    L.m_DataCentre.m_Text,
                    L.m_Rack.m_Text,
                    L.m_Address,
                    static_cast<std::uint8_t>(L.m_State),
                    L.m_Epoch};
}

ListedInstance fromWire(WireListed &&W) {
  ListedInstance L;
  L.m_Id = InstanceId(std::move(W.m_Id));
  L.m_Kind = static_cast<InstanceKind>(W.m_Kind);
  L.m_DataCentre = DataCentreName(std::move(W.m_DataCentre));
  L.m_Rack = RackName(std::move(W.m_Rack));
  L.m_Address = std::move(W.m_Address);
  L.m_State = static_cast<InstanceState>(W.m_State);
  L.m_Epoch = W.m_Epoch;
  return L;
}

} // namespace

FleetNotice ServingView::mergeRows(const std::vector<VersionedRow> &Rows) {
  FleetNotice Changes;
  for (const VersionedRow &Row : Rows) {
    InstanceRecord &Entry = m_Instances[Row.m_Row.m_Id];
    if (Entry.m_Row && Entry.m_Row->m_Revision >= Row.m_Revision)
      continue;
    Entry.m_Row = Row;
    Changes.m_Rows.push_back(Row);
  }
  return Changes;
}

FleetNotice
ServingView::mergeInstanceList(const std::vector<ListedInstance> &Listed) {
  FleetNotice Changes;
  for (const ListedInstance &L : Listed) {
    if (L.m_Kind != InstanceKind::Backend)
      continue;
    InstanceRecord &Entry = m_Instances[L.m_Id];
    if (Entry.m_Listed && Entry.m_Listed->m_Epoch >= L.m_Epoch)
      continue;
    Entry.m_Listed = L;
    Changes.m_Listed.push_back(L);
  }
  return Changes;
}

bool ServingView::mergeNotice(const FleetNotice &Notice) {
  bool Rows = !mergeRows(Notice.m_Rows).empty();
  bool Listed = !mergeInstanceList(Notice.m_Listed).empty();
  return Rows || Listed;
}

std::vector<InstanceTarget>
ServingView::targets(const DataCentreName &Own) const {
  std::vector<InstanceTarget> Out;
  for (const auto &[Id, Entry] : m_Instances) {
    if (!Entry.m_Row || !Entry.m_Listed)
      continue;
    const ListedInstance &Listed = *Entry.m_Listed;
    if (Listed.m_DataCentre != Own)
      continue;
    InstanceTarget Target;
    Target.m_Id = Id;
    Target.m_Pool = Entry.m_Row->m_Row.m_Pool;
    Target.m_DataCentre = Listed.m_DataCentre;
    Target.m_Rack = Listed.m_Rack;
    Target.m_Address = Listed.m_Address;
    Target.m_AcceptsWork = acceptsWork(*Entry.m_Row, Listed);
    // The revision and the list epoch never decrease, so their sum orders the
    // states of one instance.
    Target.m_Epoch = Entry.m_Row->m_Revision + Listed.m_Epoch;
    Out.push_back(std::move(Target));
  }
  return Out;
}

FleetNotice ServingView::changesSince(Revision Since) const {
  FleetNotice Changes;
  for (const auto &[Id, Entry] : m_Instances) {
    bool RowIsNew = Entry.m_Row && Entry.m_Row->m_Revision > Since;
    if (RowIsNew)
      Changes.m_Rows.push_back(*Entry.m_Row);
    bool IsNotLive =
        Entry.m_Listed && Entry.m_Listed->m_State != InstanceState::Live;
    if (Entry.m_Listed && (RowIsNew || IsNotLive || Since == 0))
      Changes.m_Listed.push_back(*Entry.m_Listed);
  }
  return Changes;
}

const VersionedRow *ServingView::findRow(const InstanceId &Id) const {
  auto It = m_Instances.find(Id);
  bool Found = It != m_Instances.end() && It->second.m_Row;
  return Found ? &*It->second.m_Row : nullptr;
}

const ListedInstance *ServingView::findListed(const InstanceId &Id) const {
  auto It = m_Instances.find(Id);
  bool Found = It != m_Instances.end() && It->second.m_Listed;
  return Found ? &*It->second.m_Listed : nullptr;
}

std::vector<VersionedRow> readInstanceRows(const std::vector<Row> &Rows,
                                           std::size_t &Unreadable) {
  std::vector<VersionedRow> Out;
  for (const Row &R : Rows) {
    if (R.m_Deleted || R.m_Key.rfind(InstanceRowPrefix, 0) != 0)
      continue;
    auto Read = decodeInstanceRow(R.m_Value);
    if (Read)
      Out.push_back(VersionedRow{std::move(Read).value(), R.m_Revision});
    else
      ++Unreadable;
  }
  return Out;
}

std::string encodeNotice(const FleetNotice &Notice) {
  WireNotice Wire;
  for (const VersionedRow &Row : Notice.m_Rows)
    Wire.m_Rows.push_back(
        WireRow{encodeInstanceRow(Row.m_Row), Row.m_Revision});
  for (const ListedInstance &L : Notice.m_Listed)
    Wire.m_Listed.push_back(toWire(L));
  return encodeMsgpack(Wire);
}

Result<FleetNotice> decodeNotice(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire,
                    decodeMsgpack<WireNotice>(Bytes, "read fleet notice"));
  FleetNotice Notice;
  for (WireRow &R : Wire.m_Rows) {
    BOOST_OUTCOME_TRY(Row, decodeInstanceRow(R.m_Value));
    Notice.m_Rows.push_back(VersionedRow{std::move(Row), R.m_Revision});
  }
  for (WireListed &L : Wire.m_Listed) {
    if (L.m_State > static_cast<std::uint8_t>(InstanceState::Gone) ||
        L.m_Kind > static_cast<std::uint8_t>(InstanceKind::Entry))
      return invalidNotice("unknown state or kind");
    Notice.m_Listed.push_back(fromWire(std::move(L)));
  }
  return Notice;
}

} // namespace pollenspool
