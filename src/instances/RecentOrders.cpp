//===- RecentOrders.cpp - Orders that the next leader must know of --------===//

#include "instances/RecentOrders.h"
#include "base/ReadJson.h"
#include <algorithm>

namespace pollenspool {

using Json = nlohmann::json;

namespace {

/// How long the platform may take to carry an order out. It takes a few
/// milliseconds, and 50 times that when slow.
constexpr Duration CarriedOutWithin = std::chrono::milliseconds(400);

} // namespace

Duration RecentOrders::longestWait(Duration Gap) {
  return Gap + GiveWithin + CarriedOutWithin;
}

void RecentOrders::forgetOlder(Duration Gap, std::chrono::milliseconds Now) {
  for (auto It = m_Entries.begin(); It != m_Entries.end();)
    if (It->second.m_At + longestWait(Gap) < Now)
      It = m_Entries.erase(It);
    else
      ++It;
}

Duration RecentOrders::waitAfter(const Entry &E, const std::string &Leader,
                                 Duration Gap, std::chrono::milliseconds Now) {
  if (E.m_Leader == Leader)
    return Duration(0);
  Duration Longest = longestWait(Gap);
  if (E.m_At.count() == 0 || Now.count() == 0)
    return Longest;
  return std::clamp(Longest - (Now - E.m_At), Duration(0), Longest);
}

std::string RecentOrders::encode() const {
  Json All = Json::object();
  for (const auto &[Id, E] : m_Entries)
    All[Id.m_Text] = {E.m_At.count(), E.m_Leader};
  return All.dump();
}

Result<RecentOrders> RecentOrders::decode(const std::string &Text) {
  return readJson<RecentOrders>(
      "decode recent orders", {}, Text, [](const Json &All) {
        RecentOrders Orders;
        for (const auto &[Id, E] : All.items())
          Orders.note(InstanceId(Id),
                      std::chrono::milliseconds(E.at(0).get<std::int64_t>()),
                      E.at(1));
        return Orders;
      });
}

} // namespace pollenspool
