//===- BackendInstance.cpp - Simulated backend server ---------------------===//

#include "backend/BackendInstance.h"
#include "common/Hash.h"
#include <algorithm>
#include <charconv>
#include <cmath>

namespace standin {

namespace {

/// Standard deviation of the logarithm of the run times.
constexpr double RunTimeLogSigma = 0.5;
constexpr int NoStatus = 0;

bool isRepeatable(const HttpMessage &Request) {
  const std::string_view Declared = Request.header("Pollenspool-Repeatable");
  if (!Declared.empty())
    return Declared == "true";
  return Request.m_Method == "GET" || Request.m_Method == "HEAD";
}

HttpMessage notRunReply() {
  HttpMessage Reply = jsonReply(503, errorJson("not run"));
  Reply.addHeader("Pollenspool-Not-Run", "1");
  return Reply;
}

template <typename List, typename Element>
void removeElement(List &Elements, const Element &Removed) {
  Elements.erase(std::remove(Elements.begin(), Elements.end(), Removed),
                 Elements.end());
}

} // namespace

BackendInstance::BackendInstance(EventLoop &Loop, RunLog &Log,
                                 BackendSettings Settings)
    : m_Loop(Loop), m_Log(Log), m_Settings(std::move(Settings)),
      m_RandomGenerator(m_Settings.m_Seed) {}

Expected<std::unique_ptr<BackendInstance>>
BackendInstance::create(EventLoop &Loop, RunLog &Log,
                        BackendSettings Settings) {
  std::unique_ptr<BackendInstance> Instance(
      new BackendInstance(Loop, Log, std::move(Settings)));
  BackendInstance *const Raw = Instance.get();
  BOOST_OUTCOME_TRY(
      Http, HttpServer::create(
                Loop, Raw->m_Settings.m_Listen,
                [Raw](const HttpMessage &Request, const ExchangePtr &Peer) {
                  Raw->onRequest(Request, Peer);
                },
                Raw->m_Settings.m_MaxConnections));
  Instance->m_Http = std::move(Http);
  return Instance;
}

void BackendInstance::onRequest(const HttpMessage &Request,
                                const ExchangePtr &Peer) {
  if (knobs().m_CloseIdle)
    Peer->closeAfterReply();
  if (Request.path() == "/health") {
    replyToHealthCheck(Peer);
    return;
  }
  ++m_Counts.m_Requests;
  if (knobs().m_RefuseAll) {
    ++m_Counts.m_Refused;
    Peer->reply(notRunReply());
    return;
  }
  enqueue(Request, Peer);
}

void BackendInstance::replyToHealthCheck(const ExchangePtr &Peer) {
  // A hanging instance does not answer health checks either.
  if (knobs().m_Hang)
    return;
  if (knobs().m_RefuseAll) {
    Peer->reply(jsonReply(503, errorJson("instance takes no requests")));
    return;
  }
  Peer->reply(jsonReply(200, Json{{"instance", id()}}.dump()));
}

void BackendInstance::enqueue(const HttpMessage &Request,
                              const ExchangePtr &Peer) {
  ActiveRequestPtr Active = std::make_shared<ActiveRequest>();
  Active->m_Request = Request;
  Active->m_Peer = Peer;
  Active->m_ArrivalTime = wallTime();
  Peer->setOnGone([this, Weak = std::weak_ptr<ActiveRequest>(Active)] {
    const ActiveRequestPtr Disconnected = Weak.lock();
    if (!Disconnected)
      return;
    Disconnected->m_ClientDisconnected = true;
    if (Disconnected->m_RunNumber == 0) {
      ++m_Counts.m_DisconnectedWhileWaiting;
      removeElement(m_Waiting, Disconnected);
    }
  });
  m_Waiting.push_back(std::move(Active));
  fillSlots();
}

void BackendInstance::fillSlots() {
  while (!m_Waiting.empty() && m_Running.size() < m_Settings.m_Slots) {
    const ActiveRequestPtr Next = m_Waiting.front();
    m_Waiting.pop_front();
    startRun(Next);
  }
}

void BackendInstance::startRun(const ActiveRequestPtr &Active) {
  Run Started;
  Started.m_RequestId = Active->m_Request.header("Pollenspool-Request-Id");
  Started.m_Service = Active->m_Request.header("Pollenspool-Service");
  Started.m_Instance = id();
  Started.m_Repeatable = isRepeatable(Active->m_Request);
  Started.m_ArrivalTime = Active->m_ArrivalTime;
  Active->m_RunNumber = m_Log.start(std::move(Started));
  m_Running.push_back(Active);
  const Milliseconds RunTime =
      knobs().m_FailAll ? Milliseconds::zero() : drawRunTime(Active->m_Request);
  Active->m_Timer =
      m_Loop.after(RunTime, [this, Active] { onRunTimeElapsed(Active); });
}

Milliseconds BackendInstance::drawRunTime(const HttpMessage &Request) {
  const std::vector<std::string> WorkTimes = Request.queryValues("work_ms");
  if (!WorkTimes.empty()) {
    std::int64_t Exact = 0;
    std::from_chars(WorkTimes.front().data(),
                    WorkTimes.front().data() + WorkTimes.front().size(), Exact);
    return Milliseconds(std::max<std::int64_t>(Exact, 0));
  }
  // A log-normal distribution with these parameters has the mean m_MeanRunTime.
  const double Mean = static_cast<double>(knobs().m_MeanRunTime.count());
  std::lognormal_distribution<double> Draw(
      -RunTimeLogSigma * RunTimeLogSigma / 2, RunTimeLogSigma);
  return Milliseconds(
      static_cast<std::int64_t>(std::lround(Mean * Draw(m_RandomGenerator))));
}

void BackendInstance::onRunTimeElapsed(const ActiveRequestPtr &Active) {
  Active->m_Timer = 0;
  if (knobs().m_Hang) {
    m_Hanging.push_back(Active);
    return;
  }
  endRun(Active);
}

void BackendInstance::endRun(const ActiveRequestPtr &Active) {
  Active->m_HasEnded = true;
  removeElement(m_Running, Active);
  HttpMessage Reply = makeReply(*Active);
  m_Log.end(Active->m_RunNumber,
            Active->m_ClientDisconnected ? RunState::Abandoned
                                         : RunState::Answered,
            Reply.m_Status);
  if (knobs().m_ReplyDelay == Milliseconds::zero())
    sendReply(Active, std::move(Reply));
  else
    m_Loop.after(
        knobs().m_ReplyDelay,
        [this, Active, Reply = std::move(Reply)] { sendReply(Active, Reply); });
  fillSlots();
}

HttpMessage BackendInstance::makeReply(const ActiveRequest &Active) const {
  const std::string RequestId(
      Active.m_Request.header("Pollenspool-Request-Id"));
  const Json Body = {{"request_id", RequestId},
                     {"instance", id()},
                     {"run", Active.m_RunNumber},
                     {"echo", echoHash(Active.m_Request.m_Body)}};
  HttpMessage Reply =
      jsonReply(knobs().m_FailAll ? 500 : 200,
                Body.dump(-1, ' ', false, Json::error_handler_t::replace));
  Reply.addHeader("Pollenspool-Request-Id", RequestId);
  return Reply;
}

void BackendInstance::sendReply(const ActiveRequestPtr &Active,
                                HttpMessage Reply) {
  if (knobs().m_CloseIdle)
    Active->m_Peer->closeAfterReply();
  BackendKnobs &Knobs = m_Settings.m_Knobs;
  if (Knobs.m_RepliesToTruncate > 0) {
    --Knobs.m_RepliesToTruncate;
    Active->m_Peer->replyTruncated(Reply);
  } else if (Knobs.m_DuplicateReplies) {
    Active->m_Peer->replyTwice(Reply);
  } else {
    Active->m_Peer->reply(Reply);
  }
}

void BackendInstance::setKnobs(const BackendKnobs &Knobs) {
  const BackendKnobs Old = knobs();
  m_Settings.m_Knobs = Knobs;
  m_Http->setListening(!Knobs.m_Down && !Knobs.m_Reboot);
  if (Knobs.m_Reboot && !Old.m_Reboot)
    simulateReboot();
  if (Old.m_Hang && !Knobs.m_Hang)
    resumeHanging();
  if (Knobs.m_CloseIdle)
    m_Http->closeIdle();
}

void BackendInstance::resumeHanging() {
  std::vector<ActiveRequestPtr> Resumed;
  Resumed.swap(m_Hanging);
  for (const ActiveRequestPtr &Active : Resumed)
    if (!Active->m_HasEnded)
      endRun(Active);
}

void BackendInstance::simulateReboot() {
  ++m_Counts.m_Reboots;
  dropWaiting();
  terminateRunning();
  m_Http->resetAll();
}

void BackendInstance::dropWaiting() {
  std::deque<ActiveRequestPtr> Waiting;
  Waiting.swap(m_Waiting);
  for (const ActiveRequestPtr &Active : Waiting)
    m_Counts.m_WaitingAtReboot.emplace_back(
        Active->m_Request.header("Pollenspool-Request-Id"));
}

void BackendInstance::terminateRunning() {
  std::vector<ActiveRequestPtr> Running;
  Running.swap(m_Running);
  m_Hanging.clear();
  for (const ActiveRequestPtr &Active : Running) {
    m_Loop.cancel(Active->m_Timer);
    Active->m_HasEnded = true;
    m_Log.end(Active->m_RunNumber,
              Active->m_ClientDisconnected ? RunState::Abandoned
                                           : RunState::TerminatedByReboot,
              NoStatus);
  }
}

Json BackendInstance::stats() const {
  return {{"id", id()},
          {"address", address().text()},
          {"connections", m_Http->connectionCount()},
          {"running", m_Running.size()},
          {"waiting", m_Waiting.size()},
          {"requests", m_Counts.m_Requests},
          {"refused", m_Counts.m_Refused},
          {"gone_waiting", m_Counts.m_DisconnectedWhileWaiting},
          {"reboots", m_Counts.m_Reboots},
          {"cut_waiting", m_Counts.m_WaitingAtReboot}};
}

} // namespace standin
