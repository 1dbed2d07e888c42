#!/usr/bin/env bash
# Runs a small system under load through one fault, or through each in turn, and prints a JSON line for each.
# usage: scripts/faultrun.sh [SCENARIO|all] [SEED]; ends with 1 when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=build/bin
declarations=share/demo
. scripts/systemprocesses.sh

# Scenario | what happens 5 s into a load of 18 s.
scenarios=(
    "none|true"
    "upstream_killed|stop upstream-stock-west-1 KILL"
    "upstream_restarted|stop upstream-stock-west-1 KILL; start_upstream stock-west-1"
    "upstream_paused|pause upstream-stock-west-1 3"
    "dispatcher_killed|stop vm-\$(dispatcher_of stock-west) KILL"
    "dispatcher_paused|pause vm-\$(dispatcher_of stock-west) 3"
    "other_vm_killed|stop vm-\$(bystander) KILL"
    "vm_restarted|vm=\$(bystander); stop vm-\$vm KILL; sleep 1; start_vm \$vm"
    "log_outage|fault \$log_service '{\"outage\":1}'; sleep 8; fault \$log_service '{\"outage\":0}'"
    "log_outage_upstream_killed|fault \$log_service '{\"outage\":1}'; sleep 1; stop upstream-stock-west-1 KILL; sleep 6; fault \$log_service '{\"outage\":0}'"
    "log_outage_dispatcher_killed|vm=\$(dispatcher_of stock-west); fault \$log_service '{\"outage\":1}'; sleep 1; stop vm-\$vm KILL; sleep 6; fault \$log_service '{\"outage\":0}'"
    "log_restarted|stop log KILL; sleep 2; start_log"
    "log_answers_lost|fault \$log_service '{\"lose_answer_next\":20}'"
    "vm_list_killed|stop vmlist KILL; sleep 5; start_vm_list"
    "silent_connections|silence"
    "answers_lost|every_upstream '{\"lose_answer_next\":5}'"
    "answers_cut|every_upstream '{\"cut_answer_next\":5}'"
    "slow_upstream|every_upstream '{\"slow_ms\":20}'"
)

fault() { curl -s -o /dev/null --max-time 5 -d "$2" "http://$1/faults"; }

every_upstream() {
    local address _
    while read -r _ address _; do fault "$address" "$1"; done <"$work/upstreams"
}

silence() { every_upstream '{"silence_open_connections":true}'; }

# pause NAME SECONDS
pause() {
    kill -STOP "${pid[$1]}"
    sleep "$2"
    kill -CONT "${pid[$1]}"
}

# dispatcher_of POOL: the VM that dispatches for it, by the record in force.
dispatcher_of() {
    "$bin/crocusferry" show --json --log "$log_service" 2>/dev/null \
        | python3 -c 'import json, sys; print(json.load(sys.stdin)["pools"][sys.argv[1]]["dispatcher"])' "$1"
}

# bystander: a VM that does not dispatch for the pool that the scenarios hit.
bystander() {
    local vm dispatcher
    dispatcher=$(dispatcher_of stock-west)
    for vm in "${vms[@]}"; do
        [ "${vm%%:*}" = "$dispatcher" ] || { echo "${vm%%:*}"; return; }
    done
}

# died: names of processes that ended without being told to.
died() {
    local name
    for name in "${!pid[@]}"; do
        kill -0 "${pid[$name]}" 2>/dev/null || echo "\"$name\""
    done | paste -sd, -
}

# run_scenario NAME ACTION: its JSON line; keeps the folder when a promise was broken.
run_scenario() {
    local status=0 lines detail summary dead
    work=$(mktemp -d)
    start_system
    if ! wait_until 10 publish "$declarations" || ! wait_ready; then
        stop_all
        echo "{\"scenario\":\"$1\",\"seed\":$seed,\"result\":\"never_ready\",\"folder\":\"$work\"}"
        return 1
    fi
    start_callers 2 60 18 "urgent:GET:stock:50,urgent:POST:orders:15:200,standard:POST:stock:15:200,bulk:GET:stock:3:50000:10000"
    sleep 5
    eval "$2" || echo "faultrun: $1: the fault could not be brought about" >&2
    wait_callers || status=1
    lines=$(compare_journals 2>"$work/findings.log") || status=1
    dead=$(died)
    [ -z "$dead" ] || status=1
    stop_all
    pid=()
    detail=$(sed -n 1p <<<"$lines")
    summary=$(sed -n 2p <<<"$lines")
    if [ $status -eq 0 ]; then
        echo "{\"scenario\":\"$1\",\"seed\":$seed,\"result\":\"kept\",${detail:1:-1},${summary:1:-1}}"
        rm -rf "$work"
    else
        echo "{\"scenario\":\"$1\",\"seed\":$seed,\"result\":\"broken\",\"died\":[$dead],\"folder\":\"$work\",${detail:1:-1},${summary:1:-1}}"
    fi
    return $status
}

trap stop_all EXIT
trap 'exit 130' INT TERM
wanted=${1:-all}
seed=${2:-1}
failed=0
found=0
for scenario in "${scenarios[@]}"; do
    name=${scenario%%|*}
    [ "$wanted" = all ] || [ "$wanted" = "$name" ] || continue
    found=1
    run_scenario "$name" "${scenario#*|}" || failed=1
done
if [ $found -eq 0 ]; then
    echo "faultrun: no scenario $wanted; known: $(printf '%s\n' "${scenarios[@]}" | cut -d'|' -f1 | paste -sd' ')" >&2
    exit 2
fi
exit $failed
