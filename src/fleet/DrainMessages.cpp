//===- DrainMessages.cpp - Drain questions between entry instances --------===//

#include "fleet/DrainMessages.h"
#include "base/Pack.h"

namespace pollenspool {

namespace {

struct WireAsk {
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

std::string encodeAsk(const AskDrainStatus &Ask) {
  return packed(WireAsk{Ask.m_Entry.m_Text, Ask.m_Instance.m_Text, Ask.m_Epoch,
                        Ask.m_Ask});
}

Result<AskDrainStatus> decodeAsk(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire, unpackedAs<WireAsk>(Bytes, "read drain question"));
  return AskDrainStatus{EntryId(Wire.m_Entry), InstanceId(Wire.m_Instance),
                        Wire.m_Epoch, Wire.m_Ask};
}

std::string encodeAck(const DrainAck &Ack) {
  return packed(WireAck{Ack.m_Entry.m_Text, Ack.m_Instance.m_Text, Ack.m_Epoch,
                        Ack.m_InFlight, Ack.m_Ask});
}

Result<DrainAck> decodeAck(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire, unpackedAs<WireAck>(Bytes, "read drain answer"));
  return DrainAck{EntryId(Wire.m_Entry), InstanceId(Wire.m_Instance),
                  Wire.m_Epoch, Wire.m_InFlight, Wire.m_Ask};
}

} // namespace pollenspool
