//===- HttpMessage.cpp - HTTP requests and replies ------------------------===//

#include "net/HttpMessage.h"
#include <algorithm>
#include <cctype>

namespace pollenspool {

std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name) {
  auto EqualIgnoringCase = [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  };
  for (const auto &[Key, Value] : Headers)
    if (std::equal(Key.begin(), Key.end(), Name.begin(), Name.end(),
                   EqualIgnoringCase))
      return Value;
  return {};
}

} // namespace pollenspool
