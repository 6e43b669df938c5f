//===- Log.h - Numbered, structured log events ------------------*- C++ -*-===//
//
// Each event has a number, a severity and a text in Events.def; the catalogue
// in docs/EVENTS.md is checked against that file. Lines are JSON objects.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_LOG_H
#define POLLENSPOOL_BASE_LOG_H

#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

enum class Severity { Debug, Info, Warning, Error };

/// Events by their catalogue number.
enum class Event : int {
#define POLLENSPOOL_EVENT(Id, Name, Level, Text) Name = Id,
#include "base/Events.def"
#undef POLLENSPOOL_EVENT
};

/// One row of the catalogue.
struct EventInfo {
  Event m_Id;
  std::string_view m_Name;
  Severity m_Severity;
  std::string_view m_Text;
};

/// One key and value of a log line.
struct Field {
  std::string_view m_Key;
  std::string m_Value;
};

/// The whole catalogue in ascending order of its numbers. Thread safe.
const std::vector<EventInfo> &eventCatalogue();

/// The lowercase name of \p Level, as it stands in log lines and docs.
std::string_view severityName(Severity Level);

/// Where lines go. Writing to standard error waits for its reader; writing to
/// standard output never does, and drops and counts lines instead.
enum class LogTarget { StandardError, StandardOutput };

/// Sets the lowest severity that is written and the process's name in each
/// line. Call once before threads start.
void setUpLog(Severity Lowest, std::string Process,
              LogTarget Target = LogTarget::StandardError);

/// Writes one event. Thread safe.
void logEvent(Event Id, const std::vector<Field> &Fields = {});

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_LOG_H
