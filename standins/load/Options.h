//===- Options.h - What the load tool was asked to do -----------*- C++ -*-===//

#ifndef STANDIN_LOAD_OPTIONS_H
#define STANDIN_LOAD_OPTIONS_H

#include "common/Address.h"
#include "common/EventLoop.h"
#include "load/Request.h"
#include <array>
#include <string>
#include <vector>

namespace standin {

struct Weighted {
  std::string m_Name;
  double m_Weight = 1;
};

/// How the rate of a service goes over time.
enum class Profile {
  Flat,
  /// Each service in turn peaks while the others are in their troughs.
  Peaks,
};

struct LoadOptions {
  std::vector<Address> m_Entries;
  std::vector<Address> m_BackendControls;
  std::vector<Address> m_Platforms;
  std::vector<Weighted> m_Services;
  std::vector<Weighted> m_Teams;
  std::array<double, WorkClassCount> m_ClassMix{0.2, 0.6, 0.2};
  Profile m_Profile = Profile::Flat;
  Milliseconds m_PeakLength{4000};
  double m_PeakFactor = 5;
  double m_TroughFactor = 0.05;
  std::uint64_t m_Seed = 1;
  Milliseconds m_Length{10000};
  /// Mean requests a second over all services.
  double m_Rate = 100;
  double m_RepeatableShare = 0.6;
  bool m_RepeatsUnknown = false;
  std::uint32_t m_MaxAttempts = 5;
  /// Mean of the run times asked for; zero leaves them to the backend server.
  Milliseconds m_Work{0};
  Milliseconds m_Deadline{2000};
  /// How long after the deadline the tool gives a reply up.
  Milliseconds m_Patience{3000};
  std::size_t m_MaxInFlight = 4000;
  bool m_KeepsConnections = true;
  /// Speaks to backend servers themselves instead of entry instances.
  bool m_IsDirect = false;
  std::string m_IdPrefix;
  std::string m_ReportFile;
  std::string m_HtmlFile;
  std::string m_ExtraFile;
  /// How long an instance that is leaving may still be sent work.
  Milliseconds m_LeavingGrace{3000};
  Milliseconds m_WaitForEntries{10000};
  Milliseconds m_Settle{3000};
};

} // namespace standin

#endif // STANDIN_LOAD_OPTIONS_H
