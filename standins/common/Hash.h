//===- Hash.h - The echo of a request body ----------------------*- C++ -*-===//

#ifndef STANDIN_COMMON_HASH_H
#define STANDIN_COMMON_HASH_H

#include <string>
#include <string_view>

namespace standin {

/// The 16 hexadecimal digits of the XXH64 of \p Body with seed 0. Thread safe.
std::string echoHash(std::string_view Body);

} // namespace standin

#endif // STANDIN_COMMON_HASH_H
