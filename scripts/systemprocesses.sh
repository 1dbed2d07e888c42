# Starts and ends the processes of a small system on loopback addresses; sourced by demo.sh and faultrun.sh.
# Needs $bin (executables), $declarations (a set of declarations) and $work (a folder for logs and journals).

declare -A pid
vms=(west-1-a:west-1:west:127.3.1.101 west-1-b:west-1:west:127.3.1.102 west-2-a:west-2:west:127.3.2.101
    east-1-a:east-1:east:127.3.3.101 east-1-b:east-1:east:127.3.3.102 east-2-a:east-2:east:127.3.4.101)
log_service=127.3.0.1:7100
vm_list=127.3.0.2:7200

# start NAME COMMAND...: in the background, output to NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid[$name]=$!
}

# stop NAME [SIGNAL]: ends a process and waits for it; fails when it failed to end by itself.
stop() {
    local name=$1 signal=${2:-TERM} status=0
    [ -n "${pid[$name]:-}" ] || return 0
    kill -"$signal" "${pid[$name]}" 2>/dev/null || true
    wait "${pid[$name]}" 2>/dev/null || status=$?
    unset "pid[$name]"
    [ "$signal" = KILL ] || return $status
}

stop_all() {
    local name
    for name in "${!pid[@]}"; do
        kill -CONT "${pid[$name]}" 2>/dev/null || true
        kill -KILL "${pid[$name]}" 2>/dev/null || true
    done
    for name in "${!pid[@]}"; do wait "${pid[$name]}" 2>/dev/null || true; done
}

# upstream_rows: name, address and slots of each declared upstream.
upstream_rows() {
    python3 - "$declarations" <<'PY'
import glob, json, sys
for path in sorted(glob.glob(sys.argv[1] + "/*.json")):
    for item in json.load(open(path))["objects"]:
        for upstream in item.get("upstreams", []):
            print(upstream["name"], f'{upstream["address"]}:{upstream["port"]}', upstream["slots"])
PY
}

# vm_entry VM [STATE]: the VM's entry in the list.
vm_entry() {
    local name zone region address
    IFS=: read -r name zone region address <<<"$1"
    printf '{"name":"%s","zone":"%s","region":"%s","address":"%s","caller_port":8080,"peer_port":8081,"state":"%s"}' \
        "$name" "$zone" "$region" "$address" "${2:-live}"
}

write_vm_list() {
    local vm entries=()
    for vm in "${vms[@]}"; do entries+=("$(vm_entry "$vm")"); done
    (IFS=,; echo "{\"vms\":[${entries[*]}]}") >"$work/vms.json"
}

start_log() { start log "$bin/standinlog" --listen "$log_service"; }

start_vm_list() { start vmlist "$bin/standinvmlist" --listen "$vm_list" --vms "$work/vms.json"; }

# start_upstream NAME: as declared.
start_upstream() {
    local name address slots
    read -r name address slots < <(grep "^$1 " "$work/upstreams")
    start "upstream-$name" "$bin/standinupstream" --listen "$address" --name "$name" --slots "$slots" \
        --service-ms "${service_ms:-5}" --journal "$work/upstream-$name.jsonl" --seed "${seed:-1}"
}

# start_vm NAME
start_vm() {
    local vm name zone region address
    for vm in "${vms[@]}"; do
        IFS=: read -r name zone region address <<<"$vm"
        [ "$name" = "$1" ] || continue
        start "vm-$name" "$bin/crocusferryd" --name "$name" --zone "$zone" --region "$region" --address "$address" \
            --caller-port 8080 --peer-port 8081 --admin-port 8082 --log "$log_service" --vm-list "$vm_list"
    done
}

address_of() {
    local vm
    for vm in "${vms[@]}"; do
        [ "${vm%%:*}" = "$1" ] && echo "${vm##*:}"
    done
    return 0
}

start_system() {
    local name _ vm
    upstream_rows >"$work/upstreams"
    write_vm_list
    start_log
    start_vm_list
    while read -r name _; do start_upstream "$name"; done <"$work/upstreams"
    sleep 0.5
    for vm in "${vms[@]}"; do start_vm "${vm%%:*}"; done
}

# publish FOLDER: puts a set of declarations in force.
publish() { "$bin/crocusferry" publish --base latest --log "$log_service" "$1" >>"$work/publish.log" 2>&1; }

# wait_until SECONDS COMMAND...: until the command succeeds.
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -ge $end ] && return 1
        sleep 0.2
    done
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$1:8082/ready")" = 200 ]; }

serves() { curl -s -o /dev/null -D - --max-time 2 "http://$1:8080$2" | grep -qi '^outcome: done'; }

# wait_ready: until every VM is ready and serves a key of each region and service.
wait_ready() {
    local vm path
    for vm in "${vms[@]}"; do wait_until 30 is_ready "${vm##*:}" || return 1; done
    for vm in "${vms[@]}"; do
        for path in /stock/east-0 /stock/west-0 /orders/east-0 /orders/west-0; do
            wait_until 20 serves "${vm##*:}" "$path" || return 1
        done
    done
}

# start_callers COUNT RATE SECONDS MIX: callers that use every VM in turn.
start_callers() {
    local index vm entries=()
    for vm in "${vms[@]}"; do entries+=(--entry "${vm##*:}:8080"); done
    for index in $(seq "$1"); do
        start "caller-$index" "$bin/standincaller" --name "caller$index" "${entries[@]}" --rate "$2" --seconds "$3" \
            --mix "$4" --key-prefix east- --key-prefix west- --zipf 0.9 --seed $((${seed:-1} * 100 + index)) \
            --journal "$work/caller-$index.jsonl"
    done
}

wait_callers() {
    local name
    for name in "${!pid[@]}"; do
        [[ $name == caller-* ]] || continue
        wait "${pid[$name]}" || return 1
        unset "pid[$name]"
    done
}

compare_journals() {
    local file arguments=()
    for file in "$work"/caller-*.jsonl; do arguments+=(--caller "$file"); done
    for file in "$work"/upstream-*.jsonl; do arguments+=(--upstream "$file"); done
    "$bin/comparejournals" "${arguments[@]}"
}

# stop_upstream_by_plan NAME: declares it as leaving, then stops it.
stop_upstream_by_plan() {
    cp -r "$declarations" "$work/leaving"
    sed -i "s/{\"name\": \"$1\",/{\"name\": \"$1\", \"leaving\": true,/" "$work"/leaving/pools-*.json
    publish "$work/leaving"
    sleep 3
    stop "upstream-$1"
}

# stop_vm_by_plan VM: lists it as leaving, then stops it.
stop_vm_by_plan() {
    curl -s -o /dev/null -X POST -d "$(vm_entry "$1" leaving)" "http://$vm_list/vms/${1%%:*}"
    sleep 2
    stop "vm-${1%%:*}"
}
