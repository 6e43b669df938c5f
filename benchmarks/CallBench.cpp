//===- CallBench.cpp - Processor time of a call of HttpClient -------------===//
//
// CallBench [--seconds N] [--peers N] [--per-tick N] [--answer-ms N]: calls
// servers in a second thread over loopback, some calls per tick of a
// millisecond to one server after another. The servers answer after the given
// time. Prints the client thread's user and system time per call, without that
// of an event loop that only ticks.
//
//===----------------------------------------------------------------------===//

#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <future>
#include <iostream>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 1ms;
constexpr Duration WarmUpTime = 1s;
constexpr Duration SettleTime = 500ms;
constexpr Duration CallTimeout = 2s;
constexpr std::size_t RequestBytes = 200;
constexpr std::size_t ReplyBytes = 150;
constexpr ConnectionLimits Limits{6, 4096};

struct BenchmarkOptions {
  std::chrono::seconds m_Length{5};
  std::size_t m_Peers = 500;
  std::size_t m_CallsPerTick = 8;
  /// Time that the servers take for an answer.
  std::chrono::milliseconds m_AnswerTime{0};
};

/// Processor time of a thread in microseconds.
struct ProcessorUse {
  double m_User = 0;
  double m_System = 0;
};

double microseconds(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_usec);
}

ProcessorUse threadUse() {
  rusage Usage{};
  getrusage(RUSAGE_THREAD, &Usage);
  return {microseconds(Usage.ru_utime), microseconds(Usage.ru_stime)};
}

/// Measures what the thread uses from the creation on.
class Stopwatch {
public:
  ProcessorUse used() const {
    ProcessorUse Now = threadUse();
    return {Now.m_User - m_Start.m_User, Now.m_System - m_Start.m_System};
  }

private:
  ProcessorUse m_Start = threadUse();
};

std::string jsonOfSize(std::size_t Bytes) {
  std::string Text = R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"text":")";
  Text.append(Bytes - Text.size() - 2, 'x');
  return Text + "\"}";
}

/// Servers of one event loop in a thread of their own.
class PeerThread {
public:
  explicit PeerThread(const BenchmarkOptions &Options) : m_Options(Options) {
    auto Ready = m_Addresses.get_future();
    m_Thread = std::thread([this] { run(); });
    m_Peers = Ready.get();
  }
  ~PeerThread() {
    m_IsStopping = true;
    m_Thread.join();
  }
  PeerThread(const PeerThread &) = delete;
  PeerThread &operator=(const PeerThread &) = delete;

  const std::vector<std::string> &peers() const { return m_Peers; }

private:
  void run() {
    constexpr Duration StopCheckInterval = 20ms;
    auto Loop = EventLoop::create();
    std::vector<std::unique_ptr<HttpServer>> Servers;
    std::vector<std::string> Addresses;
    for (std::size_t N = 0; N < m_Options.m_Peers; ++N) {
      auto Server = HttpServer::create(
          *Loop, "127.0.0.1:0", {},
          [this, &Loop](const HttpRequest &, const HttpServer::Respond &Done) {
            answer(*Loop, Done);
          });
      if (!Server) {
        std::cerr << Server.error().m_Detail << "\n";
        std::exit(1);
      }
      Servers.push_back(std::move(Server.value()));
      Addresses.push_back("127.0.0.1:" +
                          std::to_string(Servers.back()->port()));
    }
    m_Addresses.set_value(std::move(Addresses));
    Loop->every(StopCheckInterval, [&] {
      if (m_IsStopping)
        Loop->stop();
    });
    Loop->run();
  }

  void answer(EventLoop &Loop, const HttpServer::Respond &Done) {
    HttpReply Reply{200, {{"Content-Type", "application/json"}}, m_ReplyBody};
    if (m_Options.m_AnswerTime == 0ms)
      return Done(std::move(Reply));
    Loop.after(m_Options.m_AnswerTime, [Done, Reply] { Done(Reply); });
  }

  const BenchmarkOptions &m_Options;
  const std::string m_ReplyBody = jsonOfSize(ReplyBytes);
  std::promise<std::vector<std::string>> m_Addresses;
  std::atomic<bool> m_IsStopping{false};
  std::vector<std::string> m_Peers;
  std::thread m_Thread;
};

