//===- Log.cpp - Structured logging of catalogued events ------------------===//

#include "base/Log.h"
#include "base/BoundedWriter.h"
#include "base/JsonText.h"
#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace pollenspool {

namespace {

namespace logging = boost::log;

/// Limit of the bytes that are buffered while the reader of the log is slow:
/// enough for several seconds of a busy instance.
constexpr std::size_t MaxPendingBytes = 256 * 1024;
/// Maximum rate of lines; a busy instance writes a tenth of this.
constexpr std::uint64_t MaxLinesPerSecond = 1000;

/// A Boost.Log sink backend that writes to standard output without blocking.
/// Once a second it reports the lines dropped before, as a LogDropped event.
class BoundedLogBackend : public logging::sinks::basic_formatted_sink_backend<
                              char, logging::sinks::synchronized_feeding> {
public:
  void consume(const logging::record_view &, const std::string &Line) {
    auto Second = std::chrono::duration_cast<std::chrono::seconds>(
                      std::chrono::steady_clock::now().time_since_epoch())
                      .count();
    if (Second != m_Second) {
      m_Second = Second;
      m_LinesThisSecond = 0;
      std::uint64_t Dropped = m_OverRateLimit + m_Writer.takeDropped();
      m_OverRateLimit = 0;
      if (Dropped > 0)
        m_Writer.add("{\"event\":105,\"name\":\"LogDropped\",\"lines\":\"" +
                     std::to_string(Dropped) + "\"}");
    }
    if (++m_LinesThisSecond > MaxLinesPerSecond)
      ++m_OverRateLimit;
    else
      m_Writer.add(Line);
    m_Writer.flush();
  }

private:
  BoundedWriter m_Writer{STDOUT_FILENO, MaxPendingBytes};
  std::int64_t m_Second = 0;
  std::uint64_t m_LinesThisSecond = 0;
  std::uint64_t m_OverRateLimit = 0;
};

struct LogState {
  Severity m_MinSeverity = Severity::Info;
  std::string m_Process = "pollenspool";
};

LogState &logState() {
  static LogState State;
  return State;
}

const EventInfo &findEventInfo(Event Id) {
  const auto &All = eventCatalogue();
  auto It = std::lower_bound(
      All.begin(), All.end(), Id,
      [](const EventInfo &Info, Event Wanted) { return Info.m_Id < Wanted; });
  return *It;
}

} // namespace

const std::vector<EventInfo> &eventCatalogue() {
  static const std::vector<EventInfo> Catalogue = {
#define POLLENSPOOL_EVENT(Id, Name, Level, Text)                               \
  {Event::Name, #Name, Severity::Level, Text},
#include "base/Events.def"
#undef POLLENSPOOL_EVENT
  };
  return Catalogue;
}

std::string_view severityName(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return "debug";
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "error";
}

/// Makes \p Backend the only sink; messages are written unchanged.
template <typename T> void installBackend(const boost::shared_ptr<T> &Backend) {
  auto Frontend =
      boost::make_shared<logging::sinks::synchronous_sink<T>>(Backend);
  Frontend->set_formatter(logging::expressions::stream
                          << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(Frontend);
}

void setUpLog(Severity MinSeverity, std::string Process, LogTarget Target) {
  logState().m_MinSeverity = MinSeverity;
  logState().m_Process = std::move(Process);
  if (Target == LogTarget::StandardOutput)
    return installBackend(boost::make_shared<BoundedLogBackend>());
  auto Backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
  Backend->auto_flush(true);
  installBackend(Backend);
}

void logEvent(Event Id, const std::vector<Field> &Fields) {
  const EventInfo &Info = findEventInfo(Id);
  if (Info.m_Severity < logState().m_MinSeverity)
    return;
  auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  nlohmann::ordered_json Line;
  Line["time_ms"] = Now.count();
  Line["event"] = static_cast<int>(Info.m_Id);
  Line["name"] = Info.m_Name;
  Line["severity"] = severityName(Info.m_Severity);
  Line["process"] = logState().m_Process;
  for (const Field &F : Fields)
    Line[std::string(F.m_Key)] = F.m_Value;
  static logging::sources::severity_logger_mt<Severity> Logger;
  BOOST_LOG_SEV(Logger, Info.m_Severity) << jsonText(Line);
}

} // namespace pollenspool
