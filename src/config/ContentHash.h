//===- ContentHash.h - Names of immutable contents --------------*- C++ -*-===//

#ifndef POLLENSPOOL_CONFIG_CONTENTHASH_H
#define POLLENSPOOL_CONFIG_CONTENTHASH_H

#include <string>
#include <string_view>

namespace pollenspool {

/// The 128-bit xxHash of \p Content as 32 lowercase hexadecimal digits. Tells
/// damaged or mistaken content; it is no protection against forgery. Thread
/// safe.
std::string contentHash(std::string_view Content);

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_CONTENTHASH_H
