//===- Reference.h - Reference pages from field tables ----------*- C++ -*-===//

#ifndef POLLENSPOOL_CONFIG_REFERENCE_H
#define POLLENSPOOL_CONFIG_REFERENCE_H

#include "config/YamlSchema.h"

namespace pollenspool {

/// Returns the Markdown row of one key below \p Section. Thread safe.
std::string referenceRow(const std::string &Section, const FieldRule &Rule);

/// Returns the Markdown table header of a reference page. Thread safe.
std::string referenceHead();

/// Returns the Markdown rows of a field table. Thread safe.
template <typename Fields>
std::string referenceRows(const std::string &Section, const Fields &Specs) {
  std::string Text;
  for (const auto &Spec : Specs)
    Text += referenceRow(Section, Spec.m_Rule);
  return Text;
}

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_REFERENCE_H
