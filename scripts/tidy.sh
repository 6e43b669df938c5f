#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources, or on the given files.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  FILES=("$@")
else
  mapfile -t FILES < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
fi
clang-format --dry-run --Werror "${FILES[@]}"
SOURCES=()
for F in "${FILES[@]}"; do
  case $F in *.cpp) SOURCES+=("$F") ;; esac
done
[ ${#SOURCES[@]} -eq 0 ] && exit 0
printf '%s\0' "${SOURCES[@]}" |
  xargs -0 -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
