//===- Messages.cpp - Heartbeat messages of entry instances ---------------===//

#include "membership/Messages.h"

namespace pollenspool {

std::string encodeHeartbeat(const Heartbeat &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return {Buffer.data(), Buffer.size()};
}

Result<Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  try {
    Heartbeat Message;
    msgpack::unpack(Bytes.data(), Bytes.size()).get().convert(Message);
    return Message;
  } catch (const std::exception &Failure) {
    return makeError(ErrorCode::InvalidMessage, "read heartbeat", {},
                     Failure.what());
  }
}

} // namespace pollenspool
