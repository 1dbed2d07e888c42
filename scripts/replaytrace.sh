#!/usr/bin/env bash
# Replays a trace against a small system, brings about its events, and holds what came of it against the stated outcome.
# usage: scripts/replaytrace.sh TRACE.jsonl [SEED]; the last line is JSON; ends with 1 when the outcome differs.
set -euo pipefail
cd "$(dirname "$0")/.."
trace=${1:?usage: scripts/replaytrace.sh TRACE.jsonl [SEED]}
seed=${2:-1}
bin=build/bin
declarations=share/demo
service_ms=20
work=$(mktemp -d)
. scripts/systemprocesses.sh
trap stop_all EXIT
trap 'exit 130' INT TERM

fault() { curl -s -o /dev/null --max-time 5 -d "$2" "http://$1/faults"; }

# bring_about EVENT
bring_about() {
    local address _
    case $1 in
    stop_upstream) stop_upstream_by_plan stock-west-1 ;;
    kill_upstream) stop upstream-stock-west-1 KILL || true ;;
    stop_vm) stop_vm_by_plan "${vms[0]}" ;;
    log_outage) fault "$log_service" '{"outage":1}' ;;
    log_back) fault "$log_service" '{"outage":0}' ;;
    silence_connections)
        while read -r _ address _; do fault "$address" '{"silence_open_connections":true}'; done <"$work/upstreams"
        ;;
    *) echo "replaytrace: no event $1" >&2 && return 1 ;;
    esac
}

start_system
wait_until 10 publish "$declarations"
wait_ready
entries=()
for vm in "${vms[@]}"; do entries+=(--entry "${vm##*:}:8080"); done
begun=$(date +%s%3N)
start caller-1 "$bin/standincaller" --name replay "${entries[@]}" --trace "$trace" --journal "$work/caller-1.jsonl"
while read -r at_ms event; do
    left=$((begun + at_ms - $(date +%s%3N)))
    [ $left -gt 0 ] && sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
    bring_about "$event"
done < <(grep '"event"' "$trace" | python3 -c 'import json, sys
for line in sys.stdin: print(int(json.loads(line)["at_ms"]), json.loads(line)["event"])')
wait_callers
compare_journals >"$work/comparison" || true
stop_all
pid=()
if python3 scripts/check-outcome.py "${trace%.jsonl}.outcome.json" "$work"; then
    rm -rf "$work"
else
    echo "replaytrace: logs and journals are in $work" >&2
    exit 1
fi
