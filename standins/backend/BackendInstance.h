//===- BackendInstance.h - Simulated backend server -------------*- C++ -*-===//
//
// A backend server with a limited number of slots and connections that injects
// the faults of docs/BACKENDS.md. A timer stands for the execution of a
// request. Runs on one event loop; not thread safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_BACKEND_BACKENDINSTANCE_H
#define STANDIN_BACKEND_BACKENDINSTANCE_H

#include "backend/RunLog.h"
#include "common/HttpServer.h"
#include "common/Program.h"
#include <deque>
#include <random>

namespace standin {

/// Behaviour and faults of an instance; they can change at any time.
struct BackendKnobs {
  /// Mean run time of a request that names no run time itself.
  Milliseconds m_MeanRunTime{20};
  /// Answers every request with status 500; its run takes no time.
  bool m_FailAll = false;
  /// Refuses every request as not run, and fails health checks.
  bool m_RefuseAll = false;
  /// Number of replies still to be truncated.
  std::uint64_t m_RepliesToTruncate = 0;
  /// Delay of a reply after the end of its run.
  Milliseconds m_ReplyDelay{0};
  /// Runs keep their slots and send no reply; health checks get no answer.
  bool m_Hang = false;
  /// Sends every reply twice.
  bool m_DuplicateReplies = false;
  /// Closes idle connections, and others after their next reply.
  bool m_CloseIdle = false;
  /// Accepts no new connections.
  bool m_Down = false;
  /// Terminates all requests and connections when it is set, and accepts no
  /// new connections until it is cleared.
  bool m_Reboot = false;
};

struct BackendSettings {
  std::string m_Id;
  Address m_Listen;
  /// Number of requests that run at the same time; others wait.
  std::size_t m_Slots = 8;
  /// Maximum number of open connections.
  std::size_t m_MaxConnections = 64;
  std::uint64_t m_Seed = 1;
  BackendKnobs m_Knobs;
};

/// Counters of an instance since its start.
struct BackendCounts {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Refused = 0;
  /// Requests whose client disconnected while they waited for a slot.
  std::uint64_t m_DisconnectedWhileWaiting = 0;
  std::uint64_t m_Reboots = 0;
  /// IDs of the requests that waited for a slot at the time of a reboot.
  std::vector<std::string> m_WaitingAtReboot;
};

class BackendInstance {
public:
  /// \p Loop and \p Log must outlive the instance. Fails if the address can't
  /// be listened on.
  static Expected<std::unique_ptr<BackendInstance>>
  create(EventLoop &Loop, RunLog &Log, BackendSettings Settings);
  BackendInstance(const BackendInstance &) = delete;
  BackendInstance &operator=(const BackendInstance &) = delete;

  const std::string &id() const { return m_Settings.m_Id; }
  const Address &address() const { return m_Http->address(); }
  const BackendKnobs &knobs() const { return m_Settings.m_Knobs; }
  /// Applies \p Knobs, also to requests in flight.
  void setKnobs(const BackendKnobs &Knobs);
  Json stats() const;

private:
  /// A request that waits for a slot, runs or hangs.
  struct ActiveRequest {
    HttpMessage m_Request;
    ExchangePtr m_Peer;
    Milliseconds m_ArrivalTime{0};
    /// Number of the run in the log; 0 while the request waits for a slot.
    std::uint64_t m_RunNumber = 0;
    EventLoop::TimerId m_Timer = 0;
    bool m_HasEnded = false;
    bool m_ClientDisconnected = false;
  };
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  BackendInstance(EventLoop &Loop, RunLog &Log, BackendSettings Settings);
  void onRequest(const HttpMessage &Request, const ExchangePtr &Peer);
  void replyToHealthCheck(const ExchangePtr &Peer);
  void enqueue(const HttpMessage &Request, const ExchangePtr &Peer);
  void fillSlots();
  void startRun(const ActiveRequestPtr &Active);
  void onRunTimeElapsed(const ActiveRequestPtr &Active);
  void endRun(const ActiveRequestPtr &Active);
  void sendReply(const ActiveRequestPtr &Active, HttpMessage Reply);
  HttpMessage makeReply(const ActiveRequest &Active) const;
  Milliseconds drawRunTime(const HttpMessage &Request);
  void simulateReboot();
  void resumeHanging();
  void dropWaiting();
  void terminateRunning();

  EventLoop &m_Loop;
  RunLog &m_Log;
  BackendSettings m_Settings;
  std::unique_ptr<HttpServer> m_Http;
  std::mt19937_64 m_RandomGenerator;
  BackendCounts m_Counts;
  std::deque<ActiveRequestPtr> m_Waiting;
  std::vector<ActiveRequestPtr> m_Running;
  /// Requests whose run time has elapsed while the instance hangs. They are
  /// in m_Running as well.
  std::vector<ActiveRequestPtr> m_Hanging;
};

} // namespace standin

#endif // STANDIN_BACKEND_BACKENDINSTANCE_H
