//===- Balancer.cpp - Picks an entry instance for each attempt ------------===//

#include "load/Balancer.h"
#include <algorithm>

namespace standin {

namespace {

constexpr Milliseconds PollInterval{200};
constexpr Milliseconds PollTimeout{1000};
/// Older connections are closed instead of used: the entry may be about to.
constexpr Milliseconds MaxIdle{1000};
constexpr int Healthy = 200;

} // namespace

Balancer::Balancer(EventLoop &Loop, Settings Given)
    : m_Loop(Loop), m_Settings(std::move(Given)), m_Random(m_Settings.m_Seed) {
  for (const Address &Where : m_Settings.m_Entries) {
    Entry Added;
    Added.m_Where = Where;
    m_Entries.push_back(std::move(Added));
  }
}

void Balancer::startPolling() {
  for (std::size_t I = 0; I < m_Entries.size(); ++I)
    poll(I);
}

void Balancer::poll(std::size_t Index) {
  callOnce(
      m_Loop, m_Entries[Index].m_Where, getRequest(m_Settings.m_HealthPath),
      PollTimeout, [this, Index](const HttpResult &Result) {
        m_Entries[Index].m_Healthy = Result.m_Kind == HttpResult::Kind::Reply &&
                                     Result.m_Reply.m_Status == Healthy;
        m_Loop.after(PollInterval, [this, Index] { poll(Index); });
      });
}

bool Balancer::isAnyHealthy() const {
  return std::any_of(m_Entries.begin(), m_Entries.end(),
                     [](const Entry &Asked) { return Asked.m_Healthy; });
}

std::optional<std::size_t>
Balancer::pick(const std::vector<std::size_t> &Excluded) {
  std::vector<std::size_t> Choices;
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    const bool IsExcluded =
        std::find(Excluded.begin(), Excluded.end(), I) != Excluded.end();
    if (m_Entries[I].m_Healthy && !IsExcluded)
      Choices.push_back(I);
  }
  if (Choices.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Choices.size() - 1);
  return Choices[Draw(m_Random)];
}

Balancer::ConnectionPtr Balancer::connectionTo(Entry &Used) {
  const SteadyClock::time_point Oldest = SteadyClock::now() - MaxIdle;
  while (!Used.m_Idle.empty()) {
    const Kept Last = std::move(Used.m_Idle.back());
    Used.m_Idle.pop_back();
    if (Last.m_Connection->isReusable() && Last.m_Since > Oldest)
      return Last.m_Connection;
    Last.m_Connection->close();
  }
  return HttpConnection::open(m_Loop, Used.m_Where);
}

void Balancer::call(std::size_t Index, const HttpMessage &Request,
                    Milliseconds Timeout, HttpConnection::OnResult Done) {
  const ConnectionPtr Connection = connectionTo(m_Entries[Index]);
  Connection->call(
      Request, Timeout,
      [this, Index, Connection, Done = std::move(Done)](HttpResult Result) {
        if (Result.m_Kind == HttpResult::Kind::NotSent)
          m_Entries[Index].m_Healthy = false;
        if (m_Settings.m_KeepsConnections && Connection->isReusable())
          m_Entries[Index].m_Idle.push_back({Connection, SteadyClock::now()});
        else
          Connection->close();
        Done(std::move(Result));
      });
}

} // namespace standin
