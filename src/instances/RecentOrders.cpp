//===- RecentOrders.cpp - Orders announced to the next leader -------------===//

#include "instances/RecentOrders.h"
#include "base/JsonText.h"
#include "base/ReadJson.h"
#include <algorithm>

namespace pollenspool {

using Json = nlohmann::json;

namespace {

/// Longest time that the platform takes to carry out an order. Normally it
/// takes a few milliseconds; a slow platform takes 50 times as long.
constexpr Duration MaxExecutionTime = std::chrono::milliseconds(400);

} // namespace

Duration RecentOrders::maxWait(Duration MinInterval) {
  return MinInterval + MaxAnnouncementAge + MaxExecutionTime;
}

void RecentOrders::removeExpired(Duration MinInterval,
                                 std::chrono::milliseconds Now) {
  if (Now.count() == 0)
    return;
  // An announcement of unknown time may have been made just now.
  for (auto &[Id, Announced] : m_Announcements)
    if (Announced.m_At.count() == 0)
      Announced.m_At = Now;
  for (auto It = m_Announcements.begin(); It != m_Announcements.end();)
    if (It->second.m_At + maxWait(MinInterval) < Now)
      It = m_Announcements.erase(It);
    else
      ++It;
}

Duration RecentOrders::remainingWait(const Announcement &E,
                                     const std::string &Leader,
                                     Duration MinInterval,
                                     std::chrono::milliseconds Now) {
  if (E.m_Leader == Leader)
    return Duration(0);
  Duration Longest = maxWait(MinInterval);
  if (E.m_At.count() == 0 || Now.count() == 0)
    return Longest;
  return std::clamp(Longest - (Now - E.m_At), Duration(0), Longest);
}

std::string RecentOrders::encode() const {
  Json All = Json::object();
  for (const auto &[Id, E] : m_Announcements)
    All[Id.m_Text] = {E.m_At.count(), E.m_Leader};
  return jsonText(All);
}

Result<RecentOrders> RecentOrders::decode(const std::string &Text) {
  return readJson<RecentOrders>(
      "decode recent orders", {}, Text, [](const Json &All) {
        RecentOrders Orders;
        for (const auto &[Id, E] : All.items())
          Orders.add(InstanceId(Id),
                     std::chrono::milliseconds(E.at(0).get<std::int64_t>()),
                     E.at(1));
        return Orders;
      });
}

} // namespace pollenspool
