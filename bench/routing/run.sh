#!/usr/bin/env bash
# Measures the entry and front roles against direct calls in one run: 6 backend stand-ins, one front, one entry.
# usage: run.sh BUILD_FOLDER [RATE] [SECONDS]
set -euo pipefail
build=${1:?usage: run.sh BUILD_FOLDER [RATE] [SECONDS]}
rate=${2:-13800}
seconds=${3:-8}
bin=$build/bin
folder=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap cleanup EXIT

# Prints the first line of the file once it is there.
first_line() {
    for _ in $(seq 500); do
        if [ -s "$1" ]; then
            head -n 1 "$1"
            return
        fi
        sleep 0.02
    done
    echo "no output in $1" >&2
    return 1
}

backends=()
for i in 0 1 2 3 4 5; do
    "$bin/standin-backend" --id "b$i" --service svc --zone z1 --slots 64 --connections 1000 --checks-grants false \
        --latency-ms "${LATENCY_MS:-1}" >"$folder/backend$i" &
    pids+=($!)
    backends+=("127.0.0.1:$(first_line "$folder/backend$i" | cut -d' ' -f2)")
done
"$bin/bench-routing" --threads "${FRONT_THREADS:-2}" --slices 121000 --backend "${backends[@]}" >"$folder/front" &
pids+=($!)
read -r _ front_peer front_control <<<"$(first_line "$folder/front")"
"$bin/bench-routing" --threads "${ENTRY_THREADS:-2}" --slices 121000 --front "$front_peer" --backend "${backends[@]}" \
    >"$folder/entry" &
pids+=($!)
entry_pid=$!
read -r entry_http _ entry_control <<<"$(first_line "$folder/entry")"

load() {
    "$bin/briarfold-load" --quiet --rate "$rate" --threads 2 --connections 192 --deadline-ms 2000 "$@"
}
usage() {
    curl -s "http://127.0.0.1:$front_control/" >"$folder/front-$1.json"
    curl -s "http://127.0.0.1:$entry_control/" >"$folder/entry-$1.json"
}
# The first seconds open connections and warm caches.
load --target "${backends[@]}" --direct --duration 1 >/dev/null
load --target "127.0.0.1:$entry_http" --duration 2 >/dev/null
load --target "${backends[@]}" --direct --duration "$seconds" --report "$folder/direct.json" >/dev/null
usage before
if [ -n "${PERF_OUTPUT:-}" ]; then
    perf record -q -g -F 499 -p "$entry_pid" -o "$PERF_OUTPUT" -- sleep "$seconds" >/dev/null 2>&1 &
fi
load --target "127.0.0.1:$entry_http" --duration "$seconds" --report "$folder/routed.json" >/dev/null
usage after
"$bin/bench-routing" --summary "$folder"
