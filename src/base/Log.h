//===- Log.h - Structured logging of catalogued events ----------*- C++ -*-===//
//
// Events.def defines the number, name, severity and text of each event;
// docs/EVENTS.md is generated from it. Each log line is one JSON object.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_LOG_H
#define POLLENSPOOL_BASE_LOG_H

#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

enum class Severity { Debug, Info, Warning, Error };

/// The log events; the values are the catalogue numbers.
enum class Event : int {
#define POLLENSPOOL_EVENT(Id, Name, Level, Text) Name = Id,
#include "base/Events.def"
#undef POLLENSPOOL_EVENT
};

/// One entry of the event catalogue.
struct EventInfo {
  Event m_Id;
  std::string_view m_Name;
  Severity m_Severity;
  std::string_view m_Text;
};

/// One key and its value in a log line.
struct Field {
  std::string_view m_Key;
  std::string m_Value;
};

/// All events in ascending order of their numbers. Thread safe.
const std::vector<EventInfo> &eventCatalogue();

/// The lower-case name of \p Level as used in log lines. Thread safe.
std::string_view severityName(Severity Level);

/// Where log lines are written. Writes to standard error may block on its
/// reader. Writes to standard output never block: lines that cannot be written
/// are dropped and counted.
enum class LogTarget { StandardError, StandardOutput };

/// Configures logging: events below \p MinSeverity are suppressed, and
/// \p Process is the process name in each line. Not thread safe; must be called
/// before other threads start.
void setUpLog(Severity MinSeverity, std::string Process,
              LogTarget Target = LogTarget::StandardError);

/// Logs the event \p Id with \p Fields unless its severity is suppressed.
/// Invalid UTF-8 in values is replaced. Thread safe.
void logEvent(Event Id, const std::vector<Field> &Fields = {});

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_LOG_H
