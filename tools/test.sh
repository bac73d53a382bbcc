#!/bin/sh
# Run every test; faults listed in KNOWN-RED.txt are printed and passed over.
set -eu
cd "$(dirname "$0")/.."
. tools/env.sh
exec python -m pytest "$@"
