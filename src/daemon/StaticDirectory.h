//===- StaticDirectory.h - Peers as the settings name them ------*- C++ -*-===//

#ifndef POLLENSPOOL_DAEMON_STATICDIRECTORY_H
#define POLLENSPOOL_DAEMON_STATICDIRECTORY_H

#include "forward/PeerForwarder.h"
#include "settings/Settings.h"

namespace pollenspool {

/// The settings' entry instances, without regard to their health. Thread safe.
class StaticDirectory final : public PeerDirectory {
public:
  explicit StaticDirectory(const Settings &S) : m_Settings(S) {}

  std::vector<EntryId> usable(const DataCentreName &Where) override {
    std::vector<EntryId> Out;
    for (const PeerEntry &Entry : m_Settings.m_Entries)
      if (Entry.m_DataCentre == Where && !isSelf(Entry))
        Out.push_back(Entry.m_Address);
    return Out;
  }

  std::vector<EntryId> all() override {
    std::vector<EntryId> Out;
    for (const PeerEntry &Entry : m_Settings.m_Entries)
      if (!isSelf(Entry))
        Out.push_back(Entry.m_Address);
    return Out;
  }

private:
  bool isSelf(const PeerEntry &Entry) const {
    return Entry.m_Address.m_Text == m_Settings.m_Listen.m_Peers;
  }

  const Settings &m_Settings;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_STATICDIRECTORY_H
