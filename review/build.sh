#!/usr/bin/env bash
# The stand-ins are Python scripts that use only the standard library, so nothing is compiled. Checks that they can be
# read and that the build of deploy/system.toml left the program.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - review/common/*.py review/*/case.py <<'PY'
import ast, sys
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
print("stand-ins: %d files read" % len(sys.argv[1:]))
PY
test -x target/bin/limpetlock
