#!/bin/sh
# Prepares the stand-ins of the cases. They are Python without further packages, so this only checks that they
# compile. The programs under review are built by the command of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
python3 - standins.py [0-9]/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
