//===- HttpPlatformTest.cpp - Tests of the platform over HTTP -------------===//

#include "platform/HttpPlatform.h"
#include <httplib.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A server on a free port with one handler for every POST.
struct TestServer {
  using Handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  explicit TestServer(Handler OnPost) {
    m_Server.Post(".*", std::move(OnPost));
    m_Port = m_Server.bind_to_any_port("127.0.0.1");
    m_Thread = std::thread([this] { m_Server.listen_after_bind(); });
    while (!m_Server.is_running())
      std::this_thread::yield();
  }
  ~TestServer() {
    m_Server.stop();
    m_Thread.join();
  }

  httplib::Server m_Server;
  int m_Port = 0;
  std::thread m_Thread;
};

std::unique_ptr<HttpPlatform> clientOf(int Port,
                                       std::chrono::milliseconds Timeout = 2s) {
  HttpPlatformSettings Settings;
  Settings.m_Address = "127.0.0.1:" + std::to_string(Port);
  Settings.m_CallTimeout = Timeout;
  Settings.m_Gate.m_FailuresToOpen = 2;
  Settings.m_Gate.m_FirstBackoff = 60s;
  return std::move(HttpPlatform::create(Settings).value());
}

Transaction oneWrite() { return {"t1", {{"k", 0}}, {{"k", "v", false}}}; }

} // namespace

TEST_GROUP(HttpPlatform){};

TEST(HttpPlatform, RefusesBadSettings) {
  for (const char *Address : {"", "host", ":80", "h:", "h:0", "h:1x"}) {
    HttpPlatformSettings Settings;
    Settings.m_Address = Address;
    CHECK(HttpPlatform::create(Settings).error().m_Code ==
          ErrorCode::InvalidSettings);
  }
}

TEST(HttpPlatform, ReadsCommitAndConflict) {
  int Calls = 0;
  TestServer Server([&](const httplib::Request &Req, httplib::Response &Res) {
    STRCMP_EQUAL("/v1/table/transact", Req.path.c_str());
    if (++Calls == 1)
      return Res.set_content(R"({"revision": 42})", "application/json");
    Res.status = 409;
    Res.set_content(R"({"conflicts":[{"key":"k","revision":7,"value":"w"}]})",
                    "application/json");
  });
  auto Client = clientOf(Server.m_Port);
  CHECK(Client->transact(oneWrite(), CallPriority::Claim).value().m_Revision ==
        42);
  auto Second = Client->transact(oneWrite(), CallPriority::Claim);
  CHECK_FALSE(Second.value().isCommitted());
  STRCMP_EQUAL("w", Second.value().m_Conflicts[0].m_Value.c_str());
  auto Counts = Client->counters();
  LONGS_EQUAL(2, Counts.size());
}

TEST(HttpPlatform, RefusedConnectIsConnectFailedAndOpensBreaker) {
  int Port = 0;
  {
    TestServer Server([](const httplib::Request &, httplib::Response &) {});
    Port = Server.m_Port;
  }
  auto Client = clientOf(Port);
  for (int I = 0; I < 2; ++I)
    CHECK(Client->transact(oneWrite(), CallPriority::Claim).error().m_Code ==
          ErrorCode::ConnectFailed);
  CHECK(Client->transact(oneWrite(), CallPriority::Claim).error().m_Code ==
        ErrorCode::Unavailable);
}

TEST(HttpPlatform, ServerErrorMayHaveTakenEffect) {
  TestServer Server([](const httplib::Request &, httplib::Response &Res) {
    Res.status = 503;
  });
  auto Client = clientOf(Server.m_Port);
  CHECK(Client->transact(oneWrite(), CallPriority::Claim).error().m_Code ==
        ErrorCode::ConnectionLost);
}

TEST(HttpPlatform, SilenceIsTimeout) {
  std::atomic<bool> Done{false};
  TestServer Server([&](const httplib::Request &, httplib::Response &) {
    while (!Done)
      std::this_thread::yield();
  });
  auto Client = clientOf(Server.m_Port, 100ms);
  auto Failed = Client->transact(oneWrite(), CallPriority::Claim);
  Done = true;
  CHECK(Failed.error().m_Code == ErrorCode::Timeout);
}

TEST(HttpPlatform, AnswerOfAnotherCallIsRefused) {
  int Calls = 0;
  TestServer Server([&](const httplib::Request &Req, httplib::Response &Res) {
    std::string Id = Req.get_header_value("Pollenspool-Call");
    // The second answer comes on the kept connection with the first one's ID.
    Res.set_header("Pollenspool-Call", ++Calls == 2 ? "1" : Id);
    Res.set_content(R"({"revision": 42})", "application/json");
  });
  auto Client = clientOf(Server.m_Port);
  CHECK(Client->transact(oneWrite(), CallPriority::Claim).has_value());
  CHECK(Client->transact(oneWrite(), CallPriority::Claim).error().m_Code ==
        ErrorCode::ConnectionLost);
  CHECK(Client->transact(oneWrite(), CallPriority::Claim).has_value());
}
