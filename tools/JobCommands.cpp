//===- JobCommands.cpp - queues and job -----------------------------------===//

#include "Command.h"
#include <iostream>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

/// Gets \p Path from the leader, whose address any entry instance knows.
/// Errors: as AdminClient::get; Unavailable if there is no leader.
Result<AdminResponse> queryLeader(const CommandInput &In,
                                  const std::string &Path) {
  AdminClient AnyInstance(In.m_Entries, In.m_Token);
  auto Overview = AnyInstance.get("/v1/overview");
  if (!Overview || Overview.value().m_Status != 200)
    return Overview;
  const Json &Body = Overview.value().m_Body;
  if (Body.value("leads", false))
    return Path == "/v1/overview" ? Overview : AnyInstance.get(Path);
  std::string LeaderAddress = Body.value("leader_at", "");
  if (LeaderAddress.empty())
    return makeError(ErrorCode::Unavailable, "find the leader",
                     In.m_Entries.empty() ? "" : In.m_Entries.front(),
                     "no instance leads at the moment");
  AdminClient Leader({LeaderAddress}, In.m_Token);
  return Leader.get(Path);
}

void printOverview(const Json &Body) {
  std::cout << "leader " << Body.value("leader", "") << ", term "
            << Body.value("term", 0) << ", configuration version "
            << Body.value("config_version", 0) << "\n";
  for (const Json &Q : Body.value("queues", Json::array()))
    std::cout << "queue " << Q.value("queue", "") << "  pool "
              << Q.value("pool", "") << "  waiting " << Q.value("waiting", 0)
              << "  running " << Q.value("running", 0) << "\n";
  for (const Json &P : Body.value("pools", Json::array()))
    std::cout << "pool " << P.value("pool", "") << "  instances "
              << P.value("instances", 0) << "  servers "
              << P.value("servers", 0) << "  silent " << P.value("silent", 0)
              << "  slow " << P.value("slow", 0) << "  millicores running "
              << P.value("running_millicores", 0) << " waiting "
              << P.value("waiting_millicores", 0) << " of "
              << P.value("capacity_millicores", 0) << "\n";
  for (const Json &O : Body.value("organisations", Json::array()))
    std::cout << "organisation " << O.value("organisation", "") << "  waiting "
              << O.value("waiting", 0) << "  running " << O.value("running", 0)
              << "  millicores running " << O.value("running_millicores", 0)
              << " cap " << O.value("cap_millicores", 0) << "  weight "
              << O.value("weight", 0.0) << "\n";
  for (const Json &W : Body.value("waves", Json::array()))
    std::cout << "wave " << W.value("wave", "") << "  done "
              << W.value("done", 0) << " of " << W.value("instances", 0)
              << (W.value("complete", false) ? "  complete" : "") << "\n";
}

void printJob(const Json &Body) {
  std::cout << "job " << Body.value("job", "") << "  "
            << Body.value("state", "not live")
            << "  waits: " << Body.value("waits", "") << "\n";
  if (auto Rules = Body.find("rules"); Rules != Body.end())
    std::cout << "  rules of version " << Rules->value("config_version", 0)
              << ": pool " << Rules->value("pool", "") << ", attempts "
              << Rules->value("attempts", 0) << ", priority "
              << Rules->value("priority", 0U)
              << (Rules->value("queue_configured", true)
                      ? ""
                      : "; the configuration lacks the queue")
              << "\n";
  for (const Json &S : Body.value("steps", Json::array()))
    std::cout << "  occurrence " << S.value("occurrence", 0) << " step "
              << S.value("step", 0) << "  done " << S.value("done", 0) << " of "
              << S.value("tasks", 0) << "  ready " << S.value("ready", 0)
              << "  runs " << S.value("runs", 0) << "\n";
}

int printFromLeader(const CommandInput &In, const std::string &Path,
                    void (*Print)(const Json &)) {
  auto Reply = queryLeader(In, Path);
  if (!Reply)
    return reportError(Reply.error());
  if (int Exit = reportReply(Reply.value()); Exit != ExitOk)
    return Exit;
  if (In.m_Json)
    std::cout << Reply.value().m_Body.dump() << "\n";
  else
    Print(Reply.value().m_Body);
  return ExitOk;
}

} // namespace

int runQueues(const CommandInput &In) {
  return printFromLeader(In, "/v1/overview", printOverview);
}

int runJob(const CommandInput &In) {
  return printFromLeader(In, "/v1/jobs/" + In.m_Arguments[0], printJob);
}

} // namespace pollenspool
