#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
scripts/install.sh
scripts/build.sh default
exec python3 scripts/run_suite.py build
