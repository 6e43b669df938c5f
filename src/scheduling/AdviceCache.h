//===- AdviceCache.h - Where steps may run, as the adviser says --*- C++
//-*-===//
//
// Some queues allow a step on some servers only, and an adviser outside tells
// which. A server that is allowed comes with a ticket, which every start of the
// step there has to carry and which runs out; which servers are allowed never
// changes for a step.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_ADVICECACHE_H
#define POLLENSPOOL_SCHEDULING_ADVICECACHE_H

#include "scheduling/ServerRegistry.h"
#include "serving/ServingConfig.h"
#include <optional>
#include <set>

namespace pollenspool {

/// What the adviser has said of the steps of live jobs, and which calls are
/// under way. One thread.
class AdviceCache {
public:
  /// The ticket of \p Step on the present life of \p S; null if there is none
  /// that is valid at \p Now.
  const std::string *ticket(const StepId &Step, const ServerState &S,
                            TimePoint Now) const;
  /// Whether the adviser has said that \p Step may not run there.
  bool isDenied(const StepId &Step, const ServerId &Server) const;
  /// The server refused the ticket.
  void dropTicket(const StepId &Step, const ServerId &Server);
  void forget(const JobId &Job);

  /// Whether a call may be made now, and none is under way for \p Step.
  bool mayAsk(const StepId &Step, TimePoint Now) const;
  /// Which of \p Candidates, best first, to ask about so that \p Tasks more
  /// tasks find a place; \p Fit tasks fit on one server.
  std::vector<ServerId> choose(const StepId &Step,
                               const std::vector<ServerState *> &Candidates,
                               std::size_t Tasks, std::size_t Fit,
                               TimePoint Now) const;
  /// Notes a call and says how long to wait for its answer.
  Duration noteAsked(const AdviceOrder &Order, const AdvicePolicy &Policy,
                     TimePoint Now);
  /// Tickets are good for the lives that \p Servers have now.
  void onReply(const AdviceOrder &Order, const AdviceReply &Reply,
               const ServerRegistry &Servers, TimePoint Now);
  /// The call was refused or not answered.
  void onFailure(const AdviceOrder &Order, TimePoint Now);

private:
  struct Ticket {
    std::string m_Text;
    std::int64_t m_BornMs = 0;
    TimePoint m_ValidUntil{};
  };
  struct Verdict {
    bool m_Allowed = false;
    Ticket m_Ticket;
  };
  struct StepAdvice {
    std::map<ServerId, Verdict> m_Servers;
    bool m_Asking = false;
    TimePoint m_AskedAt{};
  };
  void finishCall(const StepId &Step);

  std::map<StepId, StepAdvice> m_Steps;
  std::size_t m_Calls = 0;
  TimePoint m_NotBefore{};
  /// Share of servers that were allowed, over the latest answers.
  double m_AllowedShare = 0.5;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_ADVICECACHE_H
