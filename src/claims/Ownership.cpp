//===- Ownership.cpp - Which entry instance owns a key --------------------===//

#include "claims/Ownership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

std::uint64_t hash(const std::string &Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace

Ownership::Ownership(std::vector<EntryInstance> Entries) {
  for (EntryInstance &Entry : Entries) {
    std::uint64_t Seed = hash(Entry.m_Id.m_Text, 0);
    // The hashes are summed because a sum does not depend on the order of the
    // list.
    m_ListHash += hash(Entry.m_DataCentre.m_Text, Seed);
    m_Lines.push_back({std::move(Entry), Seed});
  }
}

bool Ownership::isScoped(const RequestId &Key,
                         const DataCentreName &Name) const {
  const std::string &Text = Key.m_Text;
  return Text.size() > Name.m_Text.size() && Text[Name.m_Text.size()] == ':' &&
         Text.compare(0, Name.m_Text.size(), Name.m_Text) == 0;
}

const EntryId &Ownership::ownerOf(const RequestId &Key) const {
  const Line *Best = nullptr;
  bool BestScoped = false;
  std::uint64_t BestScore = 0;
  for (const Line &L : m_Lines) {
    bool Scoped = isScoped(Key, L.m_Entry.m_DataCentre);
    std::uint64_t Score = hash(Key.m_Text, L.m_Seed);
    bool Better = Scoped == BestScoped ? Score > BestScore : Scoped;
    if (Best && !Better)
      continue;
    Best = &L;
    BestScoped = Scoped;
    BestScore = Score;
  }
  return Best->m_Entry.m_Id;
}

std::vector<EntryId> Ownership::witnessesOf(const EntryId &Owner) const {
  DataCentreName Home;
  for (const Line &L : m_Lines)
    if (L.m_Entry.m_Id == Owner)
      Home = L.m_Entry.m_DataCentre;
  std::vector<EntryId> Near;
  std::vector<EntryId> All;
  for (const Line &L : m_Lines) {
    if (L.m_Entry.m_Id == Owner)
      continue;
    All.push_back(L.m_Entry.m_Id);
    if (L.m_Entry.m_DataCentre == Home)
      Near.push_back(L.m_Entry.m_Id);
  }
  return Near.empty() ? All : Near;
}

} // namespace pollenspool
