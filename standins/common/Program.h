//===- Program.h - Start-up and JSON helpers of the stand-ins ---*- C++ -*-===//

#ifndef STANDIN_COMMON_PROGRAM_H
#define STANDIN_COMMON_PROGRAM_H

#include "common/Address.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace standin {

using Json = nlohmann::json;

/// Prints "ROLE listening on IP:PORT" to standard output and flushes it, for
/// scripts that wait for the address.
void announce(const std::string &Role, const Address &Where);

/// Prints the error to standard error and returns the exit code of a failed
/// start.
int reportStartupFailure(const Failure &Reason);

/// Parses \p Text, or returns std::nullopt if it is not a JSON object.
std::optional<Json> parseObject(std::string_view Text);

/// Parses the JSON file at \p Path.
Expected<Json> readJsonFile(const std::string &Path);

/// Returns the body of an error reply: {"error": "..."}.
std::string errorJson(const std::string &Reason);

} // namespace standin

#endif // STANDIN_COMMON_PROGRAM_H
