//===- EntryMetrics.h - Metrics of an entry instance ------------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRYMETRICS_H
#define POLLENSPOOL_ENTRY_ENTRYMETRICS_H

#include "base/Time.h"
#include "entry/Entry.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "store/StoreTraffic.h"
#include <memory>
#include <string>
#include <vector>

namespace pollenspool {

/// Caller requests whose latency is measured.
enum class CallerCall : std::uint8_t { Submit, State, Cancel, Waiting };

/// The HTTP clients and servers of an entry instance, and what was read from
/// the store.
struct HttpClients {
  const HttpClient &m_Platform;
  const HttpClient &m_Backends;
  const StoreTraffic &m_Store;
  const std::vector<const HttpServer *> &m_Servers;
};

/// Request latencies and refusal counters, and the page with all metrics of the
/// instance. To be used on the event loop's thread.
class EntryMetrics {
public:
  static std::unique_ptr<EntryMetrics> create();
  ~EntryMetrics();

  /// Adds the latency of one request.
  void observe(CallerCall Call, Duration Took);
  /// Counts a request that was refused for \p Reason.
  void countRefusal(const std::string &Reason);
  /// Returns all metrics in the Prometheus text format.
  std::string render(const Entry &Service, const HttpClients &Clients) const;

private:
  struct Impl;
  explicit EntryMetrics(std::unique_ptr<Impl> P);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRYMETRICS_H
