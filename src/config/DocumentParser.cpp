//===- DocumentParser.cpp - Reads and validates a document ----------------===//

#include "config/DocumentParser.h"
#include "config/Reference.h"
#include <algorithm>
#include <functional>
#include <set>

namespace pollenspool {

namespace {

/// Upper bound on the instance counts of a pool.
constexpr double MaxInstances = 100000;
constexpr double MaxTimeoutMs = 600000;

void readClass(const YAML::Node &Node, const FieldRule &,
               const std::string &Path, Service &Out, FaultSink &Sink) {
  std::string Text;
  if (!detail::readText(Node, Path, Text, Sink))
    return;
  for (std::size_t I = 0; I < UrgencyClassCount; ++I) {
    auto Class = static_cast<UrgencyClass>(I);
    if (urgencyClassName(Class) != Text)
      continue;
    Out.m_Class = Class;
    return;
  }
  Sink.add(Node, Path, "expected urgent, normal or nightly");
}

const auto &dataCentreFields() {
  static const std::array<FieldSpec<DataCentre>, 2> Fields = {{
      {{"name", "text", true, "name of the data centre"},
       readTextField<&DataCentre::m_Name>},
      {{"region", "text", true, "region that it lies in"},
       readTextField<&DataCentre::m_Region>},
  }};
  return Fields;
}

const auto &poolFields() {
  static const std::array<FieldSpec<Pool>, 5> Fields = {{
      {{"name", "text", true, "name of the pool"},
       readTextField<&Pool::m_Name>},
      {{"instances", "integer", true, "instances that the pool starts with",
        "instances", 0, MaxInstances},
       readNumberField<&Pool::m_Instances>},
      {{"promised", "integer", true, "serving instances kept at all times",
        "instances", 0, MaxInstances},
       readNumberField<&Pool::m_MinServing>},
      {{"availability_budget", "integer", true,
        "instances that may be away at once, planned and unplanned together",
        "instances", 0, MaxInstances},
       readNumberField<&Pool::m_AvailabilityBudget>},
      {{"spare", "boolean", false,
        "true for the one pool that lends instances; default false"},
       readBoolField<&Pool::m_Spare>},
  }};
  return Fields;
}

const auto &serviceFields() {
  static const std::array<FieldSpec<Service>, 4> Fields = {{
      {{"name", "text", true, "name of the service, as in the request's path"},
       readTextField<&Service::m_Name>},
      {{"pool", "text", true, "pool that runs it"},
       readTextField<&Service::m_Pool>},
      {{"class", "text", false,
        "urgency where a request names none: urgent, normal or nightly; "
        "default normal"},
       readClass},
      {{"timeout_ms", "integer", false,
        "deadline where a request names none; default 10000", "ms", 1,
        MaxTimeoutMs},
       readNumberField<&Service::m_Timeout>},
  }};
  return Fields;
}

const auto &teamFields() {
  static const std::array<FieldSpec<Team>, 2> Fields = {{
      {{"name", "text", true, "name of the team"},
       readTextField<&Team::m_Name>},
      {{"requests_per_second", "number", true, "quota of the team",
        "requests/s", 0, 1e6},
       readNumberField<&Team::m_RequestsPerSecond>},
  }};
  return Fields;
}

const auto &weightFields() {
  static const std::array<FieldSpec<Weights>, 3> Fields = {{
      {{"buffer", "number", true, "price of an idle instance", "", 0, 1e6},
       readNumberField<&Weights::m_Buffer>},
      {{"rollout", "number", true, "price of roll-out time", "", 0, 1e6},
       readNumberField<&Weights::m_Rollout>},
      {{"moves", "number", true, "price of a move", "", 0, 1e6},
       readNumberField<&Weights::m_Moves>},
  }};
  return Fields;
}

const auto &policyFields() {
  static const std::array<FieldSpec<RequestPolicy>, 6> Fields = {{
      {{"slots_per_instance", "integer", false,
        "requests that an instance runs at once; default 8", "slots", 1, 1024},
       readNumberField<&RequestPolicy::m_SlotsPerInstance>},
      {{"connections_per_instance", "integer", false,
        "connections that an instance accepts; default 64", "connections", 1,
        65536},
       readNumberField<&RequestPolicy::m_ConnectionsPerInstance>},
      {{"max_attempts", "integer", false, "tries of one request; default 3",
        "tries", 1, 16},
       readNumberField<&RequestPolicy::m_MaxAttempts>},
      {{"retry_budget", "number", false,
        "retries as a share of first tries, per service; default 0.1", "share",
        0, 1},
       readNumberField<&RequestPolicy::m_RetryBudget>},
      {{"max_ejected_share", "number", false,
        "largest share of a pool ejected as failing; default 0.3", "share", 0,
        1},
       readNumberField<&RequestPolicy::m_MaxEjectedShare>},
      {{"queue_per_instance", "integer", false,
        "queued requests per serving instance; default 32", "requests", 1,
        10000},
       readNumberField<&RequestPolicy::m_QueuePerInstance>},
  }};
  return Fields;
}

const auto &documentFields() {
  static const std::array<FieldSpec<Document>, 7> Fields = {{
      {{"customer", "text", true, "the customer that the document belongs to"},
       readTextField<&Document::m_Customer>},
      {{"weights", "map", false, "the customer's prices; only ratios matter"},
       readMapField<&Document::m_Weights, weightFields>},
      {{"data_centres", "list", true, "data centres of the deployment"},
       readListField<&Document::m_DataCentres, dataCentreFields>},
      {{"pools", "list", true, "pools of instances"},
       readListField<&Document::m_Pools, poolFields>},
      {{"services", "list", true, "services that the pools run"},
       readListField<&Document::m_Services, serviceFields>},
      {{"teams", "list", false, "teams with quotas"},
       readListField<&Document::m_Teams, teamFields>},
      {{"policy", "map", false, "limits of the request path"},
       readMapField<&Document::m_Policy, policyFields>},
  }};
  return Fields;
}

/// Reports items of the list at \p Path whose name is a duplicate or has
/// characters that are not allowed in a URL path segment.
template <typename Item>
void checkNames(const std::vector<Item> &Items, const YAML::Node &List,
                const std::string &Path, FaultSink &Sink) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Items.size(); ++I) {
    const std::string &Text = Items[I].m_Name.m_Text;
    std::string At = Path + "[" + std::to_string(I) + "].name";
    if (Text.empty())
      continue;
    if (!Seen.insert(Text).second)
      Sink.add(List[I]["name"], At, "\"" + Text + "\" is a duplicate name");
    bool IsAllowed = std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
      return std::islower(C) || std::isdigit(C) || C == '-' || C == '_';
    });
    if (!IsAllowed)
      Sink.add(List[I]["name"], At,
               "may contain only lowercase letters, digits, '-' and '_'");
  }
}

