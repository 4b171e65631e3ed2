#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python modules, those of tests/forwarding among them: nothing is compiled.
# Checks that they parse.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - tests/forwarding/standins.py tests/forwarding/fleet.py review/{6,7,8,9,10}/case.py <<'PY'
import ast, os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        ast.parse(open(path, encoding="utf-8").read(), path)
PY
