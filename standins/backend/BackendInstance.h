//===- BackendInstance.h - One backend server -------------------*- C++ -*-===//
//
// Slots, a connection cap, and the faults of docs/BACKENDS.md. Work is a
// timer. Runs on one event loop; not thread safe.
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

/// How an instance behaves; changed at any time.
struct BackendKnobs {
  Milliseconds m_Work{20};
  bool m_FailAll = false;
  bool m_RefuseAll = false;
  std::uint64_t m_Truncate = 0;
  Milliseconds m_Late{0};
  bool m_Hang = false;
  bool m_Double = false;
  bool m_CloseIdle = false;
  bool m_Down = false;
  bool m_Reboot = false;
};

struct BackendSettings {
  std::string m_Id;
  Address m_Listen;
  std::size_t m_Slots = 8;
  std::size_t m_Connections = 64;
  std::uint64_t m_Seed = 1;
  BackendKnobs m_Knobs;
};

/// What an instance has done.
struct BackendCounts {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_GoneWaiting = 0;
  std::uint64_t m_Reboots = 0;
  /// IDs of requests that waited for a slot when a reboot cut them.
  std::vector<std::string> m_CutWaiting;
};

class BackendInstance {
public:
  static Expected<std::unique_ptr<BackendInstance>>
  create(EventLoop &Loop, RunLog &Log, BackendSettings Settings);
  BackendInstance(const BackendInstance &) = delete;
  BackendInstance &operator=(const BackendInstance &) = delete;

  const std::string &id() const { return m_Settings.m_Id; }
  const Address &address() const { return m_Http->address(); }
  const BackendKnobs &knobs() const { return m_Settings.m_Knobs; }
  /// Puts \p Knobs in force, also for what is in flight.
  void setKnobs(const BackendKnobs &Knobs);
  Json stats() const;

private:
  struct Work {
    HttpMessage m_Request;
    ExchangePtr m_Peer;
    Milliseconds m_Arrived{0};
    std::uint64_t m_Run = 0;
    EventLoop::TimerId m_Timer = 0;
    bool m_Done = false;
    bool m_ClientGone = false;
  };
  using WorkPtr = std::shared_ptr<Work>;

  BackendInstance(EventLoop &Loop, RunLog &Log, BackendSettings Settings);
  void onRequest(const HttpMessage &Request, const ExchangePtr &Peer);
  void answerHealth(const ExchangePtr &Peer);
  void enqueue(const HttpMessage &Request, const ExchangePtr &Peer);
  void fillSlots();
  void startRun(const WorkPtr &Item);
  void onWorkDone(const WorkPtr &Item);
  void endRun(const WorkPtr &Item);
  void sendAnswer(const WorkPtr &Item, HttpMessage Reply);
  HttpMessage makeAnswer(const Work &Item) const;
  Milliseconds drawWork(const HttpMessage &Request);
  void cutEverything();
  void endHangs();
  void cutWaiting();
  void cutRunning();

  EventLoop &m_Loop;
  RunLog &m_Log;
  BackendSettings m_Settings;
  std::unique_ptr<HttpServer> m_Http;
  std::mt19937_64 m_Random;
  BackendCounts m_Counts;
  std::deque<WorkPtr> m_Waiting;
  std::vector<WorkPtr> m_Running;
  std::vector<WorkPtr> m_Hanging;
};

} // namespace standin

#endif // STANDIN_BACKEND_BACKENDINSTANCE_H
