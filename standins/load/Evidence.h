//===- Evidence.h - What backends and platform saw of the load --*- C++ -*-===//

#ifndef STANDIN_LOAD_EVIDENCE_H
#define STANDIN_LOAD_EVIDENCE_H

#include "common/HttpConnection.h"
#include "common/Program.h"
#include "load/Options.h"
#include <unordered_set>

namespace standin {

/// A run that a backend stand-in recorded.
struct RunRecord {
  std::uint64_t m_Number = 0;
  std::string m_RequestId;
  std::string m_Instance;
  Milliseconds m_Arrived{0};
  Milliseconds m_Start{0};
  bool m_IsRunning = false;
  bool m_IsCut = false;
};

/// A change of an instance's state at the platform.
struct TruthChange {
  std::string m_Instance;
  Milliseconds m_Time{0};
  bool m_IsLive = false;
};

struct Evidence {
  std::vector<RunRecord> m_Runs;
  /// IDs of requests that were cut before they had a slot.
  std::vector<std::string> m_CutWaiting;
  /// By instance, oldest first.
  std::vector<TruthChange> m_Truth;
  /// Sources that did not answer.
  std::vector<std::string> m_Missing;
};

/// Fetches the evidence of the requests whose IDs are given. Not thread safe.
class EvidenceFetch {
public:
  EvidenceFetch(EventLoop &Loop, const LoadOptions &Options,
                std::unordered_set<std::string> Ids);
  /// Fetches until no run goes on, or the options' time to settle is over.
  void start(std::function<void(Evidence Fetched)> OnDone);

private:
  using ReadReply = void (EvidenceFetch::*)(const Json &Body);
  void fetchAll();
  void fetch(const Address &Where, const std::string &Target, ReadReply Read);
  void readRuns(const Json &Body);
  void readStats(const Json &Body);
  void readTruth(const Json &Body);
  void onFetched();
  bool isAnyRunning() const;

  EventLoop &m_Loop;
  const LoadOptions &m_Options;
  std::unordered_set<std::string> m_Ids;
  std::function<void(Evidence)> m_OnDone;
  SteadyClock::time_point m_SettledBy;
  std::size_t m_Pending = 0;
  Evidence m_Evidence;
};

} // namespace standin

#endif // STANDIN_LOAD_EVIDENCE_H
