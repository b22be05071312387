"""What workers know of the tasks that they start.

A caller writes a `job` line before it submits the job. A worker looks the steps
up there, so that it needn't understand the caller's `spec`.
"""

import json
import pathlib
from typing import NamedTuple

import xxhash

from tests.processes import record

LASTING_S = 10**6
UNKNOWN_S = 1.0  # of tasks whose job isn't found


class Work(NamedTuple):
    """What a task does.

    Attributes:
        seconds: How long it works.
        members: Number of tasks of its gang, 0 for single tasks.
        saves: Whether it checkpoints its progress.
        fails: Whether this run fails after half of its time.
        lasts: Whether it works until it is stopped.
    """

    seconds: float
    members: int = 0
    saves: bool = False
    fails: bool = False
    lasts: bool = False


class JobBook:
    """Steps of the jobs that were handed in.

    Args:
        folder: Run folder.
        fail_share: Share of the runs that fail.
    """

    def __init__(self, *, folder, fail_share):
        self._folder = pathlib.Path(folder)
        self._fail_share = fail_share
        self._tails = {}
        self._steps = {}

    def find(self, task, run, spec):
        """Return the work of one run of a task."""
        job, _, step, _ = task.split(".")
        if job not in self._steps:
            self._read()
        steps = self._steps.get(job, [])
        number = int(step)
        if number >= len(steps):
            return Work(UNKNOWN_S)
        shape = steps[number]
        lasts = bool(shape.get("persistent"))
        return Work(
            seconds=LASTING_S if lasts else _find_seconds(task, spec, shape),
            members=shape["count"] if shape.get("gang") else 0,
            saves=bool(shape.get("checkpoints")),
            fails=_draw(f"{_unit(task, shape)}/{run}") < self._fail_share,
            lasts=lasts,
        )

    def _read(self):
        for path in self._folder.glob("caller*.jsonl"):
            tail = self._tails.setdefault(path, record.Tail(path=path))
            for line in tail.read():
                if line["kind"] == "job":
                    self._steps[line["job"]] = line["steps"]


def _find_seconds(task, spec, shape):
    """Return the seconds in `spec` ({"work_ms": N}), or some near the estimate.

    All members of a gang take the same time.
    """
    try:
        return json.loads(spec)["work_ms"] / 1000
    except (ValueError, KeyError, TypeError):
        factor = 0.6 + 0.9 * _draw(_unit(task, shape))
        return shape.get("est_ms", 1000) / 1000 * factor


def _unit(task, shape):
    return task.rpartition(".")[0] if shape.get("gang") else task


def _draw(text):
    return xxhash.xxh64(text.encode()).intdigest() / 2**64
