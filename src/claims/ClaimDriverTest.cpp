//===- ClaimDriverTest.cpp - Tests of the claim driver --------------------===//

#include "claims/ClaimDriver.h"
#include "claims/ClaimRow.h"
#include "platform/testing/FakePlatform.h"
#include <map>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// Delivers messages between claim drivers of one process, each on its own
/// thread.
class LocalPeers : public PeerSender {
public:
  ~LocalPeers() override { joinAll(); }

  void add(const EntryId &Name, ClaimDriver *Driver) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Drivers[Name] = Driver;
  }

  void callAsync(const EntryId &Peer, const std::string &Path, std::string Body,
                 std::chrono::milliseconds, PeerCallback Callback) override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Threads.emplace_back([this, Peer, Path, Body, Callback] {
      deliver(Peer, Path, Body, Callback);
    });
  }

  /// Waits for all deliveries under way; later ones reach no driver.
  void joinAll() {
    std::vector<std::thread> Threads;
    do {
      Threads.clear();
      {
        std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Drivers.clear();
        Threads.swap(m_Threads);
      }
      for (std::thread &T : Threads)
        T.join();
    } while (!Threads.empty());
  }

private:
  void deliver(const EntryId &Peer, const std::string &Path,
               const std::string &Body, const PeerCallback &Callback) {
    ClaimDriver *Driver = nullptr;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      auto It = m_Drivers.find(Peer);
      Driver = It == m_Drivers.end() ? nullptr : It->second;
    }
    if (!Driver)
      return Callback(makeError(ErrorCode::ConnectFailed, "call", Peer.m_Text));
    Driver->onPeerMessage(Path, EntryId("requester"), Body, Callback);
  }

  std::mutex m_Mutex;
  std::map<EntryId, ClaimDriver *> m_Drivers;
  std::vector<std::thread> m_Threads;
};

ClaimSettings settingsOf(int Self, std::chrono::milliseconds Lifetime = 1h) {
  ClaimSettings Settings;
  for (int I = 1; I <= 2; ++I)
    Settings.m_Entries.push_back(
        {EntryId("127.0.0.1:" + std::to_string(I)), DataCentreName("howrah")});
  Settings.m_Self = Settings.m_Entries[Self].m_Id;
  Settings.m_Nonce = 5 + Self;
  Settings.m_ClaimLifetime = Lifetime;
  Settings.m_Margin = 1ms;
  return Settings;
}

} // namespace

TEST_GROUP(ClaimDriver) {
  FakePlatform m_Table;
  std::unique_ptr<LocalPeers> m_Peers;
  std::unique_ptr<ClaimDriver> m_First;
  std::unique_ptr<ClaimDriver> m_Second;
  RequestId m_Key{"swap-1"};

  std::unique_ptr<ClaimDriver> start(int Self,
                                     std::chrono::milliseconds Lifetime) {
    ClaimSettings Settings = settingsOf(Self, Lifetime);
    auto Driver =
        std::move(ClaimDriver::create(Settings, m_Table, *m_Peers).value());
    m_Peers->add(Settings.m_Self, Driver.get());
    while (!Driver->isServing())
      std::this_thread::yield();
    return Driver;
  }

  void startBoth(std::chrono::milliseconds Lifetime) {
    m_Peers = std::make_unique<LocalPeers>();
    m_First = start(0, Lifetime);
    m_Second = start(1, Lifetime);
  }
  void stopBoth() {
    m_Peers->joinAll();
    m_First.reset();
    m_Second.reset();
    m_Peers.reset();
  }

  void setup() override { startBoth(1h); }
  void teardown() override { stopBoth(); }
};

TEST(ClaimDriver, RejectsSettingsWithoutOwnEntryInstance) {
  ClaimSettings Settings = settingsOf(0);
  Settings.m_Self = EntryId("127.0.0.1:9");
  CHECK(ClaimDriver::create(Settings, m_Table, *m_Peers).error().m_Code ==
        ErrorCode::InvalidSettings);
}

TEST(ClaimDriver, GrantsEachKeyToOneOfTwoInstances) {
  for (int I = 0; I < 20; ++I) {
    RequestId Key("tally-" + std::to_string(I));
    CHECK(m_First->claim(Key, 5s).m_Verdict == ClaimVerdict::Granted);
    ClaimReply Repeat = m_Second->claim(Key, 5s);
    CHECK(Repeat.m_Verdict == ClaimVerdict::Denied);
    CHECK(Repeat.m_Reason == Reason::ClaimInProgress);
  }
  LONGS_EQUAL(20, m_First->stats().m_Granted);
  LONGS_EQUAL(20, m_Table.countRows("claim/"));
}

TEST(ClaimDriver, GrantsAfterLostPlatformReply) {
  m_Table.loseReplies(1);
  CHECK(m_First->claim(m_Key, 5s).m_Verdict == ClaimVerdict::Granted);
}

TEST(ClaimDriver, ReturnsRecordedAnswerToRepeat) {
  ClaimReply Granted = m_First->claim(m_Key, 5s);
  m_First->complete(m_Key, Granted.m_Token, Answer{200, {}, "done"});
  ClaimReply Repeat = m_Second->claim(m_Key, 5s);
  while (Repeat.m_Verdict != ClaimVerdict::Recorded) {
    CHECK(Repeat.m_Verdict == ClaimVerdict::Denied);
    Repeat = m_Second->claim(m_Key, 5s);
  }
  STRCMP_EQUAL("done", Repeat.m_Answer.m_Body.c_str());
}

TEST(ClaimDriver, DeniesDuringOutageBeforeMemoryGrantsAreAllowed) {
  m_Table.setOutage(true);
  ClaimReply Refused = m_First->claim(m_Key, 5s);
  CHECK(Refused.m_Verdict == ClaimVerdict::Denied);
  CHECK(Refused.m_Reason == Reason::ClaimUnavailable);
}

TEST(ClaimDriver, GrantsFromMemoryDuringOutageOnceAllowed) {
  stopBoth();
  startBoth(2s);
  for (const char *Row : {"owner/127.0.0.1:1", "owner/127.0.0.1:2"})
    while (decodeOwnerRow(m_Table.peek(Row)->m_Value).value().m_Mode !=
           OwnerMode::MemoryAllowed)
      std::this_thread::yield();
  m_Table.setOutage(true);
  ClaimReply Reply = m_First->claim(m_Key, 5s);
  // The row may be visible here before its writer has received the reply to the
  // write.
  while (Reply.m_Verdict != ClaimVerdict::Granted)
    Reply = m_First->claim(m_Key, 5s);
  CHECK(m_Second->claim(m_Key, 5s).m_Verdict == ClaimVerdict::Denied);
  LONGS_EQUAL(1, m_First->stats().m_GrantedFromMemory);
}

TEST(ClaimDriver, DrainLeavesOwnerRowWithoutRecovery) {
  CHECK(m_First->claim(m_Key, 5s).m_Verdict == ClaimVerdict::Granted);
  CHECK(m_First->drain(10s));
  CHECK(m_Second->drain(10s));
  CHECK_FALSE(m_First->isServing());
  CHECK(decodeOwnerRow(m_Table.peek("owner/127.0.0.1:1")->m_Value)
            .value()
            .m_Mode == OwnerMode::TableOnly);
}
