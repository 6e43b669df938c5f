//===- BoundedWriter.cpp - Lines to a descriptor, never blocking ----------===//

#include "base/BoundedWriter.h"
#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace pollenspool {

bool BoundedWriter::add(const std::string &Line) {
  if (m_WaitingBytes + Line.size() + 1 > m_MaxBytes) {
    ++m_Dropped;
    return false;
  }
  m_Lines.push_back(Line + "\n");
  m_WaitingBytes += Line.size() + 1;
  return true;
}

void BoundedWriter::flush() {
  while (!m_Lines.empty()) {
    pollfd Poll{m_Descriptor, POLLOUT, 0};
    if (poll(&Poll, 1, 0) != 1 || !(Poll.revents & POLLOUT))
      return;
    // A pipe that reports room takes PIPE_BUF bytes without blocking.
    const std::string &Line = m_Lines.front();
    std::size_t Size = std::min<std::size_t>(Line.size() - m_Written, PIPE_BUF);
    ssize_t Taken = ::write(m_Descriptor, Line.data() + m_Written, Size);
    if (Taken <= 0)
      return;
    m_Written += static_cast<std::size_t>(Taken);
    m_WaitingBytes -= static_cast<std::size_t>(Taken);
    if (m_Written < Line.size())
      continue;
    m_Lines.pop_front();
    m_Written = 0;
  }
}

std::uint64_t BoundedWriter::takeDropped() {
  std::uint64_t Dropped = m_Dropped;
  m_Dropped = 0;
  return Dropped;
}

} // namespace pollenspool
