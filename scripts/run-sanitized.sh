#!/usr/bin/env bash
# Builds the tests of what the platform's daemon is made of with the address and undefined behaviour sanitizers, and
# runs them. Takes a few minutes; not part of scripts/test.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
targets=(tst_garbled tst_platform tst_relay tst_granting tst_balancing tst_routing tst_edge)
cmake -S . -B build-sanitized -G Ninja -DCROCUS_SANITIZE=ON >/dev/null
cmake --build build-sanitized --target "${targets[@]}"
for target in "${targets[@]}"; do
    echo "== $target"
    build-sanitized/bin/"$target" | grep -v '^{' || exit 1
done
