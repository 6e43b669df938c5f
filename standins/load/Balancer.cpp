//===- Balancer.cpp - Chooses an entry instance per attempt ---------------===//

#include "load/Balancer.h"
#include <algorithm>

namespace standin {

namespace {

constexpr Milliseconds PollInterval{200};
constexpr Milliseconds PollTimeout{1000};
/// Connections that were idle for longer are closed and not reused, because
/// the entry may be about to close them.
constexpr Milliseconds MaxIdleTime{1000};
constexpr int HttpOk = 200;

} // namespace

Balancer::Balancer(EventLoop &Loop, Settings InitialSettings)
    : m_Loop(Loop), m_Settings(std::move(InitialSettings)),
      m_Random(m_Settings.m_Seed) {
  for (const Address &EntryAddress : m_Settings.m_Entries) {
    Entry Added;
    Added.m_Address = EntryAddress;
    m_Entries.push_back(std::move(Added));
  }
}

void Balancer::startPolling() {
  for (std::size_t I = 0; I < m_Entries.size(); ++I)
    poll(I);
}

void Balancer::poll(std::size_t Index) {
  callOnce(m_Loop, m_Entries[Index].m_Address,
           getRequest(m_Settings.m_HealthPath), PollTimeout,
           [this, Index](const HttpResult &Result) {
             m_Entries[Index].m_IsHealthy =
                 Result.m_Kind == HttpResult::Kind::Reply &&
                 Result.m_Reply.m_Status == HttpOk;
             m_Loop.after(PollInterval, [this, Index] { poll(Index); });
           });
}

bool Balancer::isAnyHealthy() const {
  return std::any_of(
      m_Entries.begin(), m_Entries.end(),
      [](const Entry &Candidate) { return Candidate.m_IsHealthy; });
}

std::optional<std::size_t>
Balancer::pick(const std::vector<std::size_t> &Excluded) {
  std::vector<std::size_t> Choices;
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    const bool IsExcluded =
        std::find(Excluded.begin(), Excluded.end(), I) != Excluded.end();
    if (m_Entries[I].m_IsHealthy && !IsExcluded)
      Choices.push_back(I);
  }
  if (Choices.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Choices.size() - 1);
  return Choices[Draw(m_Random)];
}

Balancer::ConnectionPtr Balancer::acquireConnection(Entry &Target) {
  const SteadyClock::time_point Oldest = SteadyClock::now() - MaxIdleTime;
  while (!Target.m_Idle.empty()) {
    const IdleConnection Last = std::move(Target.m_Idle.back());
    Target.m_Idle.pop_back();
    if (Last.m_Connection->isReusable() && Last.m_IdleSince > Oldest)
      return Last.m_Connection;
    Last.m_Connection->close();
  }
  return HttpConnection::open(m_Loop, Target.m_Address);
}

void Balancer::call(std::size_t Index, const HttpMessage &Request,
                    Milliseconds Timeout, HttpConnection::OnResult Done) {
  const ConnectionPtr Connection = acquireConnection(m_Entries[Index]);
  Connection->call(
      Request, Timeout,
      [this, Index, Connection, Done = std::move(Done)](HttpResult Result) {
        if (Result.m_Kind == HttpResult::Kind::NotSent)
          m_Entries[Index].m_IsHealthy = false;
        if (m_Settings.m_UsesKeepAlive && Connection->isReusable())
          m_Entries[Index].m_Idle.push_back({Connection, SteadyClock::now()});
        else
          Connection->close();
        Done(std::move(Result));
      });
}

} // namespace standin
