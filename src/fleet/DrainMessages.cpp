//===- DrainMessages.cpp - Drain status messages --------------------------===//

#include "fleet/DrainMessages.h"
#include "base/Pack.h"

namespace pollenspool {

namespace {

struct WireQuery {
  std::string m_Entry;
  std::string m_Instance;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_QueryNumber = 0;
  MSGPACK_DEFINE(m_Entry, m_Instance, m_Epoch, m_QueryNumber)
};

struct WireAck {
  std::string m_Entry;
  std::string m_Instance;
  std::uint64_t m_Epoch = 0;
  std::uint32_t m_InFlight = 0;
  std::uint64_t m_QueryNumber = 0;
  MSGPACK_DEFINE(m_Entry, m_Instance, m_Epoch, m_InFlight, m_QueryNumber)
};

} // namespace

std::string encodeDrainStatusQuery(const DrainStatusQuery &Query) {
  return encodeMsgpack(WireQuery{Query.m_Entry.m_Text, Query.m_Instance.m_Text,
                                 Query.m_Epoch, Query.m_QueryNumber});
}

Result<DrainStatusQuery> decodeDrainStatusQuery(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire,
                    decodeMsgpack<WireQuery>(Bytes, "read drain status query"));
  return DrainStatusQuery{EntryId(Wire.m_Entry), InstanceId(Wire.m_Instance),
                          Wire.m_Epoch, Wire.m_QueryNumber};
}

std::string encodeDrainAck(const DrainAck &Ack) {
  return encodeMsgpack(WireAck{Ack.m_Entry.m_Text, Ack.m_Instance.m_Text,
                               Ack.m_Epoch, Ack.m_InFlight, Ack.m_QueryNumber});
}

Result<DrainAck> decodeDrainAck(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire,
                    decodeMsgpack<WireAck>(Bytes, "read drain status answer"));
  return DrainAck{EntryId(Wire.m_Entry), InstanceId(Wire.m_Instance),
                  Wire.m_Epoch, Wire.m_InFlight, Wire.m_QueryNumber};
}

} // namespace pollenspool
