#!/usr/bin/env bash
# Runs one measurement by name: measure.sh NAME [SEED]. Prints JSON lines. Build first.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
seed=${2:-1}

measure_agreement() { build/bin/measureagreement; }
measure_ownership() { build/bin/measureownership 150 "$seed"; }
measure_capacity() { bash scripts/measurecapacity.sh; }
measure_placement() { build/bin/measureplacement; }
measure_service() { build/bin/measureservice --seed "$seed"; }

if ! declare -F "measure_$name" >/dev/null; then
    echo "usage: measure.sh NAME [SEED]; names: $(declare -F | sed -n 's/^declare -f measure_//p' | xargs)" >&2
    exit 2
fi
"measure_$name"
