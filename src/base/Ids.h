//===- Ids.h - Names of the fleet's parts -----------------------*- C++ -*-===//
//
// A strong type for each kind of name, so that a pool's name cannot be passed
// where an instance's is meant.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_IDS_H
#define POLLENSPOOL_BASE_IDS_H

#include <functional>
#include <string>
#include <utility>

namespace pollenspool {

/// A name of the kind that \p Tag stands for. A value type: copies may be used
/// from any thread, one object from one thread at a time.
template <typename Tag> struct Name {
  std::string m_Text;

  Name() = default;
  explicit Name(std::string Text) : m_Text(std::move(Text)) {}

  bool empty() const { return m_Text.empty(); }
  friend bool operator==(const Name &A, const Name &B) {
    return A.m_Text == B.m_Text;
  }
  friend bool operator!=(const Name &A, const Name &B) { return !(A == B); }
  friend bool operator<(const Name &A, const Name &B) {
    return A.m_Text < B.m_Text;
  }
};

/// A backend server instance, e.g. "howrah-r1-i3".
using InstanceId = Name<struct InstanceTag>;
/// An entry instance: the address ("ip:port") at which its peers reach it.
using EntryId = Name<struct EntryTag>;
using PoolName = Name<struct PoolTag>;
using ServiceName = Name<struct ServiceTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RackName = Name<struct RackTag>;
using TeamName = Name<struct TeamTag>;
using WaveId = Name<struct WaveTag>;
using MoveId = Name<struct MoveTag>;
/// The ID of one caller request (header Idempotency-Key, or minted).
using RequestId = Name<struct RequestTag>;

} // namespace pollenspool

template <typename Tag> struct std::hash<pollenspool::Name<Tag>> {
  std::size_t operator()(const pollenspool::Name<Tag> &N) const noexcept {
    return std::hash<std::string>()(N.m_Text);
  }
};

#endif // POLLENSPOOL_BASE_IDS_H
