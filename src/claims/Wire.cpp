//===- Wire.cpp - Conversions between shared types and messages -----------===//

#include "claims/Wire.h"

namespace pollenspool::claims {

WireAnswer toWire(const Answer &A) {
  WireAnswer Wire;
  Wire.m_Status = A.m_Status;
  for (const Header &H : A.m_Headers)
    Wire.m_Headers.push_back({H.m_Name, H.m_Value});
  Wire.m_Body = A.m_Body;
  return Wire;
}

Answer fromWire(const WireAnswer &A) {
  Answer Read;
  Read.m_Status = A.m_Status;
  for (const WireHeader &H : A.m_Headers)
    Read.m_Headers.push_back({H.m_Name, H.m_Value});
  Read.m_Body = A.m_Body;
  return Read;
}

ClaimAnswer denial(Reason Why) {
  ClaimAnswer Answer;
  Answer.m_Verdict = static_cast<std::uint8_t>(ClaimVerdict::Denied);
  Answer.m_Reason = static_cast<std::uint8_t>(Why);
  return Answer;
}

ClaimVerdict verdictOf(const ClaimAnswer &Answer) {
  constexpr auto Last = static_cast<std::uint8_t>(ClaimVerdict::Denied);
  return Answer.m_Verdict < Last ? static_cast<ClaimVerdict>(Answer.m_Verdict)
                                 : ClaimVerdict::Denied;
}

Reason reasonOf(const ClaimAnswer &Answer) {
  return Answer.m_Reason < ReasonCount ? static_cast<Reason>(Answer.m_Reason)
                                       : Reason::ClaimUnavailable;
}

} // namespace pollenspool::claims
