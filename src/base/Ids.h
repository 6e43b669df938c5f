//===- Ids.h - Strongly typed identifiers -----------------------*- C++ -*-===//
//
// Each kind of identifier has its own type, so that, for example, a pool name
// cannot be passed in place of an instance ID.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_IDS_H
#define POLLENSPOOL_BASE_IDS_H

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace pollenspool {

/// A string identifier of the kind \p Tag, of which \p Text holds the
/// characters. Distinct objects may be used concurrently; a single object must
/// not be modified concurrently.
template <typename Tag, typename Text = std::string> struct Name {
  Text m_Text;

  Name() = default;
  explicit Name(Text Characters) : m_Text(std::move(Characters)) {}

  bool empty() const { return m_Text.empty(); }
  friend bool operator==(const Name &A, const Name &B) {
    return A.m_Text == B.m_Text;
  }
  friend bool operator!=(const Name &A, const Name &B) { return !(A == B); }
  friend bool operator<(const Name &A, const Name &B) {
    return A.m_Text < B.m_Text;
  }
  /// Less than, equal to or greater than 0 as the name is less than, equal to
  /// or greater than \p Other.
  int compare(const Name &Other) const { return m_Text.compare(Other.m_Text); }
};

/// The ID of a backend server instance, e.g. "howrah-r1-i3".
using InstanceId = Name<struct InstanceTag>;
/// The ID of an entry instance, which is the address ("ip:port") that its peers
/// connect to.
using EntryId = Name<struct EntryTag>;
using PoolName = Name<struct PoolTag>;
using ServiceName = Name<struct ServiceTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RackName = Name<struct RackTag>;
using TeamName = Name<struct TeamTag>;
using WaveId = Name<struct WaveTag>;
using MoveId = Name<struct MoveTag>;
/// The ID of a caller's request: the header Idempotency-Key, or generated if
/// the caller sends none.
using RequestId = Name<struct RequestTag>;

} // namespace pollenspool

/// Not noexcept, which lets libstdc++ keep the hash code of each entry of a
/// table instead of computing those of all entries that a search passes.
template <typename Tag, typename Text>
struct std::hash<pollenspool::Name<Tag, Text>> {
  std::size_t operator()(const pollenspool::Name<Tag, Text> &N) const {
    return std::hash<std::string_view>()({N.m_Text.data(), N.m_Text.size()});
  }
};

#endif // POLLENSPOOL_BASE_IDS_H
