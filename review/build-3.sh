#!/bin/sh
# Checks that the stand-ins which the scripts of cases 11 to 15 start can be
# imported. They are Python programs: nothing has to be compiled.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=".:target/deps:review/shared-3" PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import tests.processes.store
import tests.processes.workers
import minions
import world
CHECK
echo "stand-ins of review 3: ready"
