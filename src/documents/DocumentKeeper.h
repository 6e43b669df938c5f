//===- DocumentKeeper.h - The document in force here ------------*- C++ -*-===//
//
// Holds the configuration version that is in force at this entry instance.
// Versions only rise; a version counts once its content matches its hash and
// the one validator accepts it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DOCUMENTS_DOCUMENTKEEPER_H
#define POLLENSPOOL_DOCUMENTS_DOCUMENTKEEPER_H

#include "config/Document.h"
#include "documents/Head.h"
#include <functional>
#include <memory>
#include <mutex>

namespace pollenspool {

/// A version with its text.
struct HeldDocument {
  Head m_Head;
  std::string m_Text;
  std::shared_ptr<const Document> m_Document;
};

/// Thread safe.
class DocumentKeeper {
public:
  using Listener = std::function<void(const HeldDocument &)>;

  /// \p OnAdopt is called for each version, in rising order.
  explicit DocumentKeeper(Listener OnAdopt) : m_OnAdopt(std::move(OnAdopt)) {}

  /// Puts \p Text in force as \p H. Errors: Conflict if a version as high is
  /// in force; InvalidDocument if the hash or the content is wrong.
  Result<void> adopt(const Head &H, const std::string &Text);

  HeldDocument current() const;

private:
  Listener m_OnAdopt;
  /// Held while listeners run, so that they see versions in rising order.
  std::mutex m_AdoptMutex;
  mutable std::mutex m_Mutex;
  HeldDocument m_Current;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DOCUMENTS_DOCUMENTKEEPER_H
