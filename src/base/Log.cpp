//===- Log.cpp - Numbered, structured log events --------------------------===//

#include "base/Log.h"
#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

namespace logging = boost::log;
using Sink =
    logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

struct LogState {
  Severity m_Lowest = Severity::Info;
  std::string m_Process = "pollenspool";
};

LogState &state() {
  static LogState State;
  return State;
}

const EventInfo &infoOf(Event Id) {
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

void setUpLog(Severity Lowest, std::string Process) {
  state().m_Lowest = Lowest;
  state().m_Process = std::move(Process);
  auto Backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
  Backend->auto_flush(true);
  auto Front = boost::make_shared<Sink>(Backend);
  Front->set_formatter(logging::expressions::stream
                       << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(Front);
}

void logEvent(Event Id, const std::vector<Field> &Fields) {
  const EventInfo &Info = infoOf(Id);
  if (Info.m_Severity < state().m_Lowest)
    return;
  auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  nlohmann::ordered_json Line;
  Line["time_ms"] = Now.count();
  Line["event"] = static_cast<int>(Info.m_Id);
  Line["name"] = Info.m_Name;
  Line["severity"] = severityName(Info.m_Severity);
  Line["process"] = state().m_Process;
  for (const Field &F : Fields)
    Line[std::string(F.m_Key)] = F.m_Value;
  static logging::sources::severity_logger_mt<Severity> Logger;
  BOOST_LOG_SEV(Logger, Info.m_Severity) << Line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace pollenspool
