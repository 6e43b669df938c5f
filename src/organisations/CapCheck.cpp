//===- CapCheck.cpp - Jobs that can never run under a cap -----------------===//

#include "organisations/CapCheck.h"

namespace pollenspool {

bool canRunUnderCap(const JobSpec &Job, const Resources &Cap) {
  auto IsWithin = [](std::int64_t Need, std::int64_t Limit) {
    return Limit <= 0 || Need <= Limit;
  };
  return std::all_of(
      Job.m_Steps.begin(), Job.m_Steps.end(), [&](const StepSpec &Step) {
        std::int64_t Tasks = Step.m_Gang ? Step.m_Count : 1;
        const Resources &Need = Step.m_RequiredResources;
        return IsWithin(Need.m_MilliCores * Tasks, Cap.m_MilliCores) &&
               IsWithin(Need.m_MemoryMb * Tasks, Cap.m_MemoryMb) &&
               IsWithin(Need.m_Gpus * Tasks, Cap.m_Gpus);
      });
}

} // namespace pollenspool
