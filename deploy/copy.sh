#!/bin/sh
# Put the package beside its libraries, in one step, and only if it has changed: other
# processes may be running from there.
set -eu
rm -rf target/fresh
cp -r src/snipecart target/fresh
find target/fresh -name __pycache__ -prune -exec rm -rf {} +
if ! diff -rq -x __pycache__ target/fresh target/deps/snipecart > /dev/null 2>&1; then
    python3 -m compileall -q target/fresh
    rm -rf target/old
    [ ! -e target/deps/snipecart ] || mv target/deps/snipecart target/old
    mv target/fresh target/deps/snipecart
fi
