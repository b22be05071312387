"""Ranking of steps that wait.

Bursts fill the pool for longer than some objectives allow. Jobs covered by a
customer's guarantee come first, in order of arrival. The others are ranked by
what a second of an accelerator earns on them: urgent jobs that can end in time,
urgent jobs that are late but still earn, other jobs that can end in time
(least slack first), other late jobs, and last the jobs that earn nothing any
more, which run to their end all the same. In order of arrival alone, each late
job would make the next one late.
"""

from collections.abc import Sequence
import enum
from typing import NamedTuple

from chervilcove.jobs import configuration
from chervilcove.jobs import specs

# A late job earns until its completion time exceeds the objective by this
# factor, by the payoff rules.
LATE_VALUE_FACTOR = 3.0
# Share of its initial slack below which a step doesn't go to slow workers. On a
# slow one, it would use up what is left of it: a step with a stretch of 3 has
# an initial slack of twice its duration.
FAST_SLACK_SHARE = 0.5
MIN_ESTIMATE_MS = 100.0  # also assumed for a task without an estimate


class Tier(enum.IntEnum):
    """Rank jobs by what their accelerators earn, highest first."""

    GUARANTEED = 0
    URGENT = 1
    URGENT_LATE = 2
    IN_TIME = 3
    LATE = 4
    NO_VALUE = 5


# Tiers of jobs that can end in time; they are ordered by slack.
IN_TIME_TIERS = (Tier.URGENT, Tier.IN_TIME)
# Order of the tiers for work within its customer's weight, and for work beyond
# it, by the number of the tier. Work beyond ranks behind all others of the same
# priority that still earn.
_PRECEDENCES = ((0, 0), (1, 2), (1, 2), (3, 4), (3, 4), (5, 6))


class Rank(NamedTuple):
    """Rank of a waiting step, from the state of its job.

    Attributes:
        tier: What the accelerators of the job earn.
        is_urgent: Whether the queue of the job has priority 0.
        lateness: 0 if it can end in time, 1 if it is late, 2 if it is too
            late to earn anything.
        slack_ms: Milliseconds that it can wait and still end in time.
        eligible_since_ms: When the job arrived or its occurrence was due,
            Unix milliseconds.
        initial_slack_ms: Slack at that time.
        is_beyond: Whether its customer sent it beyond its weight.
    """

    tier: Tier
    is_urgent: bool
    lateness: int
    slack_ms: float
    eligible_since_ms: int
    initial_slack_ms: float
    is_beyond: bool = False

    @property
    def may_preempt(self) -> bool:
        """Return whether other work may be stopped for the step.

        What a customer sends beyond its weight runs only where there is room.
        """
        if self.tier is Tier.GUARANTEED:
            return True
        return self.tier is Tier.URGENT and not self.is_beyond

    @property
    def prefers_fast(self) -> bool:
        """Tell whether fast workers come first for it; else slow ones do."""
        return self.is_urgent or (
            self.tier is Tier.IN_TIME
            and self.slack_ms < FAST_SLACK_SHARE * self.initial_slack_ms
        )

    def get_sort_key(self) -> tuple:
        """Return the key that sorts the step to be placed first to the front.

        Jobs that can end in time are sorted by slack, all others by age. The
        third element is 1 for steps that `shares` puts behind the others of
        their tier.
        """
        precedence = _PRECEDENCES[self.tier][self.is_beyond]
        if self.tier in IN_TIME_TIERS:
            return (precedence, self.tier, 0, self.slack_ms)
        return (precedence, self.tier, 0, self.eligible_since_ms)


def compute_critical_path_ms(
    steps: Sequence[specs.Step], durations_ms: Sequence[float]
) -> float:
    """Return the length of the critical path through the steps.

    Args:
        steps: The steps; each depends on earlier ones only.
        durations_ms: Duration of each step.
    """
    ends: list[float] = []
    for step, length_ms in zip(steps, durations_ms, strict=True):
        begin = max((ends[each] for each in step.after), default=0.0)
        ends.append(begin + length_ms)
    return max(ends)


def compute_rank(
    *,
    queue: configuration.Queue,
    is_guaranteed: bool,
    eligible_since_ms: int,
    critical_path_ms: float,
    remaining_ms: float,
    now_ms: int,
    is_beyond: bool = False,
) -> Rank:
    """Return the rank of a step of a job or of one of its occurrences.

    Args:
        queue: Queue of the job.
        is_guaranteed: Whether its customer's guarantee covers it.
        eligible_since_ms: When it arrived or was due, Unix milliseconds.
        critical_path_ms: Critical path of the job.
        remaining_ms: Remaining part of the critical path.
        now_ms: Unix milliseconds.
        is_beyond: Whether its customer sent it beyond its weight.
    """
    objective = queue.stretch * critical_path_ms + queue.target_ms
    end_ms = now_ms + remaining_ms
    if end_ms <= eligible_since_ms + objective:
        lateness = 0
    elif end_ms <= eligible_since_ms + LATE_VALUE_FACTOR * objective:
        lateness = 1
    else:
        lateness = 2
    is_urgent = queue.priority == 0
    if is_guaranteed:
        tier = Tier.GUARANTEED
    elif lateness == 2:
        tier = Tier.NO_VALUE
    elif is_urgent:
        tier = Tier.URGENT_LATE if lateness else Tier.URGENT
    else:
        tier = Tier.LATE if lateness else Tier.IN_TIME
    return Rank(
        tier=tier,
        is_urgent=is_urgent,
        lateness=lateness,
        slack_ms=eligible_since_ms + objective - end_ms,
        eligible_since_ms=eligible_since_ms,
        initial_slack_ms=objective - critical_path_ms,
        is_beyond=is_beyond,
    )
