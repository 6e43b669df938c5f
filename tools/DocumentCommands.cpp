//===- DocumentCommands.cpp - validate, diff, apply and status ------------===//

#include "Command.h"
#include "config/DocumentParser.h"
#include <fstream>
#include <iostream>
#include <sstream>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;

/// The text of a valid local document, or the exit code of a failure.
struct LocalDocument {
  std::string m_Text;
  int m_Exit = ExitOk;
};

LocalDocument loadValidDocument(const std::string &Path) {
  LocalDocument Out;
  auto Text = readTextFile(Path);
  if (!Text) {
    Out.m_Exit = reportError(Text.error());
    return Out;
  }
  Out.m_Text = std::move(Text).value();
  auto Checked = parseDocument(Path, Out.m_Text);
  if (Checked.isValid())
    return Out;
  std::cerr << describeFaults(Checked.m_Faults);
  Out.m_Exit = ExitInvalid;
  return Out;
}

/// The document in effect, or the exit code of a failure.
struct CurrentDocument {
  Json m_Body;
  int m_Exit = ExitOk;
};

CurrentDocument fetchCurrentDocument(AdminClient &Client) {
  auto Reply = Client.get("/v1/document");
  if (!Reply)
    return {{}, reportError(Reply.error())};
  return {Reply.value().m_Body, reportReply(Reply.value())};
}

void printDiff(const std::string &Before, const std::string &After) {
  std::string Diff = diffText(Before, After);
  std::cout << (Diff.empty() ? "no differences\n" : Diff);
}

} // namespace

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream All;
  All << File.rdbuf();
  if (!File)
    return makeError(ErrorCode::InvalidArgument, "read file", {},
                     Path + " cannot be read");
  return All.str();
}

int reportError(const Error &Fault) {
  std::cerr << "pollenspool: " << Fault.describe() << "\n";
  switch (Fault.m_Code) {
  case ErrorCode::InvalidArgument:
    return ExitUsage;
  case ErrorCode::ConnectFailed:
  case ErrorCode::ConnectionLost:
  case ErrorCode::Timeout:
  case ErrorCode::Unavailable:
    return ExitUnreachable;
  case ErrorCode::Conflict:
    return ExitConflict;
  default:
    return ExitFailed;
  }
}

int reportReply(const AdminResponse &Reply) {
  if (Reply.m_Status == StatusOk)
    return ExitOk;
  std::cerr << "pollenspool: " << Reply.m_Body.value("error", "refused")
            << "\n";
  if (Reply.m_Body.contains("faults"))
    for (const Json &Line : Reply.m_Body["faults"])
      std::cerr << Line.get<std::string>() << "\n";
  switch (Reply.m_Status) {
  case StatusBadRequest:
    return ExitInvalid;
  case StatusConflict:
    return ExitConflict;
  case 503:
    return ExitUnreachable;
  default:
    return ExitFailed;
  }
}

int runValidate(const CommandInput &In) {
  LocalDocument Local = loadValidDocument(In.m_Arguments[0]);
  if (Local.m_Exit == ExitOk && In.m_Json)
    std::cout << Json{{"valid", true}}.dump() << "\n";
  else if (Local.m_Exit == ExitOk)
    std::cout << In.m_Arguments[0] << ": valid\n";
  return Local.m_Exit;
}

int runDiff(const CommandInput &In) {
  LocalDocument Local = loadValidDocument(In.m_Arguments[0]);
  if (Local.m_Exit != ExitOk)
    return Local.m_Exit;
  AdminClient Client(In.m_Entries, In.m_Token);
  CurrentDocument Current = fetchCurrentDocument(Client);
  if (Current.m_Exit != ExitOk)
    return Current.m_Exit;
  const Json &Body = Current.m_Body;
  std::string Before = Body.value("text", "");
  if (!In.m_Json) {
    printDiff(Before, Local.m_Text);
    return ExitOk;
  }
  Json Out;
  Out["version"] = Body.value("version", 0);
  Out["diff"] = diffText(Before, Local.m_Text);
  std::cout << Out.dump() << "\n";
  return ExitOk;
}

int runApply(const CommandInput &In) {
  LocalDocument Local = loadValidDocument(In.m_Arguments[0]);
  if (Local.m_Exit != ExitOk)
    return Local.m_Exit;
  AdminClient Client(In.m_Entries, In.m_Token);
  CurrentDocument Current = fetchCurrentDocument(Client);
  if (Current.m_Exit != ExitOk)
    return Current.m_Exit;
  const Json &Base = Current.m_Body;
  Json Post;
  Post["text"] = Local.m_Text;
  Post["author"] = In.m_Author;
  Post["base_version"] = Base.value("version", 0);
  auto Response = Client.post("/v1/document", Post);
  if (!Response)
    return reportError(Response.error());
  const Json &Reply = Response.value().m_Body;
  if (Response.value().m_Status == StatusConflict) {
    std::cerr << "pollenspool: version " << Reply.value("version", 0) << " by "
              << Reply.value("author", "?")
              << " was committed first; it changed:\n"
              << diffText(Base.value("text", ""), Reply.value("text", ""));
    return ExitConflict;
  }
  if (int Exit = reportReply(Response.value()); Exit != ExitOk)
    return Exit;
  if (In.m_Json)
    std::cout << Reply.dump() << "\n";
  else
    std::cout << "version " << Reply.value("version", 0) << " was committed\n";
  return ExitOk;
}

int runStatus(const CommandInput &In) {
  AdminClient Client(In.m_Entries, In.m_Token);
  auto Reply = Client.get("/status");
  if (!Reply)
    return reportError(Reply.error());
  if (int Exit = reportReply(Reply.value()); Exit != ExitOk)
    return Exit;
  const Json &Body = Reply.value().m_Body;
  if (In.m_Json) {
    std::cout << Body.dump() << "\n";
    return ExitOk;
  }
  std::cout << "entry instance " << Body.value("name", "") << " in "
            << Body.value("data_centre", "") << "\n"
            << "configuration version " << Body["document"].value("version", 0)
            << "\n"
            << "platform "
            << (Body.value("platform_reachable", false) ? "reachable"
                                                        : "not reachable")
            << "\n";
  for (const Json &Line : Body["instances"])
    std::cout << Line.value("id", "") << "  " << Line.value("pool", "") << "  "
              << Line.value("state", "") << "  " << Line.value("holder", "")
              << "\n";
  return ExitOk;
}

} // namespace pollenspool
