//===- BoundedWriter.h - Lines to a descriptor, never blocking --*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_BOUNDEDWRITER_H
#define POLLENSPOOL_BASE_BOUNDEDWRITER_H

#include <cstdint>
#include <deque>
#include <string>

namespace pollenspool {

/// Writes lines to a pipe, file or terminal without ever waiting for its
/// reader. Lines that find no room are dropped and counted. One thread at a
/// time.
class BoundedWriter {
public:
  /// \p Descriptor stays the caller's. \p MaxBytes bounds what waits.
  BoundedWriter(int Descriptor, std::size_t MaxBytes)
      : m_Descriptor(Descriptor), m_MaxBytes(MaxBytes) {}

  /// Adds a line; returns false if it was dropped.
  bool add(const std::string &Line);
  /// Writes as much as the reader takes now.
  void flush();
  /// Lines dropped since the last call.
  std::uint64_t takeDropped();
  std::size_t waitingBytes() const { return m_WaitingBytes; }

private:
  int m_Descriptor;
  std::size_t m_MaxBytes;
  std::deque<std::string> m_Lines;
  /// How much of the first line is written.
  std::size_t m_Written = 0;
  std::size_t m_WaitingBytes = 0;
  std::uint64_t m_Dropped = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_BOUNDEDWRITER_H
