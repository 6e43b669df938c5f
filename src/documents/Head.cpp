//===- Head.cpp - The committed configuration version ---------------------===//

#include "documents/Head.h"
#include "config/ContentHash.h"
#include "platform/Transact.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

std::string encodeHead(const Head &H) {
  nlohmann::ordered_json Json;
  Json["version"] = H.m_Version;
  Json["hash"] = H.m_Hash;
  Json["author"] = H.m_Author;
  return Json.dump();
}

Result<Head> decodeHead(const std::string &Value) {
  auto Json = nlohmann::json::parse(Value, nullptr, false);
  try {
    Head H;
    H.m_Version = Json.at("version").get<std::uint64_t>();
    H.m_Hash = Json.at("hash").get<std::string>();
    H.m_Author = Json.at("author").get<std::string>();
    return H;
  } catch (const nlohmann::json::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, "read configuration head", {},
                     Bad.what());
  }
}

Result<HeadRow> readHead(Platform &Service) {
  BOOST_OUTCOME_TRY(Rows, Service.read({HeadRowKey}, CallPriority::Control));
  if (Rows.m_Rows.empty())
    return HeadRow{};
  BOOST_OUTCOME_TRY(H, decodeHead(Rows.m_Rows.front().m_Value));
  return HeadRow{std::move(H), Rows.m_Rows.front().m_Revision};
}

Result<DocumentCommit> commitDocument(Platform &Service,
                                      const std::string &Text,
                                      std::uint64_t BaseVersion,
                                      const std::string &Author,
                                      const std::string &Token) {
  BOOST_OUTCOME_TRY(Current, readHead(Service));
  if (Current.m_Head.m_Version != BaseVersion)
    return DocumentCommit{Current.m_Head, false};
  Head Next{BaseVersion + 1, contentHash(Text), Author};
  BOOST_OUTCOME_TRYV(
      Service.putObject(Next.m_Hash, Text, CallPriority::Control));
  Transaction Txn;
  Txn.m_Token = Token;
  Txn.m_Checks.push_back(RowCheck{HeadRowKey, Current.m_Revision});
  Txn.m_Writes.push_back(RowWrite{HeadRowKey, encodeHead(Next), false});
  BOOST_OUTCOME_TRY(Done,
                    transactWithRetries(Service, Txn, CallPriority::Control));
  if (Done.isCommitted())
    return DocumentCommit{Next, true};
  if (Done.m_Conflicts.empty())
    return makeError(ErrorCode::InvalidMessage, "commit document", "platform",
                     "the transaction was refused without a conflict");
  BOOST_OUTCOME_TRY(Winner, decodeHead(Done.m_Conflicts.front().m_Value));
  return DocumentCommit{Winner, false};
}

} // namespace pollenspool
