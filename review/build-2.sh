#!/bin/sh
# Build the stand-ins of the second review: they are plain Python, so this compiles them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
