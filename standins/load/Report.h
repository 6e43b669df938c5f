//===- Report.h - The load tool's report ------------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_REPORT_H
#define STANDIN_LOAD_REPORT_H

#include "load/LoadRun.h"
#include "load/Oracle.h"

namespace standin {

/// The report of docs/LOADTOOL.md. Fields of \p Extra, an object, go over
/// those that the load cannot know.
Json makeReport(const LoadOptions &Options, const LoadRun &Run,
                const Evidence &Evidence, const Verdict &Judged,
                const Json &Extra);

/// A few lines for the terminal.
std::string summaryText(const Json &Report);

} // namespace standin

#endif // STANDIN_LOAD_REPORT_H
