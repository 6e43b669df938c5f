//===- Fault.h - Faults found in a settings file or document ----*- C++ -*-===//
//
// Validation does not stop at the first fault, so that one run reports every
// fault of a file with its line and path.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_FAULT_H
#define POLLENSPOOL_CONFIG_FAULT_H

#include <string>
#include <vector>

namespace pollenspool {

/// One validation fault. Lines are counted from 1.
struct Fault {
  std::string m_File;
  int m_Line = 1;
  /// Path of the key, such as "pools[0].name"; "." for the whole file.
  std::string m_Path;
  std::string m_Message;

  /// Formats the fault as "FILE:LINE: path: message". Thread safe.
  std::string describe() const;
};

/// Formats the faults, one per line, each line ended by a newline. Thread safe.
std::string describeFaults(const std::vector<Fault> &Faults);

/// A value and the faults found while it was read; the value is usable only if
/// there are none.
template <typename T> struct Checked {
  T m_Value;
  std::vector<Fault> m_Faults;

  bool isValid() const { return m_Faults.empty(); }
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_FAULT_H
