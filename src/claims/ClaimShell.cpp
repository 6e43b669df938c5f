//===- ClaimShell.cpp - Threads around the claim core ---------------------===//
//
// One transaction per claim; the owner protocol replaces it.
//
//===----------------------------------------------------------------------===//

#include "claims/ClaimShell.h"
#include "claims/ClaimRow.h"
#include <atomic>
#include <mutex>

namespace pollenspool {

struct ClaimShell::Impl {
  ClaimSettings m_Settings;
  Platform &m_Table;
  std::atomic<std::uint64_t> m_LastToken{0};
  mutable std::mutex m_Mutex;
  ClaimStats m_Stats;

  Impl(ClaimSettings Settings, Platform &Table)
      : m_Settings(std::move(Settings)), m_Table(Table) {}

  ClaimToken nextToken() {
    return ClaimToken(m_Settings.m_Self.m_Text + "/" +
                      std::to_string(m_Settings.m_Nonce) + "/" +
                      std::to_string(++m_LastToken));
  }

  ClaimReply decide(const RequestId &Key, TimePoint End) {
    ClaimReply Reply;
    Reply.m_Token = nextToken();
    ClaimRow Mine;
    Mine.m_Token = Reply.m_Token;
    Transaction Txn{Reply.m_Token.m_Text,
                    {{claimRowKey(Key), 0}},
                    {{claimRowKey(Key), encodeClaimRow(Mine), false}}};
    while (steadyNow() < End) {
      Result<CommitResult> Done = m_Table.transact(Txn, CallPriority::Claim);
      if (Done && Done.value().isCommitted()) {
        Reply.m_Verdict = ClaimVerdict::Granted;
        return Reply;
      }
      if (Done)
        return fromRow(Done.value().m_Conflicts, Reply);
      if (Done.error().m_Code != ErrorCode::Timeout &&
          Done.error().m_Code != ErrorCode::ConnectionLost)
        break;
    }
    Reply.m_Reason = Reason::ClaimUnavailable;
    return Reply;
  }

  static ClaimReply fromRow(const std::vector<Row> &Conflicts,
                            ClaimReply Reply) {
    Reply.m_Reason = Reason::ClaimedElsewhere;
    if (Conflicts.empty())
      return Reply;
    Result<ClaimRow> Found = decodeClaimRow(Conflicts.front().m_Value);
    if (!Found)
      return Reply;
    if (Found.value().m_Token == Reply.m_Token) {
      Reply.m_Verdict = ClaimVerdict::Granted;
    } else if (Found.value().m_Answer) {
      Reply.m_Verdict = ClaimVerdict::Recorded;
      Reply.m_Answer = *Found.value().m_Answer;
    }
    return Reply;
  }

  void count(const ClaimReply &Reply) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (Reply.m_Verdict == ClaimVerdict::Granted)
      ++m_Stats.m_Granted;
    else if (Reply.m_Verdict == ClaimVerdict::Recorded)
      ++m_Stats.m_Recorded;
    else
      ++m_Stats.m_Denied[static_cast<std::size_t>(Reply.m_Reason)];
  }

  /// Writes over the row if it is still that of \p Token.
  void replace(const RequestId &Key, const ClaimToken &Token, RowWrite Write) {
    Result<RowSet> Found =
        m_Table.read({claimRowKey(Key)}, CallPriority::Claim);
    if (!Found || Found.value().m_Rows.empty())
      return;
    const Row &Current = Found.value().m_Rows.front();
    Result<ClaimRow> Claim = decodeClaimRow(Current.m_Value);
    if (!Claim || Claim.value().m_Token != Token)
      return;
    Transaction Txn{{}, {{Current.m_Key, Current.m_Revision}}, {Write}};
    (void)m_Table.transact(Txn, CallPriority::Claim);
  }
};

Result<std::unique_ptr<ClaimShell>>
ClaimShell::create(ClaimSettings Settings, Platform &Table, PeerSender &) {
  if (Settings.m_Self.empty())
    return makeError(ErrorCode::InvalidSettings, "claim settings", {},
                     "this entry instance has no address");
  auto State = std::make_unique<Impl>(std::move(Settings), Table);
  return std::unique_ptr<ClaimShell>(new ClaimShell(std::move(State)));
}

ClaimShell::ClaimShell(std::unique_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

ClaimShell::~ClaimShell() = default;

ClaimReply ClaimShell::claim(const RequestId &Key,
                             std::chrono::milliseconds Timeout) {
  ClaimReply Reply = m_Impl->decide(Key, steadyNow() + Timeout);
  m_Impl->count(Reply);
  return Reply;
}

void ClaimShell::complete(const RequestId &Key, const ClaimToken &Token,
                          const Answer &Recorded) {
  ClaimRow Row;
  Row.m_Token = Token;
  Row.m_Completed = true;
  if (isRecordable(Recorded))
    Row.m_Answer = Recorded;
  m_Impl->replace(Key, Token, {claimRowKey(Key), encodeClaimRow(Row), false});
}

void ClaimShell::release(const RequestId &Key, const ClaimToken &Token) {
  m_Impl->replace(Key, Token, {claimRowKey(Key), {}, true});
}

void ClaimShell::onPeerMessage(const std::string &Path, const EntryId &From,
                               const std::string &, PeerCallback Reply) {
  Reply(makeError(ErrorCode::NotFound, "claim message", From.m_Text, Path));
}

bool ClaimShell::drain(std::chrono::milliseconds) { return true; }

ClaimStats ClaimShell::stats() const {
  std::lock_guard<std::mutex> Lock(m_Impl->m_Mutex);
  return m_Impl->m_Stats;
}

} // namespace pollenspool
