#!/usr/bin/env bash
# Fails when a source file is not formatted. With --fix, formats instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard -- '*.h' '*.cpp' | grep -v '_generated\.h$' | xargs -r -P "$(nproc)" -n 16 clang-format "${mode[@]}"
