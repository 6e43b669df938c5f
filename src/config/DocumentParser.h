//===- DocumentParser.h - Reads and validates a document --------*- C++ -*-===//
//
// The only validator of configuration documents. The command-line tool, the
// console and the daemon's adoption of new versions all call it before they
// accept a document.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_DOCUMENTPARSER_H
#define POLLENSPOOL_CONFIG_DOCUMENTPARSER_H

#include "config/Document.h"
#include "config/Fault.h"

namespace pollenspool {

/// Parses the YAML \p Text and validates the document, including references
/// between its parts. \p File appears in the faults only. Reports every fault;
/// the value is usable only if there is none. Thread safe.
Checked<Document> parseDocument(const std::string &File,
                                const std::string &Text);

/// Returns the lines that differ between two texts, as "-LINE: text" lines of
/// \p Before and "+LINE: text" lines of \p After; empty if the texts are equal.
/// Thread safe.
std::string diffText(const std::string &Before, const std::string &After);

/// Returns the reference table of the document's keys in Markdown. Thread safe.
std::string documentReference();

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_DOCUMENTPARSER_H
