"""How fast fillers may work beside tasks that serve.

Load pattern: tasks that fill idle processors disturb tasks that serve on the
same worker, by amounts that change within seconds. A report comes about once a
second, and the users allow a few seconds over a target: the first report over
it halves the pace, the next one stops the fillers; they come back in small
steps while there is room to the target.
"""

from collections.abc import Sequence
from typing import NamedTuple

FULL = 100  # percent
LEAST = 50  # pace below which fillers stop as a target is missed, percent
RAISE = 10  # step back up, percent a report
# Shares of a target: above the first it is as good as missed, below the second
# there is room for more disturbance.
MISSED_SHARE = 0.95
CALM_SHARE = 0.7


class Serving(NamedTuple):
    """Hold the response times of a task that serves.

    Attributes:
        tail_ms: Tail of its response times of late, milliseconds.
        target_ms: Bound of it.
    """

    tail_ms: float
    target_ms: int


def choose_pace(pace: int, serving: Sequence[Serving]) -> int:
    """Return the pace of the fillers on one worker, in percent.

    Args:
        pace: Their pace now.
        serving: The tasks that serve there.
    """
    worst = max((one.tail_ms / one.target_ms for one in serving), default=0.0)
    if worst > MISSED_SHARE:
        return pace // 2 if pace > LEAST else 0
    if worst < CALM_SHARE:
        return min(FULL, pace + RAISE) if serving else FULL
    return pace
