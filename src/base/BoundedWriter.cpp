//===- BoundedWriter.cpp - Non-blocking line writer with a size limit -----===//

#include "base/BoundedWriter.h"
#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace pollenspool {

bool BoundedWriter::add(const std::string &Line) {
  if (m_PendingBytes + Line.size() + 1 > m_MaxPendingBytes) {
    ++m_Dropped;
    return false;
  }
  m_Lines.push_back(Line + "\n");
  m_PendingBytes += Line.size() + 1;
  return true;
}

void BoundedWriter::flush() {
  while (!m_Lines.empty()) {
    pollfd Poll{m_Descriptor, POLLOUT, 0};
    if (poll(&Poll, 1, 0) != 1 || !(Poll.revents & POLLOUT))
      return;
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const std::string &Line = m_Lines.front();
    std::size_t Size =
        std::min<std::size_t>(Line.size() - m_FirstLineWritten, PIPE_BUF);
    ssize_t Written =
        ::write(m_Descriptor, Line.data() + m_FirstLineWritten, Size);
    if (Written <= 0)
      return;
    m_FirstLineWritten += static_cast<std::size_t>(Written);
    m_PendingBytes -= static_cast<std::size_t>(Written);
    if (m_FirstLineWritten < Line.size())
      continue;
    m_Lines.pop_front();
    m_FirstLineWritten = 0;
  }
}

std::uint64_t BoundedWriter::takeDropped() {
  std::uint64_t Dropped = m_Dropped;
  m_Dropped = 0;
  return Dropped;
}

} // namespace pollenspool
