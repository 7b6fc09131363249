#!/bin/bash
# The stand-ins are Python programs that need its standard library alone, so that nothing is built: this
# checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import glob
for path in glob.glob("stand_ins/*.py") + glob.glob("[0-9]/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