/// The side that is measured.
class Caller {
public:
  Caller(const BenchmarkOptions &Options, const std::vector<std::string> &Peers)
      : m_Options(Options), m_Peers(Peers), m_Loop(EventLoop::create()),
        m_Client(HttpClient::create(*m_Loop, "bench", Limits)) {
    m_Loop->every(TickInterval, [this] { tick(); });
  }

  /// Calls until all servers have connections, then measures.
  void run() {
    m_CallsPerTick = m_Options.m_CallsPerTick;
    m_Loop->after(WarmUpTime, [this] {
      m_Answered = 0;
      Stopwatch Watch;
      m_Loop->after(m_Options.m_Length, [this, Watch] {
        m_Calling = Watch.used();
        m_Calls = m_Answered;
        m_CallsPerTick = 0;
        m_Loop->after(SettleTime, [this] { measureTicks(); });
      });
    });
    m_Loop->run();
  }

  void print() const {
    auto Calls = static_cast<double>(m_Calls);
    double User = (m_Calling.m_User - m_Ticking.m_User) / Calls;
    double System = (m_Calling.m_System - m_Ticking.m_System) / Calls;
    std::printf("%10s %8s %10s %10s %10s %8s\n", "calls", "failed", "user us",
                "system us", "sum us", "conns");
    std::printf(
        "%10.0f %8llu %10.2f %10.2f %10.2f %8llu\n", Calls,
        static_cast<unsigned long long>(m_Failed), User, System, User + System,
        static_cast<unsigned long long>(m_Client->counters().m_Connections));
  }

  bool isComplete() const { return m_Calls > 0 && m_Failed == 0; }

private:
  void measureTicks() {
    Stopwatch Watch;
    m_Loop->after(m_Options.m_Length, [this, Watch] {
      m_Ticking = Watch.used();
      m_Loop->stop();
    });
  }

  void tick() {
    for (std::size_t N = 0; N < m_CallsPerTick; ++N)
      call(m_Peers[m_NextPeer++ % m_Peers.size()]);
  }

  void call(const std::string &Peer) {
    m_Client->call(Peer,
                   {"POST",
                    "/run-start",
                    {{"Content-Type", "application/json"},
                     {"X-Expected-Instance", "minion-1f2e3d4c5b6a7980"}},
                    m_RequestBody},
                   CallTimeout, [this](const Result<HttpReply> &Reply) {
                     if (Reply && Reply.value().m_Body.size() == ReplyBytes)
                       ++m_Answered;
                     else
                       ++m_Failed;
                   });
  }

  const BenchmarkOptions &m_Options;
  const std::vector<std::string> &m_Peers;
  const std::string m_RequestBody = jsonOfSize(RequestBytes);
  std::unique_ptr<EventLoop> m_Loop;
  std::unique_ptr<HttpClient> m_Client;
  std::size_t m_CallsPerTick = 0;
  std::size_t m_NextPeer = 0;
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Calls = 0;
  ProcessorUse m_Calling;
  /// Of the loop without calls.
  ProcessorUse m_Ticking;
};

bool parse(int Count, char **Arguments, BenchmarkOptions &Options) {
  for (int I = 1; I + 1 < Count; I += 2) {
    auto Value = std::strtoul(Arguments[I + 1], nullptr, 10);
    if (std::strcmp(Arguments[I], "--seconds") == 0)
      Options.m_Length = std::chrono::seconds(Value);
    else if (std::strcmp(Arguments[I], "--peers") == 0)
      Options.m_Peers = Value;
    else if (std::strcmp(Arguments[I], "--per-tick") == 0)
      Options.m_CallsPerTick = Value;
    else if (std::strcmp(Arguments[I], "--answer-ms") == 0)
      Options.m_AnswerTime = std::chrono::milliseconds(Value);
    else
      return false;
  }
  return Count % 2 == 1 && Options.m_Peers > 0 && Options.m_CallsPerTick > 0;
}

} // namespace

int main(int Count, char **Arguments) {
  BenchmarkOptions Options;
  if (!parse(Count, Arguments, Options)) {
    std::cerr << "usage: CallBench [--seconds N] [--peers N] [--per-tick N] "
                 "[--answer-ms N]\n";
    return 2;
  }
  PeerThread Peers(Options);
  Caller Calls(Options, Peers.peers());
  Calls.run();
  Calls.print();
  return Calls.isComplete() ? 0 : 1;
}
