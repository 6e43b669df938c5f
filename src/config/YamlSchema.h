//===- YamlSchema.h - Table-driven reading of YAML maps ---------*- C++ -*-===//
//
// A structure is described by a table of fields: key, type, range, unit, help
// and a pointer to the member. The same table reads a file, reports faults and
// makes the reference page, so the three cannot disagree.
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

/// Collects faults while one file is read. One thread at a time.
class FaultSink {
public:
  explicit FaultSink(std::string File) : m_File(std::move(File)) {}

  /// Adds a fault at \p At; a node without a mark counts as line 1.
  void add(const YAML::Node &At, const std::string &Path, std::string What);
  void addAtLine(int Line, const std::string &Path, std::string What);
  std::vector<Fault> takeFaults() { return std::move(m_Faults); }

private:
  std::string m_File;
  std::vector<Fault> m_Faults;
};

constexpr double NoLimit = std::numeric_limits<double>::infinity();

/// How the key's value is written and checked.
struct FieldRule {
  std::string_view m_Key{};
  std::string_view m_Type{};
  bool m_Required = false;
  std::string_view m_Help{};
  std::string_view m_Unit{};
  double m_Min = -NoLimit;
  double m_Max = NoLimit;
};

/// One field of the structure \p S.
template <typename S> struct FieldSpec {
  FieldRule m_Rule;
  void (*m_Read)(const YAML::Node &, const FieldRule &, const std::string &Path,
                 S &, FaultSink &);
};

/// A key's path below \p Parent.
inline std::string joinPath(const std::string &Parent, std::string_view Key) {
  return Parent.empty() ? std::string(Key) : Parent + "." + std::string(Key);
}

namespace detail {

/// Reads a scalar number within the rule's range; false after a fault.
bool readNumber(const YAML::Node &Node, const FieldRule &Rule,
                const std::string &Path, bool Whole, double &Out,
                FaultSink &Sink);

/// Reads a scalar that is not empty; false after a fault.
bool readText(const YAML::Node &Node, const std::string &Path, std::string &Out,
              FaultSink &Sink);

/// True if \p Node is a map; else a fault.
bool expectMap(const YAML::Node &Node, const std::string &Path,
               FaultSink &Sink);

/// True if \p Node is a list; else a fault.
bool expectList(const YAML::Node &Node, const std::string &Path,
                FaultSink &Sink);

/// Reports keys that stand twice in the map \p Node.
void reportRepeatedKeys(const YAML::Node &Node, const std::string &Path,
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

/// Reads the map \p Node into \p Out by \p Fields, which is any range of
/// FieldSpec<S>. Unknown, repeated and missing keys are faults.
template <typename S, typename Fields>
void readMap(const YAML::Node &Node, const Fields &Specs,
             const std::string &Path, S &Out, FaultSink &Sink) {
  if (!detail::expectMap(Node, Path, Sink))
    return;
  detail::reportRepeatedKeys(Node, Path, Sink);
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

/// Reads a nested map by the table that Table() returns.
template <auto Member, auto Table>
void readMapField(const YAML::Node &Node, const FieldRule &,
                  const std::string &Path,
                  typename detail::MemberOf<Member>::Struct &Out,
                  FaultSink &Sink) {
  readMap(Node, Table(), Path, Out.*Member, Sink);
}

/// Reads a list of maps by the table that Table() returns.
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
