#!/usr/bin/env bash
# Checks that the stand-ins and scripts of the review can be started. They need
# Python's standard library only; nothing has to be compiled or installed.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
python3 - standins/*.py [0-9]*/*.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
P
