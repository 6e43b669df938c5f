//===- FakePlatform.cpp - In-memory platform for tests --------------------===//

#include "platform/testing/FakePlatform.h"

namespace pollenspool {

namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

void FakePlatform::setOutage(bool Outage) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Outage = Outage;
}

void FakePlatform::loseReplies(std::uint32_t Count) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LoseReplies = Count;
}

void FakePlatform::failNext(std::uint32_t Count) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_FailNext = Count;
}

void FakePlatform::setBeforeCall(std::function<void()> Hook) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_BeforeCall = std::move(Hook);
}

void FakePlatform::setInstances(std::vector<ListedInstance> List) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Instances = std::move(List);
}

FakePlatformCounts FakePlatform::counts() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Counts;
}

std::optional<Row> FakePlatform::peek(const std::string &Key) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Rows.find(Key);
  if (It == m_Rows.end() || It->second.m_Deleted)
    return std::nullopt;
  return It->second;
}

std::size_t FakePlatform::countRows(const std::string &Prefix) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return rowsWithPrefix(Prefix, 0, false).m_Rows.size();
}

std::vector<InstanceId> FakePlatform::reboots() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Reboots;
}

Result<std::unique_lock<std::mutex>> FakePlatform::beginCall(const char *Step) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (auto Hook = m_BeforeCall) {
    Lock.unlock();
    Hook();
    Lock.lock();
  }
  if (m_Outage) {
    ++m_Counts.m_Failed;
    return makeError(ErrorCode::ConnectFailed, Step, "fake platform");
  }
  if (m_FailNext > 0) {
    --m_FailNext;
    ++m_Counts.m_Failed;
    return makeError(ErrorCode::Timeout, Step, "fake platform");
  }
  return Lock;
}

CommitResult FakePlatform::apply(const Transaction &Txn) {
  CommitResult Outcome;
  for (const RowCheck &Check : Txn.m_Checks) {
    auto It = m_Rows.find(Check.m_Key);
    bool Absent = It == m_Rows.end() || It->second.m_Deleted;
    if ((Absent ? 0 : It->second.m_Revision) == Check.m_Revision)
      continue;
    Row Current;
    Current.m_Key = Check.m_Key;
    Outcome.m_Conflicts.push_back(Absent ? Current : It->second);
  }
  if (!Outcome.m_Conflicts.empty())
    return Outcome;
  Outcome.m_Revision = ++m_Revision;
  ++m_Counts.m_Committed;
  for (const RowWrite &Write : Txn.m_Writes) {
    ++m_Counts.m_RowsWritten;
    m_Rows[Write.m_Key] = {Write.m_Key, Write.m_Delete ? "" : Write.m_Value,
                           m_Revision, Write.m_Delete};
  }
  return Outcome;
}

Result<CommitResult> FakePlatform::transact(const Transaction &Txn,
                                            CallPriority) {
  auto Lock = beginCall("transact");
  if (!Lock)
    return Lock.error();
  ++m_Counts.m_Transactions;
  auto Known = m_Outcomes.find(Txn.m_Token);
  bool Repeated = !Txn.m_Token.empty() && Known != m_Outcomes.end();
  CommitResult Outcome = Repeated ? Known->second : apply(Txn);
  if (!Txn.m_Token.empty())
    m_Outcomes[Txn.m_Token] = Outcome;
  if (m_LoseReplies > 0) {
    --m_LoseReplies;
    ++m_Counts.m_Failed;
    return makeError(ErrorCode::ConnectionLost, "transact", "fake platform");
  }
  return Outcome;
}

Result<RowSet> FakePlatform::read(const std::vector<std::string> &Keys,
                                  CallPriority) {
  auto Lock = beginCall("read");
  if (!Lock)
    return Lock.error();
  ++m_Counts.m_Reads;
  RowSet Found;
  Found.m_Revision = m_Revision;
  for (const std::string &Key : Keys) {
    auto It = m_Rows.find(Key);
    if (It != m_Rows.end() && !It->second.m_Deleted)
      Found.m_Rows.push_back(It->second);
  }
  return Found;
}

RowSet FakePlatform::rowsWithPrefix(const std::string &Prefix, Revision Since,
                                    bool WithDeleted) const {
  RowSet Found;
  Found.m_Revision = m_Revision;
  for (auto It = m_Rows.lower_bound(Prefix);
       It != m_Rows.end() && startsWith(It->first, Prefix); ++It)
    if (It->second.m_Revision > Since && (WithDeleted || !It->second.m_Deleted))
      Found.m_Rows.push_back(It->second);
  return Found;
}

Result<RowSet> FakePlatform::scan(const std::string &Prefix, CallPriority) {
  auto Lock = beginCall("scan");
  if (!Lock)
    return Lock.error();
  ++m_Counts.m_Reads;
  return rowsWithPrefix(Prefix, 0, false);
}

Result<RowSet> FakePlatform::changes(Revision Since,
                                     const std::vector<std::string> &Prefixes,
                                     CallPriority) {
  auto Lock = beginCall("changes");
  if (!Lock)
    return Lock.error();
  ++m_Counts.m_Reads;
  RowSet Found;
  Found.m_Revision = m_Revision;
  for (const std::string &Prefix : Prefixes) {
    RowSet Part = rowsWithPrefix(Prefix, Since, true);
    Found.m_Rows.insert(Found.m_Rows.end(), Part.m_Rows.begin(),
                        Part.m_Rows.end());
  }
  return Found;
}

Result<void> FakePlatform::putObject(const std::string &ObjectName,
                                     const std::string &Content, CallPriority) {
  auto Lock = beginCall("put object");
  if (!Lock)
    return Lock.error();
  m_Objects.emplace(ObjectName, Content);
  return success();
}

Result<std::string> FakePlatform::getObject(const std::string &ObjectName,
                                            CallPriority) {
  auto Lock = beginCall("get object");
  if (!Lock)
    return Lock.error();
  auto It = m_Objects.find(ObjectName);
  if (It == m_Objects.end())
    return makeError(ErrorCode::NotFound, "get object", "fake platform");
  return It->second;
}

Result<std::vector<ListedInstance>> FakePlatform::instances(CallPriority) {
  auto Lock = beginCall("instances");
  if (!Lock)
    return Lock.error();
  return m_Instances;
}

Result<void> FakePlatform::reboot(const InstanceId &Id,
                                  const std::string &Token, CallPriority) {
  auto Lock = beginCall("reboot");
  if (!Lock)
    return Lock.error();
  if (m_RebootTokens.insert(Token).second)
    m_Reboots.push_back(Id);
  return success();
}

} // namespace pollenspool
