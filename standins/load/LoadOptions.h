//===- LoadOptions.h - Options of the load tool -----------------*- C++ -*-===//

#ifndef STANDIN_LOAD_LOADOPTIONS_H
#define STANDIN_LOAD_LOADOPTIONS_H

#include "common/Address.h"
#include "common/EventLoop.h"
#include "load/LoadRequest.h"
#include <array>
#include <string>
#include <vector>

namespace standin {

/// The name of a service or team with its relative share of the requests.
struct WeightedName {
  std::string m_Name;
  double m_Weight = 1;
};

/// How the request rate of a service changes over time.
enum class Profile {
  Flat,
  /// Each service in turn has a peak while the others have a low rate.
  Peaks,
};

/// Options of one load run, as parsed from the command line.
struct LoadOptions {
  std::vector<Address> m_Entries;
  std::vector<Address> m_BackendControls;
  std::vector<Address> m_Platforms;
  std::vector<WeightedName> m_Services;
  std::vector<WeightedName> m_Teams;
  /// Weights of the work classes in the order of WorkClass.
  std::array<double, WorkClassCount> m_ClassMix{0.2, 0.6, 0.2};
  Profile m_Profile = Profile::Flat;
  Milliseconds m_PeakDuration{4000};
  /// Rates in and outside a peak, as multiples of the mean rate.
  double m_PeakFactor = 5;
  double m_TroughFactor = 0.05;
  std::uint64_t m_Seed = 1;
  Milliseconds m_Duration{10000};
  /// Mean requests per second over all services.
  double m_Rate = 100;
  double m_RepeatableShare = 0.6;
  /// Retries requests whose outcome is unknown or that got no reply.
  bool m_RetriesUnknown = false;
  std::uint32_t m_MaxAttempts = 5;
  /// Mean of the requested run times; zero leaves them to the backend server.
  Milliseconds m_MeanRunTime{0};
  Milliseconds m_Deadline{2000};
  /// How long after the deadline of an attempt its reply is still awaited.
  Milliseconds m_ReplyGrace{3000};
  std::size_t m_MaxInFlight = 4000;
  bool m_UsesKeepAlive = true;
  /// Sends requests directly to backend servers, bypassing entry instances.
  bool m_IsDirect = false;
  std::string m_IdPrefix;
  std::string m_ReportFile;
  std::string m_HtmlFile;
  std::string m_ExtraFile;
  /// How long an instance may still receive work after it starts to leave.
  Milliseconds m_LeavingGrace{3000};
  /// How long to wait for a healthy entry instance before the load starts.
  Milliseconds m_EntryWaitTimeout{10000};
  /// How long to wait for runs to end after the last outcome.
  Milliseconds m_SettleTimeout{3000};
};

} // namespace standin

#endif // STANDIN_LOAD_LOADOPTIONS_H
