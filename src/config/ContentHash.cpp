//===- ContentHash.cpp - Content hashes of immutable objects --------------===//

#include "config/ContentHash.h"
#include <xxhash.h>

namespace pollenspool {

std::string contentHash(std::string_view Content) {
  XXH128_hash_t Hash = XXH3_128bits(Content.data(), Content.size());
  XXH128_canonical_t Bytes;
  XXH128_canonicalFromHash(&Bytes, Hash);
  static const char Digits[] = "0123456789abcdef";
  std::string Text;
  for (unsigned char Byte : Bytes.digest) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

} // namespace pollenspool
