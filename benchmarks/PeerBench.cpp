//===- PeerBench.cpp - Peer transport compared with plain sockets ---------===//
//
// PeerBench [--seconds N] [--body-bytes N]: measures echo calls through the
// transport and through a plain blocking socket per caller, in the same run, at
// 1, 8 and 64 callers. Prints calls per second, latency quantiles, the ratios,
// and the transport's bytes on the wire per call.
//
//===----------------------------------------------------------------------===//

#include "peer/PeerTransport.h"
#include "peer/Socket.h"
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

struct BenchmarkOptions {
  std::chrono::seconds m_Length{2};
  std::size_t m_BodyBytes = 300;
};

struct LatencyStats {
  double m_CallsPerSecond = 0;
  double m_MedianMicroseconds = 0;
  double m_P99Microseconds = 0;
};

/// Makes one call; returns true if the answer was correct.
using Call = std::function<bool()>;

LatencyStats measure(std::size_t Callers, std::chrono::seconds Length,
                     const std::function<Call()> &MakeCall) {
  std::vector<std::vector<double>> Times(Callers);
  std::vector<std::thread> Threads;
  std::atomic<bool> AnyFailed{false};
  auto Begin = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      Call Next = MakeCall();
      while (std::chrono::steady_clock::now() - Begin < Length) {
        auto Start = std::chrono::steady_clock::now();
        if (!Next())
          AnyFailed = true;
        std::chrono::duration<double, std::micro> Elapsed =
            std::chrono::steady_clock::now() - Start;
        Times[I].push_back(Elapsed.count());
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Begin;
  if (AnyFailed) {
    std::cerr << "a call failed or its answer was wrong\n";
    std::exit(1);
  }
  std::vector<double> All;
  for (const std::vector<double> &Each : Times)
    All.insert(All.end(), Each.begin(), Each.end());
  std::sort(All.begin(), All.end());
  return {static_cast<double>(All.size()) / Elapsed.count(),
          All[All.size() / 2], All[All.size() * 99 / 100]};
}

bool transfer(int Socket, char *Bytes, std::size_t Length, bool IsSend) {
  std::size_t Done = 0;
  while (Done < Length) {
    ssize_t Count =
        IsSend ? ::send(Socket, Bytes + Done, Length - Done, MSG_NOSIGNAL)
               : ::recv(Socket, Bytes + Done, Length - Done, 0);
    if (Count <= 0)
      return false;
    Done += static_cast<std::size_t>(Count);
  }
  return true;
}

FileDescriptor toBlocking(FileDescriptor Socket) {
  FileDescriptor Copy(::dup(Socket.get()));
  int Flags = ::fcntl(Copy.get(), F_GETFL);
  ::fcntl(Copy.get(), F_SETFL, Flags & ~O_NONBLOCK);
  return Copy;
}

/// A server that echoes bodies of a fixed length, with a thread per connection.
class SocketEchoServer {
public:
  explicit SocketEchoServer(std::size_t BodyBytes)
      : m_BodyBytes(BodyBytes), m_Listener(listenOn("127.0.0.1:0").value()) {}

  ~SocketEchoServer() {
    for (std::thread &Thread : m_Threads)
      Thread.join();
  }

  /// Opens a connection. Its server thread ends when the connection closes.
  FileDescriptor connect() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    FileDescriptor Client = startConnect(boundAddress(m_Listener)).value();
    pollfd Wait{m_Listener.get(), POLLIN, 0};
    ::poll(&Wait, 1, -1);
    FileDescriptor Server = toBlocking(acceptFrom(m_Listener).value());
    m_Threads.emplace_back([this, Server = std::move(Server)] {
      std::string Body(m_BodyBytes, ' ');
      while (transfer(Server.get(), Body.data(), Body.size(), false) &&
             transfer(Server.get(), Body.data(), Body.size(), true)) {
      }
    });
    return toBlocking(std::move(Client));
  }

private:
  const std::size_t m_BodyBytes;
  FileDescriptor m_Listener;
  std::mutex m_Mutex;
  std::vector<std::thread> m_Threads;
};

