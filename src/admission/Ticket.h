//===- Ticket.h - Handle of one request -------------------------*- C++ -*-===//
//
// Used by admission, queueing, dispatch and the I/O driver.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_TICKET_H
#define POLLENSPOOL_ADMISSION_TICKET_H

#include <cstdint>

namespace pollenspool {

/// Identifies one request in this entry instance and is never reused. 0 means
/// no request.
using Ticket = std::uint64_t;

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_TICKET_H
