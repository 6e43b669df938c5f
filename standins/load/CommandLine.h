//===- CommandLine.h - Flags of the load tool -------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_COMMANDLINE_H
#define STANDIN_LOAD_COMMANDLINE_H

#include "load/LoadOptions.h"

namespace standin {

/// Parses the flags. Exits the program on --help and on flags that TCLAP
/// rejects; returns an error for values that are out of range.
Expected<LoadOptions> parseCommandLine(int Argc, char **Argv);

} // namespace standin

#endif // STANDIN_LOAD_COMMANDLINE_H
