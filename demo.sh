#!/usr/bin/env bash
# Installs what is missing, builds, and runs the main job with real processes:
# see scripts/demo.py.
set -euo pipefail
cd "$(dirname "$0")"
scripts/install.sh
scripts/build.sh default
exec python3 scripts/demo.py build
