//===- JsonWriter.cpp - Writes JSON texts ---------------------------------===//

#include "base/JsonWriter.h"
#include "base/JsonText.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

/// Whether \p C is the same in a JSON string as outside and is ASCII.
bool isPlain(char C) { return C >= ' ' && C <= '~' && C != '"' && C != '\\'; }

} // namespace

JsonWriter &JsonWriter::add(std::string_view Value) {
  if (!std::all_of(Value.begin(), Value.end(), isPlain))
    return addToken(jsonText(nlohmann::json(Value)));
  separate();
  m_Text += '"';
  m_Text += Value;
  m_Text += '"';
  return *this;
}

JsonWriter &JsonWriter::add(double Value) {
  return addToken(jsonText(nlohmann::json(Value)));
}

} // namespace pollenspool
