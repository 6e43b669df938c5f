//===- JsonWriter.cpp - Writes JSON texts ---------------------------------===//

#include "base/JsonWriter.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

/// Whether \p C is the same in a JSON string as outside and is ASCII.
bool isPlain(char C) { return C >= ' ' && C <= '~' && C != '"' && C != '\\'; }

} // namespace

JsonWriter &JsonWriter::add(std::string_view Value) {
  if (!std::all_of(Value.begin(), Value.end(), isPlain))
    return addToken(nlohmann::json(Value).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace));
  separate();
  m_Text += '"';
  m_Text += Value;
  m_Text += '"';
  return *this;
}

JsonWriter &JsonWriter::add(double Value) {
  return addToken(nlohmann::json(Value).dump());
}

} // namespace pollenspool
