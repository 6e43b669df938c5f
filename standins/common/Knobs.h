//===- Knobs.h - Named settings that are set through JSON -------*- C++ -*-===//

#ifndef STANDIN_COMMON_KNOBS_H
#define STANDIN_COMMON_KNOBS_H

#include "common/EventLoop.h"
#include "common/Program.h"

namespace standin {

/// Maps a name to a member of \p Settings. Exactly one of the member pointers
/// is not null.
template <typename Settings> struct KnobEntry {
  const char *m_Name;
  bool Settings::*m_Flag;
  Milliseconds Settings::*m_Time;
  std::uint64_t Settings::*m_Count;
};

/// Sets the knob called \p Name. Returns false if the table has no such knob;
/// throws Json::exception if \p Value has the wrong type.
template <typename Settings, std::size_t Size>
bool applyKnob(const KnobEntry<Settings> (&Table)[Size], Settings &Target,
               const std::string &Name, const Json &Value) {
  for (const KnobEntry<Settings> &Entry : Table) {
    if (Name != Entry.m_Name)
      continue;
    if (Entry.m_Flag != nullptr)
      Target.*Entry.m_Flag = Value.get<bool>();
    else if (Entry.m_Time != nullptr)
      Target.*Entry.m_Time = Milliseconds(Value.get<std::int64_t>());
    else
      Target.*Entry.m_Count = Value.get<std::uint64_t>();
    return true;
  }
  return false;
}

/// Returns the settings as a JSON object, with times in milliseconds.
template <typename Settings, std::size_t Size>
Json knobsJson(const KnobEntry<Settings> (&Table)[Size],
               const Settings &Source) {
  Json Object = Json::object();
  for (const KnobEntry<Settings> &Entry : Table) {
    if (Entry.m_Flag != nullptr)
      Object[Entry.m_Name] = Source.*Entry.m_Flag;
    else if (Entry.m_Time != nullptr)
      Object[Entry.m_Name] = (Source.*Entry.m_Time).count();
    else
      Object[Entry.m_Name] = Source.*Entry.m_Count;
  }
  return Object;
}

} // namespace standin

#endif // STANDIN_COMMON_KNOBS_H
