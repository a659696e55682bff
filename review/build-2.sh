#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10. They are Python programs that need only the standard library, as
# the project's own scripts do, so this checks that they compile. The gateways are those of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import glob
import tomllib  # the cases read the deploy file with it

for path in glob.glob("review/standins-2/*.py") + [p for n in range(6, 11) for p in glob.glob(f"review/{n}/*.py")]:
    with open(path, encoding="utf-8") as it:
        compile(it.read(), path, "exec")
END
test -x target/bin/limpetlock || echo "target/bin/limpetlock is missing: run the build of deploy/system.toml first"
