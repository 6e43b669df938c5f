//===- BoundedWriterTest.cpp - Tests of the non-blocking line writer ------===//

#include "base/BoundedWriter.h"
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

struct Pipe {
  int m_Ends[2] = {-1, -1};

  Pipe() { CHECK_EQUAL(0, pipe(m_Ends)); }
  ~Pipe() {
    close(m_Ends[0]);
    close(m_Ends[1]);
  }
  std::string readAll() {
    fcntl(m_Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    char Buffer[4096];
    for (ssize_t N; (N = read(m_Ends[0], Buffer, sizeof Buffer)) > 0;)
      Text.append(Buffer, static_cast<std::size_t>(N));
    return Text;
  }
};

} // namespace

TEST_GROUP(BoundedWriter){};

TEST(BoundedWriter, WritesLinesInOrder) {
  Pipe P;
  BoundedWriter W(P.m_Ends[1], 1000);
  W.add("one");
  W.add("two");
  W.flush();
  STRCMP_EQUAL("one\ntwo\n", P.readAll().c_str());
  CHECK_EQUAL(0u, W.pendingBytes());
}

TEST(BoundedWriter, DropsAndCountsLinesWhileReaderStalls) {
  Pipe P;
  BoundedWriter W(P.m_Ends[1], 10000);
  std::string Line(999, 'x');
  // The pipe buffers 64 KB. The writer must not block when it is full.
  for (int N = 0; N < 200; ++N) {
    W.add(Line);
    W.flush();
  }
  CHECK(W.pendingBytes() <= 10000u);
  std::uint64_t Dropped = W.takeDropped();
  CHECK(Dropped > 100u);
  std::size_t Read = P.readAll().size();
  W.flush();
  Read += P.readAll().size();
  CHECK_EQUAL((200 - Dropped) * 1000, Read);
}
