#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start. They are Python modules
# that run in the process of the script, so they only have to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
for path in [pathlib.Path("world_2.py"), *sorted(pathlib.Path(".").glob("*/case.py"))]:
    if path.parent.name in ("", "6", "7", "8", "9", "10"):
        compile(path.read_text(), str(path), "exec")
END
test -x ../target/pollenspool-entry || echo "target/pollenspool-entry is missing: run the build of deploy/system.toml first"