void checkPools(const Document &Doc, const YAML::Node &Root, FaultSink &Sink) {
  std::size_t Spares = 0;
  for (std::size_t I = 0; I < Doc.m_Pools.size(); ++I) {
    const Pool &P = Doc.m_Pools[I];
    std::string At = "pools[" + std::to_string(I) + "]";
    YAML::Node Node = Root["pools"][I];
    Spares += P.m_Spare ? 1 : 0;
    if (P.m_Spare && Spares > 1)
      Sink.add(Node, At + ".spare", "more than one pool is a spare pool");
    if (P.m_MinServing > P.m_Instances)
      Sink.add(Node, At + ".promised",
               "is more than the instances that the pool starts with");
  }
  if (Doc.m_Pools.empty())
    Sink.add(Root["pools"], "pools", "at least one pool is required");
}

void checkServices(const Document &Doc, const YAML::Node &Root,
                   FaultSink &Sink) {
  for (std::size_t I = 0; I < Doc.m_Services.size(); ++I) {
    const Service &S = Doc.m_Services[I];
    if (S.m_Pool.empty() || Doc.findPool(S.m_Pool))
      continue;
    Sink.add(Root["services"][I]["pool"],
             "services[" + std::to_string(I) + "].pool",
             "no pool is named \"" + S.m_Pool.m_Text + "\"");
  }
}

