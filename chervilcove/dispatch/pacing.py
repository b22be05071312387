"""Pacing of fillers on workers that also run serving tasks.

Fillers are tasks that use processors left idle by others. They slow down
serving tasks on the same worker, by amounts that change within seconds.
Response times are reported about once a second, and a target may be exceeded
for a few seconds only: the first report over the target halves the pace, and
the next one stops the fillers. The pace rises again in small steps while the
response times are well below the target.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Paces are in percent of full speed.
FULL_PACE = 100
MIN_PACE = 50  # at or below it, fillers stop instead of slowing down further
PACE_STEP = 10  # raise per report
# Shares of the target. Above the first one the fillers slow down, as the
# target is about to be missed; below the second one they speed up.
SLOWDOWN_SHARE = 0.95
SPEEDUP_SHARE = 0.7


class ServiceLatency(NamedTuple):
    """Response time of a serving task.

    Attributes:
        tail_ms: Recent tail latency, milliseconds.
        target_ms: Upper bound for it, milliseconds.
    """

    tail_ms: float
    target_ms: int


def choose_pace(pace: int, latencies: Sequence[ServiceLatency]) -> int:
    """Return the pace of the fillers on one worker, in percent.

    Args:
        pace: Present pace.
        latencies: Response times of the serving tasks on the worker.
    """
    worst = max((one.tail_ms / one.target_ms for one in latencies), default=0.0)
    if worst > SLOWDOWN_SHARE:
        return pace // 2 if pace > MIN_PACE else 0
    if worst < SPEEDUP_SHARE:
        return min(FULL_PACE, pace + PACE_STEP) if latencies else FULL_PACE
    return pace
