#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. All of them are Python modules that run in the
# process of the script, the project's own too, so that they only have to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
for folder in ("review", "standins/jobs"):
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(path.read_text(), str(path), "exec")
END
test -x target/pollenspool-entry || echo "target/pollenspool-entry is missing: run the build of deploy/system.toml first"
