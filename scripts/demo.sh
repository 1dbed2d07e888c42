#!/usr/bin/env bash
# Installs and builds what is missing, runs a small system under mixed load, stops an upstream and a VM by plan
# midway, and prints what became of the requests as the last line. Fails when one was lost, doubled or cut.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
bash scripts/build.sh

bin=build/bin
declarations=share/demo
seed=1
work=$(mktemp -d)
. scripts/systemprocesses.sh

clean_up() {
    local status=$?
    stop_all
    [ $status -eq 0 ] && rm -rf "$work" || echo "demo: failed; logs and journals are in $work"
    exit $status
}
trap clean_up EXIT
trap 'exit 130' INT TERM

start_system
wait_until 10 publish "$declarations"
wait_ready
start_callers 3 60 20 \
    "urgent:GET:stock:50,urgent:POST:orders:10:200,standard:POST:orders:20:500,standard:GET:stock:10,bulk:GET:stock:5:100000:10000"
sleep 6
stop_upstream_by_plan stock-west-1
sleep 1
stop_vm_by_plan "${vms[0]}"
wait_callers
cat "$work"/caller-*.log
compare_journals
