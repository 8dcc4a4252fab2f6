#!/bin/sh
# The stand-ins of the cases 4 to 8 are Python programs of the standard library: there is nothing to compile.
# This checks that they can be read by the interpreter that the scripts use.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob
for name in ["standins.py", "standins2.py"] + sorted(glob.glob("[4-8]/*.py")):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
