//===- Report.h - JSON report of a load run ---------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_REPORT_H
#define STANDIN_LOAD_REPORT_H

#include "load/LoadRun.h"
#include "load/Oracle.h"

namespace standin {

/// Builds the report that docs/LOADTOOL.md describes. Fields of the object
/// \p Extra are added where the report has no such field or null; measured
/// values are never replaced.
Json makeReport(const LoadOptions &Options, const LoadRun &Run,
                const Evidence &Evidence, const Verdict &Judged,
                const Json &Extra);

/// Formats the main fields of \p Report for the terminal, one per line.
std::string summaryText(const Json &Report);

} // namespace standin

#endif // STANDIN_LOAD_REPORT_H
