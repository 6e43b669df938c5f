//===- ActiveDocument.cpp - The document in effect here -------------------===//

#include "documents/ActiveDocument.h"
#include "base/Log.h"
#include "config/ContentHash.h"
#include "config/DocumentParser.h"

namespace pollenspool {

namespace {

Error rejectDocument(const Head &H, const std::string &Why) {
  logEvent(Event::DocumentRefused, {{"version", std::to_string(H.m_Version)},
                                    {"hash", H.m_Hash},
                                    {"reason", Why}});
  return makeError(ErrorCode::InvalidDocument, "adopt document", {}, Why);
}

} // namespace

Result<void> ActiveDocument::adopt(const Head &H, const std::string &Text) {
  std::lock_guard<std::mutex> Order(m_AdoptMutex);
  if (current().m_Head.m_Version >= H.m_Version)
    return makeError(ErrorCode::Conflict, "adopt document", {},
                     "the version in effect is not lower");
  if (contentHash(Text) != H.m_Hash)
    return rejectDocument(H, "content does not match its hash");
  auto Checked = parseDocument("version " + std::to_string(H.m_Version), Text);
  if (!Checked.isValid())
    return rejectDocument(H, describeFaults(Checked.m_Faults));
  DocumentSnapshot Next{H, Text,
                        std::make_shared<Document>(std::move(Checked.m_Value))};
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Current = Next;
  }
  logEvent(Event::DocumentAdopted, {{"version", std::to_string(H.m_Version)},
                                    {"hash", H.m_Hash},
                                    {"author", H.m_Author}});
  m_OnAdopt(Next);
  return success();
}

DocumentSnapshot ActiveDocument::current() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Current;
}

} // namespace pollenspool