std::unique_ptr<PeerTransport> makeTransport(const char *Name, bool IsServer) {
  PeerSettings Settings;
  Settings.m_Self = EntryId(Name);
  Settings.m_Listen = "127.0.0.1:0";
  std::vector<PeerRoute> Routes;
  if (IsServer)
    Routes.push_back({"/echo", [](const PeerCall &Echoed) {
                        return Result<std::string>(Echoed.m_Body);
                      }});
  return PeerTransport::create(Settings, std::move(Routes)).value();
}

void print(const char *Name, std::size_t Callers,
           const LatencyStats &Measured) {
  std::cout << std::setw(10) << Name << std::setw(8) << Callers << std::setw(12)
            << Measured.m_CallsPerSecond << std::setw(10)
            << Measured.m_MedianMicroseconds << std::setw(10)
            << Measured.m_P99Microseconds << "\n";
}

BenchmarkOptions parseOptions(int Argc, char **Argv) {
  BenchmarkOptions Options;
  for (int I = 1; I + 1 < Argc; I += 2) {
    if (std::strcmp(Argv[I], "--seconds") == 0)
      Options.m_Length = std::chrono::seconds(std::atoi(Argv[I + 1]));
    else if (std::strcmp(Argv[I], "--body-bytes") == 0)
      Options.m_BodyBytes = static_cast<std::size_t>(std::atoi(Argv[I + 1]));
  }
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  BenchmarkOptions Options = parseOptions(Argc, Argv);
  auto Server = makeTransport("server", true);
  auto Client = makeTransport("client", false);
  EntryId Target(Server->listenAddress());
  const std::string Body(Options.m_BodyBytes, 'b');
  std::uint64_t Calls = 0;
  std::cout << std::fixed << std::setprecision(1)
            << "       way callers     calls/s  p50 (us)  p99 (us)\n";
  for (std::size_t Callers : {1, 8, 64}) {
    SocketEchoServer Echo(Options.m_BodyBytes);
    LatencyStats Plain = measure(Callers, Options.m_Length, [&] {
      auto Socket = std::make_shared<FileDescriptor>(Echo.connect());
      return [&Body, Socket, Answer = std::string(Body.size(), ' ')]() mutable {
        std::string Sent = Body;
        return transfer(Socket->get(), Sent.data(), Sent.size(), true) &&
               transfer(Socket->get(), Answer.data(), Answer.size(), false) &&
               Answer == Body;
      };
    });
    LatencyStats Peer = measure(Callers, Options.m_Length, [&] {
      return [&] {
        auto Answer = Client->call(Target, "/echo", Body, 10s);
        return Answer.has_value() && Answer.value() == Body;
      };
    });
    print("socket", Callers, Plain);
    print("transport", Callers, Peer);
    std::cout << "     ratio" << std::setw(8) << Callers << std::setw(12)
              << std::setprecision(3)
              << Peer.m_CallsPerSecond / Plain.m_CallsPerSecond
              << std::setprecision(1) << std::setw(10)
              << Peer.m_MedianMicroseconds / Plain.m_MedianMicroseconds
              << std::setw(10)
              << Peer.m_P99Microseconds / Plain.m_P99Microseconds << "\n";
  }
  PeerTraffic Traffic = Client->traffic();
  for (const PathTraffic &Path : Traffic.m_Paths)
    Calls += Path.m_MessagesOut;
  double WireBytesPerCall =
      static_cast<double>(Traffic.m_WireBytesOut + Traffic.m_WireBytesIn) /
      static_cast<double>(Calls);
  std::cout << "wire bytes per call beyond the two bodies: "
            << WireBytesPerCall - 2.0 * static_cast<double>(Options.m_BodyBytes)
            << "\n";
}
