//===- DrainMessages.cpp - Drain status messages --------------------------===//

#include "fleet/DrainMessages.h"
#include "base/Pack.h"

namespace pollenspool {

namespace {

struct WireQuery {
  std::string m_Entry;
  std::string m_Instance;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Ask = 0;
  MSGPACK_DEFINE(m_Entry, m_Instance, m_Epoch, m_Ask)
};

struct WireAck {
  std::string m_Entry;
  std::string m_Instance;
  std::uint64_t m_Epoch = 0;
  std::uint32_t m_InFlight = 0;
  std::uint64_t m_Ask = 0;
  MSGPACK_DEFINE(m_Entry, m_Instance, m_Epoch, m_InFlight, m_Ask)
};

} // namespace

std::string encodeAsk(const AskDrainStatus &Query) {
  return packed(WireQuery{Query.m_Entry.m_Text, Query.m_Instance.m_Text,
                          Query.m_Epoch, Query.m_Ask});
}

Result<AskDrainStatus> decodeAsk(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire,
                    unpackedAs<WireQuery>(Bytes, "read drain status query"));
  return AskDrainStatus{EntryId(Wire.m_Entry), InstanceId(Wire.m_Instance),
                        Wire.m_Epoch, Wire.m_Ask};
}

std::string encodeAck(const DrainAck &Ack) {
  return packed(WireAck{Ack.m_Entry.m_Text, Ack.m_Instance.m_Text, Ack.m_Epoch,
                        Ack.m_InFlight, Ack.m_Ask});
}

Result<DrainAck> decodeAck(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire,
                    unpackedAs<WireAck>(Bytes, "read drain status answer"));
  return DrainAck{EntryId(Wire.m_Entry), InstanceId(Wire.m_Instance),
                  Wire.m_Epoch, Wire.m_InFlight, Wire.m_Ask};
}

} // namespace pollenspool
