//===- CommandLine.h - The load tool's flags --------------------*- C++ -*-===//

#ifndef STANDIN_LOAD_COMMANDLINE_H
#define STANDIN_LOAD_COMMANDLINE_H

#include "load/Options.h"

namespace standin {

/// Reads the flags; --help and unknown flags end the program.
Expected<LoadOptions> parseCommandLine(int Argc, char **Argv);

} // namespace standin

#endif // STANDIN_LOAD_COMMANDLINE_H
