#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start, after the build of the
# deploy file. It needs no network: everything is Python, and the libraries of the
# project's stand-ins are among those in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q oleanderroute standins
python3 -c "import standins.metastore, oleanderroute.host.main"
for case in review/1[1-5]; do
    python3 -m compileall -q "$case"
done
