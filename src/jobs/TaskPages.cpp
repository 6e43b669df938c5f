//===- TaskPages.cpp - Job progress that spans several rows ---------------===//

#include "jobs/TaskPages.h"
#include "base/JsonWriter.h"
#include "base/ReadJson.h"
#include "jobs/TaskRecords.h"
#include <algorithm>
#include <charconv>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

/// Digits of a page number in the key of its row. Numbers of equal length are
/// ordered by their bytes as by their values.
constexpr std::size_t PageDigits = 7;

} // namespace

std::string encodePage(const TaskPage &Page) {
  JsonWriter Row;
  Row.beginObject();
  writeRows(Row, "done", Page.m_Done,
            [&Row](const TaskKey &First, const std::vector<bool> &Bits) {
              addKey(Row, First).add(bitsToText(Bits));
            });
  writeTaskRecords(Row, Page);
  return Row.endObject().take();
}

Result<TaskPage> decodePage(const std::string &Text) {
  return readCompactJson<TaskPage>(
      "decode page of tasks", {}, Text, [](const auto &J) {
        TaskPage Page;
        readRows(J, "done", [&Page](const auto &Row) {
          Page.m_Done[keyFromJson(Row)] =
              bitsFromText(as<std::string_view>(Row.at(3)));
        });
        readTaskRecords(J, Page);
        return Page;
      });
}

PageLayout::PageLayout(const JobSpec &Job, std::uint32_t PageSize)
    : m_PageSize(PageSize), m_Occurrences(Job.occurrences()) {
  std::uint64_t Position = 0;
  for (const StepSpec &Step : Job.m_Steps) {
    m_FirstOfStep.push_back(Position);
    Position += Step.m_Count;
  }
  m_FirstOfStep.push_back(Position);
}

std::uint32_t PageLayout::count() const {
  const std::uint64_t Tasks = m_Occurrences * occurrenceSize();
  return static_cast<std::uint32_t>((Tasks + m_PageSize - 1) / m_PageSize);
}

std::uint64_t PageLayout::position(const TaskKey &Task) const {
  return std::get<0>(Task) * occurrenceSize() +
         m_FirstOfStep.at(std::get<1>(Task)) + std::get<2>(Task);
}

std::uint64_t PageLayout::end(std::uint32_t Page) const {
  return std::min(begin(Page) + m_PageSize, m_Occurrences * occurrenceSize());
}

std::uint32_t PageLayout::lastOccurrenceOf(std::uint32_t Page) const {
  return static_cast<std::uint32_t>((end(Page) - 1) / occurrenceSize());
}

RowAddress pagePrefix(const JobId &Id) {
  return {JobPagesTable, Id.m_Text + ".", jobPartition(Id)};
}

RowAddress pagePrefix(const JobId &Id, std::uint64_t Generation) {
  RowAddress Prefix = pagePrefix(Id);
  Prefix.m_Key += std::to_string(Generation) + ".";
  return Prefix;
}

RowAddress pageAddress(const JobId &Id, std::uint64_t Generation,
                       std::uint32_t Page) {
  RowAddress At = pagePrefix(Id, Generation);
  const std::string Number = std::to_string(Page);
  At.m_Key.append(PageDigits - std::min(PageDigits, Number.size()), '0');
  At.m_Key += Number;
  return At;
}

bool hasPrefix(const RowAddress &At, const RowAddress &Prefix) {
  return At.m_Key.compare(0, Prefix.m_Key.size(), Prefix.m_Key) == 0;
}

std::optional<std::uint32_t> pageNumber(const RowAddress &At,
                                        const RowAddress &Prefix) {
  std::uint32_t Page = 0;
  const char *Begin = At.m_Key.data() + Prefix.m_Key.size();
  const char *End = At.m_Key.data() + At.m_Key.size();
  auto [Stop, Bad] = std::from_chars(Begin, End, Page);
  return Bad == std::errc() && Stop == End ? std::optional(Page) : std::nullopt;
}

std::uint64_t pageHash(const std::string &Value) {
  return std::max<std::uint64_t>(1, XXH64(Value.data(), Value.size(), 0));
}

Result<void> addPage(JobProgress &Progress, const JobSpec &Job,
                     std::uint32_t Page, const std::string &Value) {
  auto Read = decodePage(Value);
  if (!Read)
    return Read.error();
  TaskPage &Content = Read.value();
  auto IsTask = [&Job](const TaskKey &Key, std::size_t Count) {
    const std::uint32_t Step = std::get<1>(Key);
    return std::get<0>(Key) < Job.occurrences() && Step < Job.m_Steps.size() &&
           std::get<2>(Key) + Count <= Job.m_Steps[Step].m_Count;
  };
  for (const auto &[First, Bits] : Content.m_Done) {
    const auto &[Occurrence, Step, Index] = First;
    if (!IsTask(First, Bits.size()))
      return makeError(ErrorCode::InvalidMessage, "add page of tasks", {},
                       "page " + std::to_string(Page) +
                           " names a task that the job does not have");
    std::vector<bool> &Done = Progress.m_Done[{Occurrence, Step}];
    Done.resize(Job.m_Steps[Step].m_Count);
    for (std::size_t I = 0; I < Bits.size(); ++I)
      if (Bits[I])
        Done[Index + I] = true;
  }
  Progress.m_Failures.merge(Content.m_Failures);
  Progress.m_Crashes.merge(Content.m_Crashes);
  Progress.m_SuspectStarts.merge(Content.m_SuspectStarts);
  Progress.m_StartedSteps.merge(Content.m_StartedSteps);
  Progress.m_PageHashes[Page] = pageHash(Value);
  return success();
}

} // namespace pollenspool
