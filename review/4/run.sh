#!/bin/sh
# Run the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 review/4/run.py
