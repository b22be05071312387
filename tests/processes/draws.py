"""Jobs that the callers of the soak draw.

A worker can't know from a job how long its tasks really take, so each job's
`spec` holds JSON: {"work_ms": N}, the milliseconds of work of each of its
tasks. A step of its own length isn't possible that way: all tasks of one job
take the same time. A lasting task has 0, as it works until it is stopped.
"""

import json
from typing import NamedTuple

SHORTEST_MS = 300
LONGEST_MS = 20_000
KINDS = {
    "single": 40,
    "gang": 20,
    "steps": 20,
    "lasting": 8,
    "speculative": 12,
}
CANCELLED_SHARE = 0.1
REPEATED_SHARE = 0.05


class Plan(NamedTuple):
    """What a caller does with one job.

    Attributes:
        kind: One of `KINDS`.
        spec: Text for the tasks.
        steps: Steps as submitted.
        cancel_after_s: When to cancel it after it was accepted; None for
            never.
        repeat_after_s: When to send it once more after it was accepted; None
            for never.
        gives_up: Whether the first refusal ends its attempts.
    """

    job: str
    kind: str
    queue: str
    spec: str
    steps: list
    cancel_after_s: float | None
    repeat_after_s: float | None
    gives_up: bool


def draw_plan(rng, queues):
    """Draw a job.

    Args:
        rng: Source of randomness.
        queues: Path prefixes to choose from.
    """
    kind = rng.choices(list(KINDS), weights=list(KINDS.values()))[0]
    is_short = rng.random() < 0.5
    longest_ms = 3_000 if is_short else LONGEST_MS
    work_ms = rng.randint(SHORTEST_MS, longest_ms)
    steps = _DRAWS[kind](rng)
    for step in steps:
        if kind != "lasting":
            step["est_ms"] = int(work_ms * rng.uniform(0.5, 1.5))
        if rng.random() < 0.4:
            step["checkpoints"] = True
    cancel_after_s = None
    if kind == "lasting":
        work_ms = 0
        cancel_after_s = rng.uniform(5.0, 40.0)
    elif rng.random() < CANCELLED_SHARE:
        cancel_after_s = rng.uniform(0.0, work_ms / 1000)
    is_repeated = rng.random() < REPEATED_SHARE
    return Plan(
        job=f"{rng.getrandbits(64):016x}",
        kind=kind,
        queue=rng.choice(queues),
        spec=json.dumps({"work_ms": work_ms}),
        steps=steps,
        cancel_after_s=cancel_after_s,
        repeat_after_s=rng.uniform(0.5, 4.0) if is_repeated else None,
        gives_up=rng.random() < 0.5,
    )


def _draw_need(rng):
    return {
        "cpu": rng.choice([1_000, 4_000, 8_000, 16_000]),
        "mem_mb": rng.choice([1_024, 8_192, 16_384]),
        "gpu": rng.choice([0, 1, 1, 2]),
    }


def _draw_single(rng):
    return [{"count": 1, **_draw_need(rng)}]


def _draw_gang(rng):
    """Draw a gang whose tasks mostly need a worker each."""
    need = _draw_need(rng)
    if rng.random() < 0.7:
        need |= {"cpu": 34_000, "gpu": rng.choice([4, 5, 8])}
    return [{"count": rng.randint(2, 6), "gang": True, **need}]


def _draw_steps(rng):
    first = {"count": rng.randint(1, 3), **_draw_need(rng)}
    second = {"count": rng.randint(1, 3), "after": [0], **_draw_need(rng)}
    if rng.random() < 0.25:
        second |= {"gang": True, "count": rng.randint(2, 3)}
    return [first, second]


def _draw_lasting(rng):
    return [{"count": rng.randint(1, 3), "persistent": True, **_draw_need(rng)}]


def _draw_speculative(rng):
    count = rng.randint(1, 4)
    return [{"count": count, "speculative": True, **_draw_need(rng)}]


_DRAWS = {
    "single": _draw_single,
    "gang": _draw_gang,
    "steps": _draw_steps,
    "lasting": _draw_lasting,
    "speculative": _draw_speculative,
}
