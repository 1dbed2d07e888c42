#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build; this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
for path in ["standins.py", *glob.glob("[0-9]/case.py")]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
