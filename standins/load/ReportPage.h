//===- ReportPage.h - The report as a page ----------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_REPORTPAGE_H
#define STANDIN_LOAD_REPORTPAGE_H

#include "common/Program.h"

namespace standin {

/// A static HTML page without outside parts: charts of goodput and latency
/// over time, and tables of the counts. Thread safe.
std::string reportPage(const Json &Report);

} // namespace standin

#endif // STANDIN_LOAD_REPORTPAGE_H
