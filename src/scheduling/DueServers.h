//===- DueServers.h - Servers that a pass has to look at --------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_DUESERVERS_H
#define POLLENSPOOL_SCHEDULING_DUESERVERS_H

#include "base/Time.h"
#include <vector>

namespace pollenspool {

struct ServerState;

/// The servers that a pass has to look at: those that have changed since the
/// last pass, and those whose ServerState::nextCheck() has come. The cost of a
/// pass does not depend on the number of the other servers. Not thread safe.
class DueServers {
public:
  /// Lets the next call of collect() return \p S.
  void add(ServerState &S);
  /// Returns the servers that are due at \p Now, by ID. They remain due until
  /// finish() is called.
  std::vector<ServerState *> collect(TimePoint Now);
  /// Lets each server that is due be returned again once its nextCheck() has
  /// come, or after add().
  void finish();
  /// Forgets \p S, which is about to be destroyed.
  void remove(const ServerState &S);
  /// Whether collect() will return \p S by its nextCheck().
  bool isAwaited(const ServerState &S) const;

private:
  struct Check {
    TimePoint m_At;
    ServerState *m_Server = nullptr;
  };
  static bool isLater(const Check &A, const Check &B);

  std::vector<ServerState *> m_Due;
  /// Heap with the earliest check at the front. Void unless its time is that of
  /// ServerState::m_CheckAt.
  std::vector<Check> m_Checks;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_DUESERVERS_H
