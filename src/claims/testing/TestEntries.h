//===- TestEntries.h - A short list of entry instances ----------*- C++ -*-===//
//
// Two entry instances in one data centre and one in another. For tests only.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_TESTING_TESTENTRIES_H
#define POLLENSPOOL_CLAIMS_TESTING_TESTENTRIES_H

#include "claims/ClaimTypes.h"

namespace pollenspool::claims {

/// Thread safe.
inline std::vector<EntryInstance> threeEntries() {
  DataCentreName Accra("accra");
  return {{EntryId("10.0.0.0"), Accra},
          {EntryId("10.0.0.1"), Accra},
          {EntryId("10.0.0.2"), DataCentreName("tema")}};
}

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_TESTING_TESTENTRIES_H
