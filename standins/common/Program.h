//===- Program.h - What every stand-in's main does --------------*- C++ -*-===//

#ifndef STANDIN_COMMON_PROGRAM_H
#define STANDIN_COMMON_PROGRAM_H

#include "common/Address.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace standin {

using Json = nlohmann::json;

/// Prints "ROLE listening on IP:PORT" and flushes.
void announce(const std::string &Role, const Address &Where);

/// Prints an error and gives the exit code of a failed start.
int failStart(const Failure &Reason);

/// The JSON of \p Text, or nothing if it is not an object.
std::optional<Json> parseObject(std::string_view Text);

/// The JSON in the file at \p Path.
Expected<Json> readJsonFile(const std::string &Path);

/// The body of an error reply: {"error": "..."}.
std::string errorJson(const std::string &Reason);

} // namespace standin

#endif // STANDIN_COMMON_PROGRAM_H
