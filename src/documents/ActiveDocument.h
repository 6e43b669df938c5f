//===- ActiveDocument.h - The document in effect here -----------*- C++ -*-===//
//
// Holds the configuration version that is in effect at this entry instance. The
// version never decreases. A version takes effect only if its content matches
// its hash and parseDocument() finds no fault.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DOCUMENTS_ACTIVEDOCUMENT_H
#define POLLENSPOOL_DOCUMENTS_ACTIVEDOCUMENT_H

#include "config/Document.h"
#include "documents/Head.h"
#include <functional>
#include <memory>
#include <mutex>

namespace pollenspool {

/// A document version with its text and its parsed form.
struct DocumentSnapshot {
  Head m_Head;
  std::string m_Text;
  std::shared_ptr<const Document> m_Document;
};

/// Thread safe.
class ActiveDocument {
public:
  using Listener = std::function<void(const DocumentSnapshot &)>;

  /// \p OnAdopt is called for each adopted version, in increasing order.
  explicit ActiveDocument(Listener OnAdopt) : m_OnAdopt(std::move(OnAdopt)) {}

  /// Puts \p Text in effect as version \p H. Errors: Conflict if the version in
  /// effect is equal or higher; InvalidDocument if the text does not match the
  /// hash or is not a valid document.
  Result<void> adopt(const Head &H, const std::string &Text);

  /// Returns the document in effect; version 0 and no document before the first
  /// adoption.
  DocumentSnapshot current() const;

private:
  Listener m_OnAdopt;
  /// Serializes adoptions and is held while the listener runs, so that it sees
  /// versions in increasing order.
  std::mutex m_AdoptMutex;
  mutable std::mutex m_Mutex;
  DocumentSnapshot m_Current;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DOCUMENTS_ACTIVEDOCUMENT_H
