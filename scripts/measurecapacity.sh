#!/usr/bin/env bash
# Runs idle systems of several sizes and prints, for each, what control costs one instance: the largest over all
# instances of processor time, memory, datagram bytes and calls to upstreams, and the mean.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
declarations=share/demo
. scripts/systemprocesses.sh
trap stop_all EXIT
trap 'exit 130' INT TERM
idle_seconds=10

# use_vms COUNT NET REGION...: COUNT VMs over the zones of two regions, on addresses 127.NET.<zone>.<n>.
use_vms() {
    local count=$1 net=$2 first=$3 second=$4 index zone region
    vms=()
    for index in $(seq 0 $((count - 1))); do
        zone=$((index % 4 + 1))
        region=$first
        [ $zone -le 2 ] || region=$second
        vms+=("vm-$index:$region-$(((zone - 1) % 2 + 1)):$region:127.$net.$zone.$((150 + index / 4))")
    done
    log_service=127.$net.0.1:7100
    vm_list=127.$net.0.2:7200
}

# sample: for each VM its name, processor ticks, resident KiB, datagram bytes sent, calls to upstreams.
sample() {
    local vm name
    for vm in "${vms[@]}"; do
        name=${vm%%:*}
        echo "$name $(awk '{print $14 + $15}' "/proc/${pid[vm-$name]}/stat")" \
            "$(awk '/VmRSS/ {print $2}' "/proc/${pid[vm-$name]}/status")" \
            "$(curl -s --max-time 2 "http://${vm##*:}:8082/metrics" | awk '
                /event="datagram_bytes_sent"/ {bytes = $2}
                /event="grants_sent"|event="fences_sent"/ {calls += $2}
                END {print bytes + 0, calls + 0}')"
    done
}

measure_size() {
    local set=$1 count=$2 net=$3
    declarations=share/$set
    work=$(mktemp -d)
    use_vms "$count" "$net" "$4" "$5"
    start_system
    wait_until 10 publish "$declarations"
    local vm
    for vm in "${vms[@]}"; do wait_until 30 is_ready "${vm##*:}"; done
    sleep 3
    sample >"$work/before"
    sleep $idle_seconds
    sample >"$work/after"
    python3 - "$set" "$count" "$idle_seconds" "$work/before" "$work/after" "$work/upstreams" <<'PY'
import json, os, sys
name, count, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
rows = [[line.split() for line in open(path)] for path in sys.argv[4:6]]
upstreams = sum(1 for _ in open(sys.argv[6]))
ticks = os.sysconf("SC_CLK_TCK")
def rate(column, scale=1.0):
    values = [(float(b[column]) - float(a[column])) / seconds * scale for a, b in zip(*rows)]
    return round(max(values), 2), round(sum(values) / len(values), 2)
cpu, data, calls = rate(1, 100 / ticks), rate(3), rate(4)
print(json.dumps({"set": name, "vms": count, "upstreams": upstreams, "core_percent_max": cpu[0],
    "core_percent_mean": cpu[1], "resident_mib_max": round(max(float(r[2]) for r in rows[1]) / 1024, 1),
    "datagram_bytes_per_s_max": data[0], "datagram_bytes_per_s_mean": data[1],
    "upstream_calls_per_s_max": calls[0], "upstream_calls_per_s_mean": calls[1]}))
PY
    stop_all
    pid=()
    rm -rf "$work"
}

sizes=${1:-all}
if [ "$sizes" != all ]; then
    measure_size "$@"
    exit
fi
measure_size demo 6 3 west east
measure_size association 6 1 west east
measure_size association 12 1 west east
measure_size kuoo 12 2 mazowsze malopolska
measure_size kuoo 24 2 mazowsze malopolska
