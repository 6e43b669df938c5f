//===- PlatformServer.h - The HTTP face of the platform ---------*- C++ -*-===//
//
// Answers the calls of docs/PLATFORM.md, carries reboots out, and fails in the
// ways that its knobs say. Runs on one event loop; not thread safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_PLATFORM_PLATFORMSERVER_H
#define STANDIN_PLATFORM_PLATFORMSERVER_H

#include "common/HttpServer.h"
#include "common/Program.h"
#include "platform/Fleet.h"
#include "platform/Table.h"

namespace standin {

/// How the platform fails.
struct PlatformKnobs {
  /// Closes the connection of every call without an answer.
  bool m_Outage = false;
  Milliseconds m_Delay{0};
  /// Transactions that take effect without an answer.
  std::uint64_t m_LoseReplies = 0;
  /// Calls that answer 503 and do nothing.
  std::uint64_t m_FailNext = 0;
  Milliseconds m_ListLag{0};
  /// How long an instance that is rebooted stays gone.
  Milliseconds m_Reboot{1000};
  /// How long it is leaving before that.
  Milliseconds m_Leaving{100};
  /// Instances that stay gone when they are rebooted.
  std::set<std::string> m_NoReturn;
};

/// What the platform was asked for.
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
  static Expected<std::unique_ptr<PlatformServer>> create(EventLoop &Loop,
                                                          const Address &Where);

  const Address &address() const { return m_Http->address(); }
  /// Adds the instances of {"instances": [...]} or of a bare list.
  Expected<void> addInstances(const Json &List);

private:
  using Route = HttpMessage (PlatformServer::*)(const HttpMessage &Request);
  struct RouteEntry {
    const char *m_Method;
    const char *m_Prefix;
    /// True if the path goes on behind the prefix.
    bool m_HasRest;
    Route m_Handle;
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
  HttpMessage truth(const HttpMessage &Request);
  HttpMessage stats(const HttpMessage &Request);

  HttpMessage rowsReply(const std::vector<TableRow> &Rows) const;
  void beginLeaving(const std::string &Id);
  void beginGone(const std::string &Id);
  void comeBack(const std::string &Id);
  /// Tells the backend stand-in of \p Id to stop or to return, until it says
  /// that it did; \p OnDone runs then.
  void tellBackend(const std::string &Id, bool Rebooting,
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
