#!/usr/bin/env bash
# Prepares the stand-ins of cases 11 to 15. They are Python programs without dependencies, so there is nothing to
# compile: this checks that they can be read by the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
for it in kit-3/kit.py 1[1-5]/run.py; do
    [ -e "$it" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
