//===- Evidence.h - Runs and states recorded by the stand-ins ---*- C++ -*-===//

#ifndef STANDIN_LOAD_EVIDENCE_H
#define STANDIN_LOAD_EVIDENCE_H

#include "common/HttpConnection.h"
#include "common/Program.h"
#include "load/LoadOptions.h"
#include <unordered_set>

namespace standin {

/// A run of a request as recorded by a backend stand-in.
struct RunRecord {
  /// Number of the run on its instance.
  std::uint64_t m_Number = 0;
  std::string m_RequestId;
  std::string m_Instance;
  /// Wall-clock times since the Unix epoch.
  Milliseconds m_Arrived{0};
  Milliseconds m_Start{0};
  bool m_IsRunning = false;
  /// True if a reboot of the instance aborted the run.
  bool m_IsCut = false;
};

/// A change of an instance's state as recorded by the platform stand-in.
struct StateChange {
  std::string m_Instance;
  /// Wall-clock time since the Unix epoch.
  Milliseconds m_Time{0};
  bool m_IsLive = false;
};

/// What the stand-ins recorded about the load. The oracle compares it with the
/// outcomes that the clients received.
struct Evidence {
  std::vector<RunRecord> m_Runs;
  /// IDs of requests that a reboot aborted while they waited for a slot.
  std::vector<std::string> m_CutWaiting;
  /// State changes of all instances; those of one instance in order of time.
  std::vector<StateChange> m_StateChanges;
  /// Sources that did not answer or sent a malformed reply.
  std::vector<std::string> m_Missing;
};

/// Fetches the evidence about the requests with the given IDs from all
/// stand-ins. Not thread safe.
class EvidenceFetcher {
public:
  /// \p Loop and \p Options must outlive the fetcher.
  EvidenceFetcher(EventLoop &Loop, const LoadOptions &Options,
                  std::unordered_set<std::string> Ids);
  /// Fetches repeatedly until no run is in progress or the settle timeout of
  /// the options has passed, then calls \p OnDone with the last result.
  void start(std::function<void(Evidence Fetched)> OnDone);

private:
  using ReadReply = void (EvidenceFetcher::*)(const Json &Body);
  void fetchAll();
  void fetch(const Address &ServerAddress, const std::string &Target,
             ReadReply Read);
  void readRuns(const Json &Body);
  void readStats(const Json &Body);
  void readStateChanges(const Json &Body);
  void onFetched();
  bool isAnyRunning() const;

  EventLoop &m_Loop;
  const LoadOptions &m_Options;
  std::unordered_set<std::string> m_Ids;
  std::function<void(Evidence)> m_OnDone;
  SteadyClock::time_point m_SettleDeadline;
  std::size_t m_Pending = 0;
  Evidence m_Evidence;
};

} // namespace standin

#endif // STANDIN_LOAD_EVIDENCE_H
