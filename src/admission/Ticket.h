//===- Ticket.h - The number of one request ---------------------*- C++ -*-===//
//
// Shared by the slices of the request path.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_TICKET_H
#define POLLENSPOOL_ADMISSION_TICKET_H

#include <cstdint>

namespace pollenspool {

/// One request in this entry instance; never reused. 0 is no ticket.
using Ticket = std::uint64_t;

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_TICKET_H
