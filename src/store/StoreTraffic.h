//===- StoreTraffic.h - Calls of the store by table -------------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_STORETRAFFIC_H
#define POLLENSPOOL_STORE_STORETRAFFIC_H

#include "base/Error.h"
#include <cstdint>
#include <map>
#include <string>

namespace pollenspool {

/// Counters of the calls that read one table or its change feed.
struct TableTraffic {
  std::uint64_t m_Calls = 0;
  /// Bytes of the replies' bodies.
  std::uint64_t m_Bytes = 0;
  /// Failed calls by reason.
  std::map<ErrorCode, std::uint64_t> m_Failures;
};

/// Counts what is read from the store. The number of tables is small and fixed.
/// Not thread safe.
class StoreTraffic {
public:
  /// A call that read \p Table was answered with \p Bytes.
  void onReply(const std::string &Table, std::size_t Bytes) {
    TableTraffic &T = m_Tables[Table];
    ++T.m_Calls;
    T.m_Bytes += Bytes;
  }
  /// A call that read \p Table failed. The history that a feed no longer has is
  /// not a failure.
  void onFailure(const std::string &Table, ErrorCode Why) {
    TableTraffic &T = m_Tables[Table];
    ++T.m_Calls;
    if (Why != ErrorCode::NotFound)
      ++T.m_Failures[Why];
  }
  const std::map<std::string, TableTraffic> &tables() const { return m_Tables; }

private:
  std::map<std::string, TableTraffic> m_Tables;
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_STORETRAFFIC_H
