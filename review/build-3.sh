#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start: the project's stand-in of
# the platform and the harness world_3.py. They are Python modules that run in the process of the
# script, so they only have to compile.
set -euo pipefail
cd "$(dirname "$0")"
for module in ../standins/jobs/oracle.py ../standins/jobs/job_platform.py world_3.py \
    1[1-5]/scenario.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' \
    "$module"
done
