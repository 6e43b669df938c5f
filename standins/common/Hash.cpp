//===- Hash.cpp - Hash of a request body ----------------------------------===//

#define XXH_INLINE_ALL
#include "common/Hash.h"
#include <cstdio>
#include <xxhash.h>

namespace standin {

std::string echoHash(std::string_view Body) {
  char Text[17];
  std::snprintf(
      Text, sizeof(Text), "%016llx",
      static_cast<unsigned long long>(XXH64(Body.data(), Body.size(), 0)));
  return Text;
}

} // namespace standin
