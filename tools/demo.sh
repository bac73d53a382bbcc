#!/bin/sh
# Run a small fleet, submit a configuration, generate load and print the results by rank.
set -eu
cd "$(dirname "$0")/.."
. tools/env.sh
folder=$(mktemp -d)
text=${1:-examples/carrozzina-sicura.json}
pids=""

start() {
    "$@" 2>>"$folder/log" &
    pids="$pids $!"
}

finish() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
}
trap finish EXIT

python tools/fleet.py --folder "$folder" --text "$text" --drain-s 1
for file in "$folder"/control-*.json; do
    snipecart-control init --settings "$file"
    start snipecart-control run --settings "$file"
done
for file in "$folder"/entry-*.json; do
    start snipecart-entry run --settings "$file"
done
for file in "$folder"/standin-*.json; do
    start snipecart-standin run --settings "$file"
done
export SNIPECART_CONTROL="127.20.1.1:7180 127.20.1.2:7180 127.20.1.3:7180"
snipecart submit --yes --wait 60 "$text" >"$folder/submitted" 2>&1 || {
    cat "$folder/submitted" "$folder/log"
    exit 1
}
tail -n 2 "$folder/submitted"
python tools/wait_ready.py "$folder"
snipecart status
snipecart-load run --plan "$folder/plan.json"