void checkConsistency(const Document &Doc, const YAML::Node &Root,
                      FaultSink &Sink) {
  checkNames(Doc.m_DataCentres, Root["data_centres"], "data_centres", Sink);
  checkNames(Doc.m_Pools, Root["pools"], "pools", Sink);
  checkNames(Doc.m_Services, Root["services"], "services", Sink);
  checkNames(Doc.m_Teams, Root["teams"], "teams", Sink);
  checkPools(Doc, Root, Sink);
  checkServices(Doc, Root, Sink);
}

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::string Line;
  for (char C : Text) {
    if (C != '\n') {
      Line += C;
      continue;
    }
    Lines.push_back(std::move(Line));
    Line.clear();
  }
  if (!Line.empty())
    Lines.push_back(std::move(Line));
  return Lines;
}

/// Cell (I, J) is the length of the longest common subsequence of the lines of
/// \p A from I on and the lines of \p B from J on.
class SuffixLcsTable {
public:
  SuffixLcsTable(const std::vector<std::string> &A,
                 const std::vector<std::string> &B)
      : m_Width(B.size() + 1), m_Lengths((A.size() + 1) * m_Width, 0) {
    for (std::size_t I = A.size(); I-- > 0;)
      for (std::size_t J = B.size(); J-- > 0;)
        cell(I, J) = A[I] == B[J] ? cell(I + 1, J + 1) + 1
                                  : std::max(cell(I + 1, J), cell(I, J + 1));
  }
  std::size_t &cell(std::size_t I, std::size_t J) {
    return m_Lengths[I * m_Width + J];
  }

private:
  std::size_t m_Width;
  std::vector<std::size_t> m_Lengths;
};

} // namespace

Checked<Document> parseDocument(const std::string &File,
                                const std::string &Text) {
  FaultSink Sink(File);
  Checked<Document> Result;
  try {
    YAML::Node Root = YAML::Load(Text);
    readMap(Root, documentFields(), "", Result.m_Value, Sink);
    if (Root.IsMap())
      checkConsistency(Result.m_Value, Root, Sink);
  } catch (const YAML::Exception &Bad) {
    Sink.addAtLine(Bad.mark.line + 1, "", Bad.msg);
  }
  Result.m_Faults = Sink.takeFaults();
  return Result;
}

std::string diffText(const std::string &Before, const std::string &After) {
  std::vector<std::string> A = splitLines(Before);
  std::vector<std::string> B = splitLines(After);
  SuffixLcsTable Table(A, B);
  std::string Text;
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < A.size() || J < B.size()) {
    if (I < A.size() && J < B.size() && A[I] == B[J]) {
      ++I;
      ++J;
    } else if (J == B.size() ||
               (I < A.size() && Table.cell(I + 1, J) >= Table.cell(I, J + 1))) {
      Text += "-" + std::to_string(I + 1) + ": " + A[I] + "\n";
      ++I;
    } else {
      Text += "+" + std::to_string(J + 1) + ": " + B[J] + "\n";
      ++J;
    }
  }
  return Text;
}

std::string documentReference() {
  return referenceHead() + referenceRows("", documentFields()) +
         referenceRows("weights", weightFields()) +
         referenceRows("data_centres[]", dataCentreFields()) +
         referenceRows("pools[]", poolFields()) +
         referenceRows("services[]", serviceFields()) +
         referenceRows("teams[]", teamFields()) +
         referenceRows("policy", policyFields());
}

} // namespace pollenspool
