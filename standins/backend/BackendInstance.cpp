//===- BackendInstance.cpp - One backend server ---------------------------===//

#include "backend/BackendInstance.h"
#include "common/Hash.h"
#include <algorithm>
#include <charconv>
#include <cmath>

namespace standin {

namespace {

/// Shape of the run times: standard deviation of their logarithm.
constexpr double WorkSigma = 0.5;
constexpr int NoStatus = 0;

bool isRepeatable(const HttpMessage &Request) {
  const std::string_view Said = Request.header("Pollenspool-Repeatable");
  if (!Said.empty())
    return Said == "true";
  return Request.m_Method == "GET" || Request.m_Method == "HEAD";
}

HttpMessage notRunReply() {
  HttpMessage Reply = jsonReply(503, errorJson("not run"));
  Reply.addHeader("Pollenspool-Not-Run", "1");
  return Reply;
}

template <typename List, typename Item>
void removeItem(List &Items, const Item &Gone) {
  Items.erase(std::remove(Items.begin(), Items.end(), Gone), Items.end());
}

} // namespace

BackendInstance::BackendInstance(EventLoop &Loop, RunLog &Log,
                                 BackendSettings Settings)
    : m_Loop(Loop), m_Log(Log), m_Settings(std::move(Settings)),
      m_Random(m_Settings.m_Seed) {}

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
                Raw->m_Settings.m_Connections));
  Instance->m_Http = std::move(Http);
  return Instance;
}

