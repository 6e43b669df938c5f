//===- YamlSchema.h - Table-driven reading of YAML maps ---------*- C++ -*-===//
//
// A structure is described by a table of fields, each with key, type, range,
// unit, help text and member pointer. The same table drives parsing, fault
// reports and the reference page, so that the three always agree.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_YAMLSCHEMA_H
#define POLLENSPOOL_CONFIG_YAMLSCHEMA_H

#include "config/Fault.h"
#include <array>
#include <chrono>
#include <cmath>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace pollenspool {

/// Collects the faults of one file while it is read. Not thread safe.
class FaultSink {
public:
  explicit FaultSink(std::string File) : m_File(std::move(File)) {}

  /// Adds a fault at the line of \p At, or at line 1 if the node has no mark.
  void add(const YAML::Node &At, const std::string &Path, std::string What);
  void addAtLine(int Line, const std::string &Path, std::string What);
  std::vector<Fault> takeFaults() { return std::move(m_Faults); }

private:
  std::string m_File;
  std::vector<Fault> m_Faults;
};

constexpr double NoLimit = std::numeric_limits<double>::infinity();

/// Constraints and documentation of one key.
struct FieldRule {
  std::string_view m_Key{};
  std::string_view m_Type{};
  bool m_Required = false;
  std::string_view m_Help{};
  std::string_view m_Unit{};
  double m_Min = -NoLimit;
  double m_Max = NoLimit;
};

/// One field of the structure \p S and the function that reads it.
template <typename S> struct FieldSpec {
  FieldRule m_Rule;
  void (*m_Read)(const YAML::Node &, const FieldRule &, const std::string &Path,
                 S &, FaultSink &);
};

/// Returns the path of \p Key below \p Parent.
inline std::string joinPath(const std::string &Parent, std::string_view Key) {
  return Parent.empty() ? std::string(Key) : Parent + "." + std::string(Key);
}

namespace detail {

/// Reads a finite number within the rule's range, without a fraction if
/// \p Whole. Reports a fault and returns false otherwise.
bool readNumber(const YAML::Node &Node, const FieldRule &Rule,
                const std::string &Path, bool Whole, double &Out,
                FaultSink &Sink);

/// Reads a scalar that is not empty; otherwise reports a fault and returns
/// false.
bool readText(const YAML::Node &Node, const std::string &Path, std::string &Out,
              FaultSink &Sink);

/// Returns true if \p Node is a map; otherwise reports a fault.
bool expectMap(const YAML::Node &Node, const std::string &Path,
               FaultSink &Sink);

/// Returns true if \p Node is a list; otherwise reports a fault.
bool expectList(const YAML::Node &Node, const std::string &Path,
                FaultSink &Sink);

/// Reports duplicate keys of the map \p Node.
void reportDuplicateKeys(const YAML::Node &Node, const std::string &Path,
                         FaultSink &Sink);

template <typename T> struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};

template <auto Member> struct MemberOf;
template <typename S, typename T, T S::*Member> struct MemberOf<Member> {
  using Struct = S;
  using Type = T;
};

} // namespace detail

/// Reads the map \p Node into \p Out by the table \p Specs, which is any range
/// of FieldSpec<S>. Unknown, duplicate and missing required keys are faults.
template <typename S, typename Fields>
void readMap(const YAML::Node &Node, const Fields &Specs,
             const std::string &Path, S &Out, FaultSink &Sink) {
  if (!detail::expectMap(Node, Path, Sink))
    return;
  detail::reportDuplicateKeys(Node, Path, Sink);
  for (const auto &Entry : Node) {
    std::string Key = Entry.first.as<std::string>("");
    bool Known = false;
    for (const FieldSpec<S> &Spec : Specs)
      Known |= Spec.m_Rule.m_Key == Key;
    if (!Known)
      Sink.add(Entry.first, joinPath(Path, Key), "unknown key");
  }
  for (const FieldSpec<S> &Spec : Specs) {
    YAML::Node Child = Node[std::string(Spec.m_Rule.m_Key)];
    std::string ChildPath = joinPath(Path, Spec.m_Rule.m_Key);
    if (Child)
      Spec.m_Read(Child, Spec.m_Rule, ChildPath, Out, Sink);
    else if (Spec.m_Rule.m_Required)
      Sink.add(Node, ChildPath, "missing");
  }
}

/// Reads a number into an arithmetic or std::chrono member.
template <auto Member>
void readNumberField(const YAML::Node &Node, const FieldRule &Rule,
                     const std::string &Path,
                     typename detail::MemberOf<Member>::Struct &Out,
                     FaultSink &Sink) {
  using T = typename detail::MemberOf<Member>::Type;
  double Value = 0;
  if (!detail::readNumber(Node, Rule, Path, !std::is_floating_point_v<T>, Value,
                          Sink))
    return;
  if constexpr (detail::IsDuration<T>::value)
    Out.*Member = T(static_cast<typename T::rep>(Value));
  else
    Out.*Member = static_cast<T>(Value);
}

/// Reads text into a std::string or Name member.
template <auto Member>
void readTextField(const YAML::Node &Node, const FieldRule &,
                   const std::string &Path,
                   typename detail::MemberOf<Member>::Struct &Out,
                   FaultSink &Sink) {
  using T = typename detail::MemberOf<Member>::Type;
  std::string Text;
  if (detail::readText(Node, Path, Text, Sink))
    Out.*Member = T(std::move(Text));
}

template <auto Member>
void readBoolField(const YAML::Node &Node, const FieldRule &,
                   const std::string &Path,
                   typename detail::MemberOf<Member>::Struct &Out,
                   FaultSink &Sink) {
  bool Value = false;
  if (Node.IsScalar() && YAML::convert<bool>::decode(Node, Value))
    Out.*Member = Value;
  else
    Sink.add(Node, Path, "expected true or false");
}

/// Reads a nested map by the field table that Table() returns.
template <auto Member, auto Table>
void readMapField(const YAML::Node &Node, const FieldRule &,
                  const std::string &Path,
                  typename detail::MemberOf<Member>::Struct &Out,
                  FaultSink &Sink) {
  readMap(Node, Table(), Path, Out.*Member, Sink);
}

/// Reads a list of maps by the field table that Table() returns.
template <auto Member, auto Table>
void readListField(const YAML::Node &Node, const FieldRule &,
                   const std::string &Path,
                   typename detail::MemberOf<Member>::Struct &Out,
                   FaultSink &Sink) {
  if (!detail::expectList(Node, Path, Sink))
    return;
  auto &Items = Out.*Member;
  Items.clear();
  for (std::size_t I = 0; I < Node.size(); ++I) {
    Items.emplace_back();
    readMap(Node[I], Table(), Path + "[" + std::to_string(I) + "]",
            Items.back(), Sink);
  }
}

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_YAMLSCHEMA_H
