#!/bin/sh
# Run all tests. Those listed in KNOWN-RED.txt run too and are printed, but may fail.
set -eu
cd "$(dirname "$0")/.."
. tools/env.sh
exec python -m pytest "$@"
