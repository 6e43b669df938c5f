//===- FleetCommands.cpp - move, wave and explain -------------------------===//

#include "Command.h"
#include <array>
#include <iostream>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

/// Posts \p Body with the author's name to \p Path, and prints \p What and the
/// ID in the reply. Returns the exit code.
int postRequest(const CommandInput &In, const std::string &Path, Json Body,
                const std::string &What) {
  Body["author"] = In.m_Author;
  AdminClient Client(In.m_Entries, In.m_Token);
  auto Response = Client.post(Path, Body);
  if (!Response)
    return reportError(Response.error());
  if (int Exit = reportReply(Response.value()); Exit != ExitOk)
    return Exit;
  const Json &Reply = Response.value().m_Body;
  if (In.m_Json)
    std::cout << Reply.dump() << "\n";
  else
    std::cout << What << " " << Reply.value("id", "") << "\n";
  return ExitOk;
}

int reportUsage(const char *Expected) {
  std::cerr << "pollenspool: usage: pollenspool " << Expected << "\n";
  return ExitUsage;
}

bool isNumber(const std::string &Text) {
  return !Text.empty() &&
         Text.find_first_not_of("0123456789") == std::string::npos &&
         Text.size() < 7;
}

int startWave(const CommandInput &In) {
  const auto &Words = In.m_Arguments;
  if (Words.size() < 2)
    return reportUsage("wave start pool|rack|data_centre|all [NAME] [BATCH]");
  Json Body = {{"set", Words[1]}};
  std::size_t Next = 2;
  if (Words[1] != "all" && Words.size() > Next)
    Body["name"] = Words[Next++];
  if (Words.size() > Next) {
    if (!isNumber(Words[Next]))
      return reportUsage("wave start pool|rack|data_centre|all [NAME] [BATCH]");
    Body["batch"] = std::stoi(Words[Next]);
  }
  return postRequest(In, "/v1/wave/start", Body, "started wave");
}

int showWaves(const CommandInput &In) {
  AdminClient Client(In.m_Entries, In.m_Token);
  auto Reply = Client.get("/v1/fleet");
  if (!Reply)
    return reportError(Reply.error());
  if (int Exit = reportReply(Reply.value()); Exit != ExitOk)
    return Exit;
  const Json &Waves = Reply.value().m_Body["waves"];
  if (In.m_Json) {
    std::cout << Waves.dump() << "\n";
    return ExitOk;
  }
  for (const Json &W : Waves)
    std::cout << W.value("id", "") << "  " << W.value("state", "") << "  done "
              << W.value("done", 0) << "  failed " << W.value("failed", 0)
              << "  away " << W.value("draining", 0) + W.value("rebooting", 0)
              << "  pending " << W.value("pending", 0) << "  "
              << W.value("waits", "") << "\n";
  return ExitOk;
}

/// A subcommand whose only argument is the ID of an existing wave.
struct WaveAction {
  const char *m_Action;
  const char *m_Path;
  const char *m_DoneText;
};

constexpr std::array<WaveAction, 3> WaveActions = {{
    {"pause", "/v1/wave/pause", "paused wave"},
    {"resume", "/v1/wave/resume", "resumed wave"},
    {"cancel", "/v1/wave/cancel", "cancelled wave"},
}};

} // namespace

int runMove(const CommandInput &In) {
  const auto &Words = In.m_Arguments;
  if (Words[0] == "cancel")
    return Words.size() == 2
               ? postRequest(In, "/v1/move/cancel", {{"instance", Words[1]}},
                             "cancelled the move of")
               : reportUsage("move cancel INSTANCE");
  if (Words.size() != 3)
    return reportUsage("move INSTANCE|COUNT FROM-POOL TO-POOL");
  Json Body = {{"from", Words[1]}, {"to", Words[2]}};
  if (isNumber(Words[0]))
    Body["count"] = std::stoi(Words[0]);
  else
    Body["instance"] = Words[0];
  return postRequest(In, "/v1/move/start", Body, "started move");
}

int runWave(const CommandInput &In) {
  const auto &Words = In.m_Arguments;
  if (Words[0] == "start")
    return startWave(In);
  if (Words[0] == "status")
    return showWaves(In);
  for (const WaveAction &V : WaveActions)
    if (Words[0] == V.m_Action && Words.size() == 2)
      return postRequest(In, V.m_Path, {{"id", Words[1]}}, V.m_DoneText);
  return reportUsage("wave start|status|pause|resume|cancel ...");
}

int runExplain(const CommandInput &In) {
  AdminClient Client(In.m_Entries, In.m_Token);
  auto Reply = Client.post("/v1/explain", {{"instance", In.m_Arguments[0]}});
  if (!Reply)
    return reportError(Reply.error());
  if (int Exit = reportReply(Reply.value()); Exit != ExitOk)
    return Exit;
  const Json &Body = Reply.value().m_Body;
  if (In.m_Json)
    std::cout << Body.dump() << "\n";
  else
    std::cout << Body.value("instance", "") << ": "
              << Body.value("explanation", "") << "\n";
  return ExitOk;
}

} // namespace pollenspool
