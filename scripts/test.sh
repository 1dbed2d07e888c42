#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
bash scripts/build.sh
bash scripts/check-format.sh
bash scripts/check-lint.sh
bash scripts/check-docs.sh
bash scripts/run-tests.sh
