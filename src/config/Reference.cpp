//===- Reference.cpp - Reference pages from field tables ------------------===//

#include "config/Reference.h"
#include <iomanip>
#include <sstream>

namespace pollenspool {

namespace {

/// Digits of the largest integers that a double represents exactly (2^53).
constexpr int LimitDigits = 16;

std::string rangeText(const FieldRule &Rule) {
  std::ostringstream Out;
  Out << std::setprecision(LimitDigits);
  if (!std::isinf(Rule.m_Min))
    Out << Rule.m_Min;
  if (!std::isinf(Rule.m_Min) || !std::isinf(Rule.m_Max))
    Out << " to ";
  if (!std::isinf(Rule.m_Max))
    Out << Rule.m_Max;
  return Out.str();
}

} // namespace

std::string referenceHead() {
  return "| key | type | range | unit | required | meaning |\n"
         "| --- | --- | --- | --- | --- | --- |\n";
}

std::string referenceRow(const std::string &Section, const FieldRule &Rule) {
  std::ostringstream Out;
  Out << "| `" << joinPath(Section, Rule.m_Key) << "` | " << Rule.m_Type
      << " | " << rangeText(Rule) << " | " << Rule.m_Unit << " | "
      << (Rule.m_Required ? "yes" : "no") << " | " << Rule.m_Help << " |\n";
  return Out.str();
}

} // namespace pollenspool
