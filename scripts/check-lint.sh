#!/usr/bin/env bash
# Runs clang-tidy over the compile database. A file that was found clean before, with the same project headers and rules,
# is passed over; the record is kept in the user's cache folder, so that all work trees share it.
set -euo pipefail
cd "$(dirname "$0")/.."
export cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/crocusferry/lint}
mkdir -p "$cache"
export rules
rules=$(sha256sum .clang-tidy | cut -d' ' -f1)

lint_one() {
    local file=$1 key out own
    own=$(dirname "$file")/.clang-tidy
    [ -f "$own" ] && own=$(sha256sum "$own" | cut -d' ' -f1) || own=
    key=$(python3 scripts/lintkey.py "$file" "$rules$own")
    [ -e "$cache/$key" ] && return 0
    if out=$(clang-tidy -p build --quiet "$file" 2>/dev/null); then
        : >"$cache/$key"
    else
        printf '%s\nlint: %s failed\n' "$out" "$file"
        return 1
    fi
}
export -f lint_one
git ls-files -co --exclude-standard -- '*.cpp' | grep -v '_generated' | xargs -r -P "${LINT_JOBS:-$((($(nproc) + 1) / 2))}" -I{} bash -c 'lint_one {}'
