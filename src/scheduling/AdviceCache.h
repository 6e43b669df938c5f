//===- AdviceCache.h - Cached placement advice ------------------*- C++ -*-===//
//
// Some queues restrict each step to certain servers, which an external adviser
// determines. For every allowed server the adviser issues a ticket of limited
// validity, which each start order of the step on that server has to carry. The
// set of allowed servers of a step never changes.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_ADVICECACHE_H
#define POLLENSPOOL_SCHEDULING_ADVICECACHE_H

#include "scheduling/ServerRegistry.h"
#include "serving/ServingConfig.h"
#include <optional>
#include <set>

namespace pollenspool {

/// Answers of the adviser for the steps of live jobs, and the calls that are
/// pending. Not thread safe.
class AdviceCache {
public:
  /// The ticket of \p Step for the current incarnation of \p S; null if there
  /// is none that is valid at \p Now.
  const std::string *ticket(const StepId &Step, const ServerState &S,
                            TimePoint Now) const;
  /// Whether the adviser has said that \p Step may not run on \p Server.
  bool isDenied(const StepId &Step, const ServerId &Server) const;
  /// Discards a ticket that the server has rejected.
  void invalidateTicket(const StepId &Step, const ServerId &Server);
  /// Removes all advice for a job; late answers for it have no effect.
  void removeJob(const JobId &Job);

  /// Whether a call for \p Step may be made now: none is pending for it, the
  /// limit on pending calls is not reached, and no retry delay is running.
  bool mayCall(const StepId &Step, TimePoint Now) const;
  /// Selects the servers to ask about, in the order of \p Candidates (best
  /// first), so that \p Tasks more tasks can be placed. \p TasksPerServer is
  /// the number of tasks that fit on one server.
  std::vector<ServerId>
  selectServers(const StepId &Step,
                const std::vector<ServerState *> &Candidates, std::size_t Tasks,
                std::size_t TasksPerServer, TimePoint Now) const;
  /// Records a call as pending. Returns the timeout for its answer.
  Duration recordCall(const AdviceOrder &Order, const AdvicePolicy &Policy,
                      TimePoint Now);
  /// Stores the tickets. They are valid for the current incarnations of the
  /// servers in \p Servers.
  void onReply(const AdviceOrder &Order, const AdviceReply &Reply,
               const ServerRegistry &Servers, TimePoint Now);
  /// Ends a call that was rejected or not answered, and starts the retry delay.
  void onFailure(const AdviceOrder &Order, TimePoint Now);

private:
  struct Ticket {
    std::string m_Text;
    std::int64_t m_StartTimeMs = 0;
    TimePoint m_ValidUntil{};
  };
  struct ServerAdvice {
    bool m_Allowed = false;
    Ticket m_Ticket;
  };
  struct StepAdvice {
    std::map<ServerId, ServerAdvice> m_Servers;
    bool m_CallPending = false;
    TimePoint m_CallSentAt{};
  };
  void finishCall(const StepId &Step);

  std::map<StepId, StepAdvice> m_Steps;
  std::size_t m_PendingCalls = 0;
  /// After a failed call, no call is made before this time.
  TimePoint m_NotBefore{};
  /// Share of servers that were allowed, as a moving average over the answers.
  double m_AllowedShare = 0.5;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_ADVICECACHE_H
