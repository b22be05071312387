"""Runs cases in several processes, with a few concurrent cases in each.

A single process for all cases would need most of a core. Leases expire by the
clock, so on a busy machine that does not give the process a core, cases would
fail because of the machine.
"""

from collections.abc import Callable
import subprocess
import sys
from typing import Any

from gevent import pool
import msgspec

PROCESSES = 6
CONCURRENT_CASES = 2


def run_cases(run: Callable[[str], Any], names: list[str]) -> None:
    """Run the named cases; print each name and outcome as one JSON line."""
    greenlets = pool.Pool(CONCURRENT_CASES)
    for name, outcome in zip(names, greenlets.imap(run, names), strict=True):
        print(msgspec.json.encode((name, outcome)).decode(), flush=True)


def run_in_processes(
    module: str, names: list[str], kind: Any
) -> dict[str, Any]:
    """Run the cases in several processes; return the outcomes by case.

    A case that printed no outcome is missing from the result.

    Args:
        module: Module that runs the cases named by its arguments.
        names: Names of the cases.
        kind: Type of an outcome.
    """
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", module, *share],
            stdout=subprocess.PIPE,
            text=True,
        )
        for share in (names[i::PROCESSES] for i in range(PROCESSES))
        if share
    ]
    try:
        printed = [process.communicate()[0] for process in processes]
    finally:
        for process in processes:
            process.kill()
    return dict(
        msgspec.json.decode(line, type=tuple[str, kind])
        for line in "".join(printed).splitlines()
    )
