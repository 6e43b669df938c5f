//===- DocumentParser.h - Reads and validates a document --------*- C++ -*-===//
//
// The only validator of configuration documents: the command-line tool, the
// console and the daemon's take-over all call it before a document counts.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_DOCUMENTPARSER_H
#define POLLENSPOOL_CONFIG_DOCUMENTPARSER_H

#include "config/Document.h"
#include "config/Fault.h"

namespace pollenspool {

/// Reads the YAML \p Text of \p File and checks the document as a whole.
/// Reports every fault found. Thread safe.
Checked<Document> parseDocument(const std::string &File,
                                const std::string &Text);

/// The lines that differ between two documents' texts, as "-" and "+" lines
/// with their line numbers; empty if they are the same. Thread safe.
std::string diffText(const std::string &Before, const std::string &After);

/// The reference page of the document's keys, in Markdown. Thread safe.
std::string documentReference();

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_DOCUMENTPARSER_H
