//===- Fault.h - Faults found in a settings file or document ----*- C++ -*-===//
//
// A checked file is read to its end, so that one run reports every fault with
// its file, line and path.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_FAULT_H
#define POLLENSPOOL_CONFIG_FAULT_H

#include <string>
#include <vector>

namespace pollenspool {

/// One fault. Lines count from 1.
struct Fault {
  std::string m_File;
  int m_Line = 1;
  std::string m_Path;
  std::string m_What;

  /// "FILE:LINE: path: what is wrong". Thread safe.
  std::string describe() const;
};

/// One line for each fault, each ended by a newline. Thread safe.
std::string describeFaults(const std::vector<Fault> &Faults);

/// Either a value or the faults that kept it from being read.
template <typename T> struct Checked {
  T m_Value;
  std::vector<Fault> m_Faults;

  bool isValid() const { return m_Faults.empty(); }
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_FAULT_H
