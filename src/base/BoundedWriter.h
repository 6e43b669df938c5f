//===- BoundedWriter.h - Non-blocking line writer with a limit --*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_BOUNDEDWRITER_H
#define POLLENSPOOL_BASE_BOUNDEDWRITER_H

#include <cstdint>
#include <deque>
#include <string>

namespace pollenspool {

/// Buffers lines and writes them to a pipe, file or terminal without ever
/// blocking on its reader. Lines that exceed the buffer limit are dropped and
/// counted. Not thread safe.
class BoundedWriter {
public:
  /// The caller keeps ownership of \p Descriptor. \p MaxPendingBytes limits the
  /// buffered bytes.
  BoundedWriter(int Descriptor, std::size_t MaxPendingBytes)
      : m_Descriptor(Descriptor), m_MaxPendingBytes(MaxPendingBytes) {}

  /// Buffers \p Line, to which a line break is added. Returns false if it was
  /// dropped.
  bool add(const std::string &Line);
  /// Writes as many buffered bytes as is possible without blocking.
  void flush();
  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped();
  /// Bytes that are buffered and not yet written.
  std::size_t pendingBytes() const { return m_PendingBytes; }

private:
  int m_Descriptor;
  std::size_t m_MaxPendingBytes;
  std::deque<std::string> m_Lines;
  /// Bytes of the first line that are already written.
  std::size_t m_FirstLineWritten = 0;
  std::size_t m_PendingBytes = 0;
  std::uint64_t m_Dropped = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_BOUNDEDWRITER_H
