//===- Hash.h - Hash of a request body --------------------------*- C++ -*-===//

#ifndef STANDIN_COMMON_HASH_H
#define STANDIN_COMMON_HASH_H

#include <string>
#include <string_view>

namespace standin {

/// Returns the XXH64 of \p Body with seed 0 as 16 hexadecimal digits. Backend
/// stand-ins send it back as "echo" to show which body they received. Thread
/// safe.
std::string echoHash(std::string_view Body);

} // namespace standin

#endif // STANDIN_COMMON_HASH_H
