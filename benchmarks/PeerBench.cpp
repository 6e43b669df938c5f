//===- PeerBench.cpp - The peer transport against plain sockets -----------===//
//
// PeerBench [--seconds N] [--body-bytes N]: echo calls through the transport
// and through a plain blocking socket per caller, in the same run, at 1, 8 and
// 64 callers. Prints calls per second, latency quantiles, the ratios, and the
// transport's bytes on the wire per call.
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

struct Load {
  std::chrono::seconds m_Length{2};
  std::size_t m_BodyBytes = 300;
};

struct Figures {
  double m_CallsPerSecond = 0;
  double m_MedianMicroseconds = 0;
  double m_P99Microseconds = 0;
};

/// One caller's call; true if the answer was right.
using Call = std::function<bool()>;

Figures measure(std::size_t Callers, std::chrono::seconds Length,
                const std::function<Call()> &MakeCall) {
  std::vector<std::vector<double>> Times(Callers);
  std::vector<std::thread> Threads;
  std::atomic<bool> Wrong{false};
  auto Begin = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      Call Next = MakeCall();
      while (std::chrono::steady_clock::now() - Begin < Length) {
        auto Start = std::chrono::steady_clock::now();
        if (!Next())
          Wrong = true;
        std::chrono::duration<double, std::micro> Took =
            std::chrono::steady_clock::now() - Start;
        Times[I].push_back(Took.count());
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::chrono::duration<double> Took = std::chrono::steady_clock::now() - Begin;
  if (Wrong) {
    std::cerr << "a call failed\n";
    std::exit(1);
  }
  std::vector<double> All;
  for (const std::vector<double> &Each : Times)
    All.insert(All.end(), Each.begin(), Each.end());
  std::sort(All.begin(), All.end());
  return {static_cast<double>(All.size()) / Took.count(), All[All.size() / 2],
          All[All.size() * 99 / 100]};
}

bool transfer(int Socket, char *Bytes, std::size_t Length, bool Sends) {
  std::size_t Done = 0;
  while (Done < Length) {
    ssize_t Count =
        Sends ? ::send(Socket, Bytes + Done, Length - Done, MSG_NOSIGNAL)
              : ::recv(Socket, Bytes + Done, Length - Done, 0);
    if (Count <= 0)
      return false;
    Done += static_cast<std::size_t>(Count);
  }
  return true;
}

FileDescriptor blocking(FileDescriptor Socket) {
  FileDescriptor Copy(::dup(Socket.get()));
  int Flags = ::fcntl(Copy.get(), F_GETFL);
  ::fcntl(Copy.get(), F_SETFL, Flags & ~O_NONBLOCK);
  return Copy;
}

/// Echoes bodies of a fixed length, one thread per connection.
class PlainEcho {
public:
  explicit PlainEcho(std::size_t BodyBytes)
      : m_BodyBytes(BodyBytes), m_Listener(listenOn("127.0.0.1:0").value()) {}

  ~PlainEcho() {
    for (std::thread &Thread : m_Threads)
      Thread.join();
  }

  /// A connection with its echoing thread, which ends with it.
  FileDescriptor connect() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    FileDescriptor Client = startConnect(boundAddress(m_Listener)).value();
    pollfd Wait{m_Listener.get(), POLLIN, 0};
    ::poll(&Wait, 1, -1);
    FileDescriptor Server = blocking(acceptFrom(m_Listener).value());
    m_Threads.emplace_back([this, Server = std::move(Server)] {
      std::string Body(m_BodyBytes, ' ');
      while (transfer(Server.get(), Body.data(), Body.size(), false) &&
             transfer(Server.get(), Body.data(), Body.size(), true)) {
      }
    });
    return blocking(std::move(Client));
  }

private:
  const std::size_t m_BodyBytes;
  FileDescriptor m_Listener;
  std::mutex m_Mutex;
  std::vector<std::thread> m_Threads;
};

std::unique_ptr<PeerTransport> transport(const char *Name, bool Serves) {
  PeerSettings Settings;
  Settings.m_Self = EntryId(Name);
  Settings.m_Listen = "127.0.0.1:0";
  std::vector<PeerRoute> Routes;
  if (Serves)
    Routes.push_back({"/echo", [](const PeerCall &Echoed) {
                        return Result<std::string>(Echoed.m_Body);
                      }});
  return PeerTransport::create(Settings, std::move(Routes)).value();
}

void print(const char *Name, std::size_t Callers, const Figures &Measured) {
  std::cout << std::setw(10) << Name << std::setw(8) << Callers << std::setw(12)
            << Measured.m_CallsPerSecond << std::setw(10)
            << Measured.m_MedianMicroseconds << std::setw(10)
            << Measured.m_P99Microseconds << "\n";
}

Load readLoad(int Argc, char **Argv) {
  Load Wanted;
  for (int I = 1; I + 1 < Argc; I += 2) {
    if (std::strcmp(Argv[I], "--seconds") == 0)
      Wanted.m_Length = std::chrono::seconds(std::atoi(Argv[I + 1]));
    else if (std::strcmp(Argv[I], "--body-bytes") == 0)
      Wanted.m_BodyBytes = static_cast<std::size_t>(std::atoi(Argv[I + 1]));
  }
  return Wanted;
}

} // namespace

int main(int Argc, char **Argv) {
  Load Wanted = readLoad(Argc, Argv);
  auto Server = transport("server", true);
  auto Client = transport("client", false);
  EntryId Target(Server->listenAddress());
  const std::string Body(Wanted.m_BodyBytes, 'b');
  std::uint64_t Calls = 0;
  std::cout << std::fixed << std::setprecision(1)
            << "       way callers     calls/s  p50 (us)  p99 (us)\n";
  for (std::size_t Callers : {1, 8, 64}) {
    PlainEcho Echo(Wanted.m_BodyBytes);
    Figures Plain = measure(Callers, Wanted.m_Length, [&] {
      auto Socket = std::make_shared<FileDescriptor>(Echo.connect());
      return [&Body, Socket, Answer = std::string(Body.size(), ' ')]() mutable {
        std::string Sent = Body;
        return transfer(Socket->get(), Sent.data(), Sent.size(), true) &&
               transfer(Socket->get(), Answer.data(), Answer.size(), false) &&
               Answer == Body;
      };
    });
    Figures Peer = measure(Callers, Wanted.m_Length, [&] {
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
  double PerCall =
      static_cast<double>(Traffic.m_WireBytesOut + Traffic.m_WireBytesIn) /
      static_cast<double>(Calls);
  std::cout << "wire bytes per call beyond the two bodies: "
            << PerCall - 2.0 * static_cast<double>(Wanted.m_BodyBytes) << "\n";
}
