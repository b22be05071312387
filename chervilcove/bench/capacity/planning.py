"""Processor time of a decision round, by workers, tasks and teams."""

import time
from typing import Any

from chervilcove.bench.capacity import models
from chervilcove.bench.capacity import slopes
from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import policy

WORKER_COUNTS = (24, 250, 1_000)
TASK_COUNTS = (1_000, 9_000, 27_000)
TEAM_COUNTS = (4, 100, 400)
ROUND_COUNT = 40
QUEUED_JOB_COUNT = 50


def measure() -> dict[str, Any]:
    """Measure the milliseconds per round and fit a line to each size."""
    return {
        "by_workers": _measure_rounds(
            "ms per worker",
            [(count, models.Size(count, 0, 4)) for count in WORKER_COUNTS],
        ),
        "by_tasks": _measure_rounds(
            "ms per task",
            [(tasks, models.Size(1_000, tasks, 400)) for tasks in TASK_COUNTS],
        ),
        "by_teams": _measure_rounds(
            "ms per team",
            [(teams, models.Size(250, 0, teams)) for teams in TEAM_COUNTS],
        ),
    }


def _measure_rounds(unit: str, sizes: list) -> dict[str, Any]:
    points = [(x, _measure_round(size) * 1e3) for x, size in sizes]
    return slopes.fit(unit, points)._asdict()


def _measure_round(size: models.Size) -> float:
    """Return the mean processor time of a round, in seconds.

    `QUEUED_JOB_COUNT` jobs wait in each round.
    """
    model = models.Model(size=size)
    model.fill()
    state = model.state
    guarantee_policy = policy.GuaranteePolicy()
    elapsed_s = 0.0
    for number in range(ROUND_COUNT):
        queue = _build_queue(model, number)
        started = time.thread_time()
        guarantee_policy.decide(pool=state.pool, queue=queue, now=1e6 + number)
        elapsed_s += time.thread_time() - started
    return elapsed_s / ROUND_COUNT


def _build_queue(
    model: models.Model, number: int
) -> list[scheduling.QueuedJob]:
    queue = []
    for index in range(QUEUED_JOB_COUNT):
        spec = models.build_spec(f"wait-{number}-{index}", model.size)
        spec["tasks"] = 1
        spec["accelerators"] = 2 ** (index % 4)
        spec["adjacent"] = "worker"
        queue.append(
            scheduling.QueuedJob(
                spec=spec,
                submitted_at=1e6,
                attempts=0,
                attained=0.0,
                not_before=0.0,
            )
        )
    return queue
