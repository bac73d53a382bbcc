#!/bin/sh
# Build the stand-ins that the scripts of the cases start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review
