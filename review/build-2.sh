#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python sources of the standard library alone, which are only compiled.
# Run it after the command `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.py" ]; then .venv/bin/python -m compileall -q "$case/case.py"; fi
done