void BackendInstance::onRequest(const HttpMessage &Request,
                                const ExchangePtr &Peer) {
  if (knobs().m_CloseIdle)
    Peer->closeAfterReply();
  if (Request.path() == "/health") {
    answerHealth(Peer);
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

void BackendInstance::answerHealth(const ExchangePtr &Peer) {
  // A hanging instance leaves its health check without an answer as well.
  if (knobs().m_Hang)
    return;
  if (knobs().m_RefuseAll) {
    Peer->reply(jsonReply(503, errorJson("takes no work")));
    return;
  }
  Peer->reply(jsonReply(200, Json{{"instance", id()}}.dump()));
}

void BackendInstance::enqueue(const HttpMessage &Request,
                              const ExchangePtr &Peer) {
  WorkPtr Item = std::make_shared<Work>();
  Item->m_Request = Request;
  Item->m_Peer = Peer;
  Item->m_Arrived = wallTime();
  Peer->setOnGone([this, Weak = std::weak_ptr<Work>(Item)] {
    const WorkPtr Gone = Weak.lock();
    if (!Gone)
      return;
    Gone->m_ClientGone = true;
    if (Gone->m_Run == 0) {
      ++m_Counts.m_GoneWaiting;
      removeItem(m_Waiting, Gone);
    }
  });
  m_Waiting.push_back(std::move(Item));
  fillSlots();
}

void BackendInstance::fillSlots() {
  while (!m_Waiting.empty() && m_Running.size() < m_Settings.m_Slots) {
    const WorkPtr Next = m_Waiting.front();
    m_Waiting.pop_front();
    startRun(Next);
  }
}

void BackendInstance::startRun(const WorkPtr &Item) {
  Run Started;
  Started.m_RequestId = Item->m_Request.header("Pollenspool-Request-Id");
  Started.m_Service = Item->m_Request.header("Pollenspool-Service");
  Started.m_Instance = id();
  Started.m_Repeatable = isRepeatable(Item->m_Request);
  Started.m_Arrived = Item->m_Arrived;
  Item->m_Run = m_Log.start(std::move(Started));
  m_Running.push_back(Item);
  const Milliseconds Takes =
      knobs().m_FailAll ? Milliseconds::zero() : drawWork(Item->m_Request);
  Item->m_Timer = m_Loop.after(Takes, [this, Item] { onWorkDone(Item); });
}

Milliseconds BackendInstance::drawWork(const HttpMessage &Request) {
  const std::vector<std::string> Said = Request.queryValues("work_ms");
  if (!Said.empty()) {
    std::int64_t Exact = 0;
    std::from_chars(Said.front().data(),
                    Said.front().data() + Said.front().size(), Exact);
    return Milliseconds(std::max<std::int64_t>(Exact, 0));
  }
  // The mean of this distribution is the instance's mean.
  const double Mean = static_cast<double>(knobs().m_Work.count());
  std::lognormal_distribution<double> Draw(-WorkSigma * WorkSigma / 2,
                                           WorkSigma);
  return Milliseconds(
      static_cast<std::int64_t>(std::lround(Mean * Draw(m_Random))));
}

void BackendInstance::onWorkDone(const WorkPtr &Item) {
  Item->m_Timer = 0;
  if (knobs().m_Hang) {
    m_Hanging.push_back(Item);
    return;
  }
  endRun(Item);
}

void BackendInstance::endRun(const WorkPtr &Item) {
  Item->m_Done = true;
  removeItem(m_Running, Item);
  HttpMessage Reply = makeAnswer(*Item);
  m_Log.end(Item->m_Run,
            Item->m_ClientGone ? RunState::Abandoned : RunState::Answered,
            Reply.m_Status);
  if (knobs().m_Late == Milliseconds::zero())
    sendAnswer(Item, std::move(Reply));
  else
    m_Loop.after(knobs().m_Late, [this, Item, Reply = std::move(Reply)] {
      sendAnswer(Item, Reply);
    });
  fillSlots();
}

HttpMessage BackendInstance::makeAnswer(const Work &Item) const {
  const std::string RequestId(Item.m_Request.header("Pollenspool-Request-Id"));
  const Json Body = {{"request_id", RequestId},
                     {"instance", id()},
                     {"run", Item.m_Run},
                     {"echo", echoHash(Item.m_Request.m_Body)}};
  HttpMessage Reply =
      jsonReply(knobs().m_FailAll ? 500 : 200,
                Body.dump(-1, ' ', false, Json::error_handler_t::replace));
  Reply.addHeader("Pollenspool-Request-Id", RequestId);
  return Reply;
}

void BackendInstance::sendAnswer(const WorkPtr &Item, HttpMessage Reply) {
  if (knobs().m_CloseIdle)
    Item->m_Peer->closeAfterReply();
  BackendKnobs &Knobs = m_Settings.m_Knobs;
  if (Knobs.m_Truncate > 0) {
    --Knobs.m_Truncate;
    Item->m_Peer->replyTruncated(Reply);
  } else if (Knobs.m_Double) {
    Item->m_Peer->replyTwice(Reply);
  } else {
    Item->m_Peer->reply(Reply);
  }
}

void BackendInstance::setKnobs(const BackendKnobs &Knobs) {
  const BackendKnobs Old = knobs();
  m_Settings.m_Knobs = Knobs;
  m_Http->setListening(!Knobs.m_Down && !Knobs.m_Reboot);
  if (Knobs.m_Reboot && !Old.m_Reboot)
    cutEverything();
  if (Old.m_Hang && !Knobs.m_Hang)
    endHangs();
  if (Knobs.m_CloseIdle)
    m_Http->closeIdle();
}

void BackendInstance::endHangs() {
  std::vector<WorkPtr> Freed;
  Freed.swap(m_Hanging);
  for (const WorkPtr &Item : Freed)
    if (!Item->m_Done)
      endRun(Item);
}

void BackendInstance::cutEverything() {
  ++m_Counts.m_Reboots;
  cutWaiting();
  cutRunning();
  m_Http->resetAll();
}

void BackendInstance::cutWaiting() {
  std::deque<WorkPtr> Waiting;
  Waiting.swap(m_Waiting);
  for (const WorkPtr &Item : Waiting)
    m_Counts.m_CutWaiting.emplace_back(
        Item->m_Request.header("Pollenspool-Request-Id"));
}

void BackendInstance::cutRunning() {
  std::vector<WorkPtr> Running;
  Running.swap(m_Running);
  m_Hanging.clear();
  for (const WorkPtr &Item : Running) {
    m_Loop.cancel(Item->m_Timer);
    Item->m_Done = true;
    m_Log.end(Item->m_Run,
              Item->m_ClientGone ? RunState::Abandoned : RunState::Cut,
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
          {"gone_waiting", m_Counts.m_GoneWaiting},
          {"reboots", m_Counts.m_Reboots},
          {"cut_waiting", m_Counts.m_CutWaiting}};
}

} // namespace standin
