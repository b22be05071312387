"""When a task is given up because its workers crash under it.

Load pattern: a job with a task that crashes each worker that starts it, beside
healthy work that is lost with these workers. Workers that fail by themselves,
one after the other or again and again, must not cost a healthy job its life.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Crashes before a task was seen running point to the task, unless they are all
# those of one worker.
MAX_CRASHES_AT_START = 3
# The platform allows two more starts after three crashes.
MAX_CRASHES = 5


class Crash(NamedTuple):
    """Crash of a worker under a task.

    Attributes:
        run: Number of the run.
        index: Number of the task in its gang, 0 for a single task.
        worker: Id of the worker.
        was_running: Whether the task may have been running for some time.
    """

    run: int
    index: int
    worker: str
    was_running: bool


def should_give_up(crashes: Iterable[Crash]) -> bool:
    """Return whether any task of a unit has crashed too many workers.

    Args:
        crashes: Crashes under the tasks of the unit.
    """
    by_task: dict[int, list[Crash]] = {}
    for crash in crashes:
        by_task.setdefault(crash.index, []).append(crash)
    return any(_is_at_limit(of_task) for of_task in by_task.values())


def drop_run(
    crashes: tuple[Crash, ...], run: int, index: int
) -> tuple[Crash, ...]:
    """Return `crashes` without that of one task in one run."""
    return tuple(
        crash for crash in crashes if (crash.run, crash.index) != (run, index)
    )


def _is_at_limit(crashes: list[Crash]) -> bool:
    if len(crashes) >= MAX_CRASHES:
        return True
    at_start = [crash for crash in crashes if not crash.was_running]
    workers = {crash.worker for crash in at_start}
    return len(at_start) >= MAX_CRASHES_AT_START and len(workers) > 1
