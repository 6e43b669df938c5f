//===- YamlSchema.cpp - Table-driven reading of YAML maps -----------------===//

#include "config/YamlSchema.h"
#include <set>
#include <sstream>

namespace pollenspool {

std::string Fault::describe() const {
  return m_File + ":" + std::to_string(m_Line) + ": " + m_Path + ": " +
         m_Message;
}

std::string describeFaults(const std::vector<Fault> &Faults) {
  std::string Text;
  for (const Fault &F : Faults)
    Text += F.describe() + "\n";
  return Text;
}

void FaultSink::add(const YAML::Node &At, const std::string &Path,
                    std::string What) {
  int Line = At.IsDefined() && At.Mark().line >= 0 ? At.Mark().line + 1 : 1;
  addAtLine(Line, Path, std::move(What));
}

void FaultSink::addAtLine(int Line, const std::string &Path, std::string What) {
  m_Faults.push_back(
      Fault{m_File, Line, Path.empty() ? "." : Path, std::move(What)});
}

namespace detail {

namespace {

std::string number(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

std::string rangeFault(const FieldRule &Rule, double Value) {
  std::string Range;
  if (std::isinf(Rule.m_Max))
    Range = "at least " + number(Rule.m_Min);
  else if (std::isinf(Rule.m_Min))
    Range = "at most " + number(Rule.m_Max);
  else
    Range = "within " + number(Rule.m_Min) + " and " + number(Rule.m_Max);
  std::string Unit = Rule.m_Unit.empty() ? "" : " " + std::string(Rule.m_Unit);
  return number(Value) + " is out of range: must be " + Range + Unit;
}

} // namespace

bool readNumber(const YAML::Node &Node, const FieldRule &Rule,
                const std::string &Path, bool Whole, double &Out,
                FaultSink &Sink) {
  double Value = 0;
  bool Read = Node.IsScalar() && YAML::convert<double>::decode(Node, Value) &&
              std::isfinite(Value);
  if (!Read) {
    Sink.add(Node, Path, "expected a number");
    return false;
  }
  if (Whole && Value != std::floor(Value)) {
    Sink.add(Node, Path, "expected a whole number");
    return false;
  }
  if (Value < Rule.m_Min || Value > Rule.m_Max) {
    Sink.add(Node, Path, rangeFault(Rule, Value));
    return false;
  }
  Out = Value;
  return true;
}

bool readText(const YAML::Node &Node, const std::string &Path, std::string &Out,
              FaultSink &Sink) {
  if (!Node.IsScalar() || Node.Scalar().empty()) {
    Sink.add(Node, Path, "expected text that is not empty");
    return false;
  }
  Out = Node.Scalar();
  return true;
}

bool expectMap(const YAML::Node &Node, const std::string &Path,
               FaultSink &Sink) {
  if (Node.IsMap())
    return true;
  Sink.add(Node, Path, "expected a map of keys");
  return false;
}

bool expectList(const YAML::Node &Node, const std::string &Path,
                FaultSink &Sink) {
  if (Node.IsSequence())
    return true;
  Sink.add(Node, Path, "expected a list");
  return false;
}

void reportDuplicateKeys(const YAML::Node &Node, const std::string &Path,
                         FaultSink &Sink) {
  std::set<std::string> Seen;
  for (const auto &Entry : Node) {
    std::string Key = Entry.first.as<std::string>("");
    if (!Seen.insert(Key).second)
      Sink.add(Entry.first, joinPath(Path, Key), "duplicate key");
  }
}

} // namespace detail

} // namespace pollenspool
