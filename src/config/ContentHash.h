//===- ContentHash.h - Content hashes of immutable objects ------*- C++ -*-===//

#ifndef POLLENSPOOL_CONFIG_CONTENTHASH_H
#define POLLENSPOOL_CONFIG_CONTENTHASH_H

#include <string>
#include <string_view>

namespace pollenspool {

/// The 128-bit xxHash of \p Content as 32 lowercase hexadecimal digits. Detects
/// corrupt or mistaken content, but is not a cryptographic hash and gives no
/// protection against forgery. Thread safe.
std::string contentHash(std::string_view Content);

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_CONTENTHASH_H
