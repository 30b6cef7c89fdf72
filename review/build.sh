#!/bin/sh
# Builds what the scripts of the cases start beside the director: stand-ins in plain Python, which need no more than to
# compile. The director itself is built by the command `build` of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
exec .venv/bin/python -m compileall -q review
