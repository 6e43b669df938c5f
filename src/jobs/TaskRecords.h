//===- TaskRecords.h - Records of tasks in state rows and pages -*- C++ -*-===//
//
// What state rows and pages of tasks have in common. For the codecs only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_JOBS_TASKRECORDS_H
#define POLLENSPOOL_JOBS_TASKRECORDS_H

#include "base/JsonWriter.h"
#include "base/ReadJson.h"
#include "jobs/JobRows.h"

namespace pollenspool {

inline void writeNumbers(JsonWriter &Row,
                         const std::vector<std::uint32_t> &Numbers) {
  Row.beginArray();
  for (std::uint32_t Number : Numbers)
    Row.add(Number);
  Row.endArray();
}

inline std::string bitsToText(const std::vector<bool> &Bits) {
  std::string Text(Bits.size(), '0');
  for (std::size_t N = 0; N < Bits.size(); ++N)
    if (Bits[N])
      Text[N] = '1';
  return Text;
}

inline std::vector<bool> bitsFromText(std::string_view Text) {
  std::vector<bool> Bits(Text.size());
  for (std::size_t N = 0; N < Text.size(); ++N)
    Bits[N] = Text[N] == '1';
  return Bits;
}

inline JsonWriter &addKey(JsonWriter &Row, const TaskKey &Key) {
  return Row.add(std::get<0>(Key)).add(std::get<1>(Key)).add(std::get<2>(Key));
}

template <typename V> TaskKey keyFromJson(const V &J) {
  return {as<std::uint32_t>(J.at(0)), as<std::uint32_t>(J.at(1)),
          as<std::uint32_t>(J.at(2))};
}

inline void writeCrashes(JsonWriter &Row, const std::vector<CrashedRun> &Runs) {
  Row.beginArray();
  for (const CrashedRun &R : Runs) {
    Row.beginArray()
        .add(R.m_Number)
        .add(R.m_WasAtWork)
        .add(R.m_WasRecent)
        .add(R.m_WasAlone);
    if (!R.m_WasOrdered)
      Row.add(false);
    Row.endArray();
  }
  Row.endArray();
}

template <typename V> std::vector<CrashedRun> crashesFromJson(const V &Rows) {
  std::vector<CrashedRun> Runs;
  for (const auto &R : Rows)
    Runs.push_back({as<std::uint32_t>(R.at(0)), as<bool>(R.at(1)),
                    as<bool>(R.at(2)), as<bool>(R.at(3)),
                    R.size() <= 4 || as<bool>(R.at(4))});
  return Runs;
}

/// Writes the member \p Name, an array with an element for each of \p Entries,
/// unless there are none. \p Write writes the content of an element.
template <typename C, typename F>
void writeRows(JsonWriter &Row, std::string_view Name, const C &Entries,
               F Write) {
  if (Entries.empty())
    return;
  Row.key(Name).beginArray();
  for (const auto &[Key, Content] : Entries) {
    Row.beginArray();
    Write(Key, Content);
    Row.endArray();
  }
  Row.endArray();
}

/// Passes each element of the array \p Name, which may be absent, to \p Read.
template <typename V, typename F>
void readRows(const V &J, const char *Name, F Read) {
  if (!J.contains(Name))
    return;
  const auto &Rows = J.at(Name);
  for (const auto &Row : Rows)
    Read(Row);
}

/// Writes the failures, crashes and starts in \p Records, a JobProgress or a
/// TaskPage. Thread safe.
template <typename T> void writeTaskRecords(JsonWriter &Row, const T &Records) {
  writeRows(Row, "failures", Records.m_Failures,
            [&Row](const TaskKey &Key, const std::vector<std::uint32_t> &Runs) {
              writeNumbers(addKey(Row, Key), Runs);
            });
  writeRows(Row, "crashes", Records.m_Crashes,
            [&Row](const TaskKey &Key, const std::vector<CrashedRun> &Runs) {
              addKey(Row.beginArray(), Key).endArray();
              writeCrashes(Row, Runs);
            });
  writeRows(Row, "suspect_starts", Records.m_SuspectStarts,
            [&Row](const TaskKey &Key, const SuspectStart &Start) {
              addKey(Row.beginArray(), Key).endArray();
              Row.add(Start.m_Number)
                  .add(Start.m_Server)
                  .add(Start.m_ServerStartTimeMs);
            });
  writeRows(Row, "started", Records.m_StartedSteps,
            [&Row](std::uint32_t Occurrence, std::uint32_t Step) {
              Row.add(Occurrence).add(Step);
            });
}

/// Reads what writeTaskRecords() has written. Thread safe.
template <typename V, typename T> void readTaskRecords(const V &J, T &Records) {
  readRows(J, "failures", [&Records](const auto &Row) {
    Records.m_Failures[keyFromJson(Row)] =
        as<std::vector<std::uint32_t>>(Row.at(3));
  });
  readRows(J, "crashes", [&Records](const auto &Row) {
    Records.m_Crashes[keyFromJson(Row.at(0))] = crashesFromJson(Row.at(1));
  });
  readRows(J, "suspect_starts", [&Records](const auto &Row) {
    Records.m_SuspectStarts[keyFromJson(Row.at(0))] = {
        as<std::uint32_t>(Row.at(1)), as<std::string>(Row.at(2)),
        as<std::int64_t>(Row.at(3))};
  });
  readRows(J, "started", [&Records](const auto &Row) {
    Records.m_StartedSteps.emplace(as<std::uint32_t>(Row.at(0)),
                                   as<std::uint32_t>(Row.at(1)));
  });
}

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_TASKRECORDS_H
