//===- ReportPage.h - HTML page of a load report ----------------*- C++ -*-===//

#ifndef STANDIN_LOAD_REPORTPAGE_H
#define STANDIN_LOAD_REPORTPAGE_H

#include "common/Program.h"

namespace standin {

/// Renders \p Report as a static, self-contained HTML page with charts of
/// goodput and latency over time and tables of the counts. Thread safe.
std::string reportPage(const Json &Report);

} // namespace standin

#endif // STANDIN_LOAD_REPORTPAGE_H
