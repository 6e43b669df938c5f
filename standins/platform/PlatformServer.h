//===- PlatformServer.h - HTTP server of the simulated platform -*- C++ -*-===//
//
// Serves the calls of docs/PLATFORM.md, carries out reboots, and injects the
// faults that are set over POST /knobs. Runs on one event loop; not thread
// safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_PLATFORM_PLATFORMSERVER_H
#define STANDIN_PLATFORM_PLATFORMSERVER_H

#include "common/HttpServer.h"
#include "common/Program.h"
#include "platform/Fleet.h"
#include "platform/Table.h"

namespace standin {

/// Injected faults and the times of reboots.
struct PlatformKnobs {
  /// Closes the connection of every call without a reply.
  bool m_Outage = false;
  /// Delay before a call is executed.
  Milliseconds m_Delay{0};
  /// Number of successful transactions whose replies are still to be lost.
  std::uint64_t m_RepliesToLose = 0;
  /// Number of calls that are still to fail with status 503 without effect.
  std::uint64_t m_CallsToFail = 0;
  /// Age of the served list of instances.
  Milliseconds m_ListAge{0};
  /// Time during which a rebooted instance is gone.
  Milliseconds m_GoneTime{1000};
  /// Time during which the instance is leaving before that.
  Milliseconds m_LeavingTime{100};
  /// IDs of the instances that stay gone after a reboot.
  std::set<std::string> m_StayGone;
};

/// Counters since the start.
struct PlatformCounts {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_ListReads = 0;
  std::uint64_t m_ObjectReads = 0;
  std::uint64_t m_ObjectWrites = 0;
  std::uint64_t m_Reboots = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_LostReplies = 0;
};

class PlatformServer {
public:
  static Expected<std::unique_ptr<PlatformServer>>
  create(EventLoop &Loop, const Address &ListenAddress);

  const Address &address() const { return m_Http->address(); }
  /// Adds the instances of {"instances": [...]} or of a plain array. Adds none
  /// if one has an unknown state. Throws Json::exception if a field is missing
  /// or has another type.
  Expected<void> addInstances(const Json &List);

private:
  using CallHandler =
      HttpMessage (PlatformServer::*)(const HttpMessage &Request);
  struct RouteEntry {
    const char *m_Method;
    const char *m_Path;
    /// True if a request's path must continue after m_Path; false if it must
    /// be equal to it.
    bool m_IsPrefix;
    CallHandler m_Handler;
  };
  static const RouteEntry Routes[];

  explicit PlatformServer(EventLoop &Loop) : m_Loop(Loop) {}
  void onRequest(const HttpMessage &Request, const ExchangePtr &Peer);
  void serveCall(const HttpMessage &Request, const ExchangePtr &Peer);
  HttpMessage dispatch(const HttpMessage &Request);

  HttpMessage transact(const HttpMessage &Request);
  HttpMessage read(const HttpMessage &Request);
  HttpMessage scan(const HttpMessage &Request);
  HttpMessage changes(const HttpMessage &Request);
  HttpMessage putObject(const HttpMessage &Request);
  HttpMessage getObject(const HttpMessage &Request);
  HttpMessage listInstances(const HttpMessage &Request);
  HttpMessage requestReboot(const HttpMessage &Request);
  HttpMessage setKnobs(const HttpMessage &Request);
  HttpMessage postInstances(const HttpMessage &Request);
  HttpMessage postState(const HttpMessage &Request);
  HttpMessage listChanges(const HttpMessage &Request);
  HttpMessage stats(const HttpMessage &Request);

  HttpMessage rowsReply(const std::vector<TableRow> &Rows) const;
  /// The steps of a reboot, each of which schedules the next.
  void startLeaving(const std::string &Id);
  void stopInstance(const std::string &Id);
  void returnInstance(const std::string &Id);
  /// Sets the reboot state of the simulated backend server of \p Id. Repeats
  /// the request until there is a reply and calls \p OnDone then; calls it at
  /// once if the instance has no control address.
  void setBackendRebooting(const std::string &Id, bool Rebooting,
                           std::function<void()> OnDone);

  EventLoop &m_Loop;
  std::unique_ptr<HttpServer> m_Http;
  Table m_Table;
  Fleet m_Fleet;
  std::map<std::string, std::string> m_Objects;
  PlatformKnobs m_Knobs;
  PlatformCounts m_Counts;
};

} // namespace standin

#endif // STANDIN_PLATFORM_PLATFORMSERVER_H
