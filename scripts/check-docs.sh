#!/usr/bin/env bash
# Fails when a page links to a file that is not there.
set -euo pipefail
cd "$(dirname "$0")/.."
broken=0
while read -r page; do
    while read -r link; do
        [ -e "$(dirname "$page")/$link" ] && continue
        echo "docs: $page links to $link, which does not exist"
        broken=1
    done < <(grep -oE '\]\([^)#: ]+' "$page" | sed 's/](//')
done < <(git ls-files -co --exclude-standard -- '*.md')
exit $broken
