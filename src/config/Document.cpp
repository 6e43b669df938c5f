//===- Document.cpp - The operators' configuration document ---------------===//

#include "config/Document.h"

namespace pollenspool {

namespace {

template <typename Item, typename Key>
const Item *findByName(const std::vector<Item> &Items, const Key &Wanted) {
  for (const Item &I : Items)
    if (I.m_Name == Wanted)
      return &I;
  return nullptr;
}

} // namespace

const Service *Document::findService(const ServiceName &Name) const {
  return findByName(m_Services, Name);
}

const Pool *Document::findPool(const PoolName &Name) const {
  return findByName(m_Pools, Name);
}

} // namespace pollenspool
