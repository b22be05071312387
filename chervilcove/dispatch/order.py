"""Which work comes first.

Load pattern: bursts that fill the pool for longer than some objectives
allow. First comes what a customer's guarantee covers, in the order of
arrival. Then the order follows what a second of an accelerator earns: urgent
work in time, urgent work that is late but still earns, other work in time
with the least slack first, other late work, and at last what earns no more
and is finished all the same. In the order of arrival alone, each late job
would make the next one late.
"""

from collections.abc import Sequence
import enum
from typing import NamedTuple

from chervilcove.jobs import configuration
from chervilcove.jobs import specs

# Times its objective by which late work still earns; from the users' rules.
LATE_FACTOR = 3.0
LEAST_ESTIMATE_MS = 100.0  # guess for a task that names none


class Tier(enum.IntEnum):
    """Order work by what its accelerators earn."""

    GUARANTEED = 0
    URGENT = 1
    URGENT_LATE = 2
    IN_TIME = 3
    LATE = 4
    WORTHLESS = 5


class Standing(NamedTuple):
    """Hold what decides on the place of a job in the queue.

    Attributes:
        tier: What its accelerators earn.
        is_urgent: Whether its queue comes first.
        lateness: 0 in time, 1 late, 2 too late to earn.
        slack_ms: Milliseconds it can wait and still be in time.
        since_ms: When its turn came, Unix milliseconds.
        total_slack_ms: Slack that it had at first.
    """

    tier: Tier
    is_urgent: bool
    lateness: int
    slack_ms: float
    since_ms: int
    total_slack_ms: float

    def sort_key(self) -> tuple:
        """Return what sorts standings, the first to run first."""
        if self.tier in (Tier.URGENT, Tier.IN_TIME):
            return (self.tier, self.slack_ms)
        return (self.tier, self.since_ms)


def estimate_chain_ms(spec: specs.JobSpec, factor: float) -> float:
    """Return the longest chain of work of one occurrence.

    Args:
        spec: The job.
        factor: Learned ratio of true to declared durations.
    """
    lengths_ms = [
        max(step.estimate_ms * factor, LEAST_ESTIMATE_MS) for step in spec.steps
    ]
    return measure_chain_ms(spec.steps, lengths_ms)


def measure_chain_ms(
    steps: Sequence[specs.Step], lengths_ms: Sequence[float]
) -> float:
    """Return the longest chain of steps that wait for each other.

    Args:
        steps: The steps.
        lengths_ms: How long each takes.
    """
    ends: list[float] = []
    for step, length_ms in zip(steps, lengths_ms, strict=True):
        begin = max((ends[each] for each in step.after), default=0.0)
        ends.append(begin + length_ms)
    return max(ends)


def rank(
    *,
    queue: configuration.Queue,
    is_guaranteed: bool,
    since_ms: int,
    chain_ms: float,
    left_ms: float,
    now_ms: int,
) -> Standing:
    """Return the standing of a job or of one of its occurrences.

    Args:
        queue: Its queue.
        is_guaranteed: Whether its customer's guarantee covers it.
        since_ms: When it came, or was due; Unix milliseconds.
        chain_ms: Its longest chain of work.
        left_ms: What is left of that chain.
        now_ms: Unix milliseconds.
    """
    objective = queue.stretch * chain_ms + queue.target_ms
    end_ms = now_ms + left_ms
    if end_ms <= since_ms + objective:
        lateness = 0
    elif end_ms <= since_ms + LATE_FACTOR * objective:
        lateness = 1
    else:
        lateness = 2
    is_urgent = queue.priority == 0
    if is_guaranteed:
        tier = Tier.GUARANTEED
    elif lateness == 2:
        tier = Tier.WORTHLESS
    elif is_urgent:
        tier = Tier.URGENT_LATE if lateness else Tier.URGENT
    else:
        tier = Tier.LATE if lateness else Tier.IN_TIME
    return Standing(
        tier=tier,
        is_urgent=is_urgent,
        lateness=lateness,
        slack_ms=since_ms + objective - end_ms,
        since_ms=since_ms,
        total_slack_ms=objective - chain_ms,
    )
