//===- EntryMetrics.h - What an entry instance counts -----------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRYMETRICS_H
#define POLLENSPOOL_ENTRY_ENTRYMETRICS_H

#include "base/Time.h"
#include "entry/Entry.h"
#include "net/HttpClient.h"
#include <memory>
#include <string>

namespace pollenspool {

/// Calls of callers whose time is measured.
enum class CallerCall : std::uint8_t { Submit, State, Cancel, Waiting };

/// Counters and histograms that belong to no part of their own, and the page
/// that shows all. One thread: the event loop's.
class EntryMetrics {
public:
  static std::unique_ptr<EntryMetrics> create();
  ~EntryMetrics();

  void observe(CallerCall Call, Duration Took);
  /// A request was answered without being served, for \p Reason.
  void countRefusal(const std::string &Reason);
  /// The page in the text format of Prometheus.
  std::string render(const Entry &Service, const HttpClient &Client) const;

private:
  struct Parts;
  explicit EntryMetrics(std::unique_ptr<Parts> P);
  std::unique_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRYMETRICS_H
