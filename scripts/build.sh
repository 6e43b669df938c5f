#!/usr/bin/env bash
# Configures and builds one preset: scripts/build.sh [default|asan|tsan].
set -euo pipefail
cd "$(dirname "$0")/.."
PRESET=${1:-default}
cmake --preset "$PRESET" >/dev/null
BUILD=build
[ "$PRESET" = default ] || BUILD=build-$PRESET
cmake --build "$BUILD"
