"""Departures: what to do with the runs on a worker that leaves.

Workers leave with 1.5 to 2.1 s of notice, an eighth of the pool at a time. All
that still runs on a worker is killed when it leaves. Nothing tells the owner
that it left: the run counts as alive until its lease has ended, over 6 s later,
and the members of its gang on other workers are broken. Stopped in time, the
run starts elsewhere within a second. Most runs on such a worker are too young
for a rate of progress, so their ends are judged by the expected duration.

For each run, the delay of its end is compared: a stop costs the work since the
last checkpoint and the time that the stop takes; letting it run costs the work
and the wait for the lease, unless it ends before.
"""

import enum
import math
from typing import NamedTuple

from chervilcove.dispatch import relocation

# Standard deviation of the logarithm of the true over the expected duration.
# Within a step, durations scatter by 15 to 30%.
SIBLING_SCATTER = 0.25
# From job to job, the true over the declared duration scatters by factors of 2
# to 2.5.
DECLARED_SCATTER = 0.8
# Mean work since the last checkpoint. Checkpoints are up to 2 s apart.
UNSAVED_S = 1.0
# A run whose chance to end in time is lower is stopped without waiting for
# more reports of its progress.
MIN_CHANCE = 0.05
# A decision may be left to a later round if a stop then still fits. Rounds are
# at most 0.25 s apart; the rest allows for a late one.
NEXT_DECISION_S = 0.5
# Others come about 4 s after workers have left; the rest is for their start.
REPLACEMENT_S = 5.0
# Progress below this percentage tells too little of a run's duration.
MIN_PERCENT = 5.0


class Action(enum.Enum):
    """What to do with a run on a worker that leaves."""

    WAIT = "wait"  # decide in a later round
    END = "end"  # let it run, to its end or to the departure
    STOP = "stop"  # stop it at once, a gang as a whole


class StopBounds(NamedTuple):
    """Times that decide between a stop and the loss of a worker.

    Attributes:
        stop_s: Longest duration of a stop, seconds.
        expiry_s: Seconds from the loss of a worker until its runs have
            certainly ended.
    """

    stop_s: float
    expiry_s: float


class Expectation(NamedTuple):
    """What is known of the duration of a run.

    Attributes:
        ran_s: Seconds for which it has run.
        duration_s: Median of its duration; 0 if nothing is known.
        scatter: Standard deviation of the logarithm of the true over the
            expected duration.
    """

    ran_s: float
    duration_s: float
    scatter: float

    def compute_end_chance(self, within_s: float) -> float:
        """Return the chance that the run ends within some seconds from now.

        A run that has outlived its expectation is likely to go on.
        """
        if within_s <= 0:
            return 0.0
        if self.duration_s <= 0:
            # With nothing known, it lasts as long again with a chance of half.
            return within_s / (self.ran_s + within_s)
        alive = 1.0 - self._compute_share_ended(self.ran_s)
        if alive < 1e-9:
            return 0.0  # a tail far beyond anything expected
        ended = 1.0 - self._compute_share_ended(self.ran_s + within_s)
        return 1.0 - ended / alive

    def _compute_share_ended(self, after_s: float) -> float:
        if after_s <= 0:
            return 0.0
        deviation = math.log(after_s / self.duration_s) / self.scatter
        return (1.0 + math.erf(deviation / math.sqrt(2.0))) / 2.0


class Outlook(NamedTuple):
    """A run with members on workers that leave.

    Attributes:
        leaves_in_s: Least seconds until the first of these workers leaves.
        expectation: What is known of its duration.
        remaining_s: Seconds to its end by its measured rate of progress; None
            while that is unknown.
        is_resumable: Whether it resumes from a checkpoint.
    """

    leaves_in_s: float
    expectation: Expectation
    remaining_s: float | None
    is_resumable: bool

    @property
    def within_s(self) -> float:
        """Return the seconds in which an end can be stored in time."""
        return max(0.0, self.leaves_in_s - relocation.LEDGER_MARGIN_S)

    def compute_end_chance(self, later_s: float = 0.0) -> float:
        """Return the chance that the run ends and its end is stored.

        Args:
            later_s: Seconds by which the worker leaves later than announced.
        """
        within_s = self.within_s + later_s
        if self.remaining_s is None:
            return self.expectation.compute_end_chance(within_s)
        return 1.0 if self.remaining_s <= within_s else 0.0


class LastingOutlook(NamedTuple):
    """A run of a lasting task with members on workers that leave.

    Attributes:
        leaves_in_s: Least seconds until the first of these workers leaves.
        count: Number of its tasks.
        missing: Number of tasks of its step that don't run.
        may_miss: How many tasks of the step the scheduler itself may keep from
            running at a time.
        has_room: Whether it can start on other workers now.
    """

    leaves_in_s: float
    count: int
    missing: int
    may_miss: int
    has_room: bool


def choose_action(outlook: Outlook, bounds: StopBounds) -> Action:
    """Return what to do with a run whose worker leaves."""
    chance = outlook.compute_end_chance()
    within_s = outlook.within_s
    can_wait = within_s > bounds.stop_s + NEXT_DECISION_S
    if can_wait and chance >= MIN_CHANCE:
        return Action.WAIT if chance < 1.0 - MIN_CHANCE else Action.END
    lost_s = outlook.expectation.ran_s
    if outlook.is_resumable:
        lost_s = min(lost_s, UNSAVED_S)
    killed_s = lost_s + bounds.expiry_s
    # Stops take up to their bound, so a later one succeeds less often.
    fitting = min(1.0, within_s / bounds.stop_s) if bounds.stop_s else 1.0
    stopped_s = fitting * (lost_s + bounds.stop_s) + (1.0 - fitting) * killed_s
    left_s = (1.0 - chance) * killed_s
    if stopped_s < left_s:
        return Action.STOP
    # The announced time is the least. A stop that may come too late still frees
    # the other members of a gang sooner, and costs nothing if the run would not
    # end in the meantime either.
    is_doomed = outlook.compute_end_chance(bounds.stop_s) < MIN_CHANCE
    return Action.STOP if is_doomed else Action.END


def choose_lasting_action(
    outlook: LastingOutlook, bounds: StopBounds
) -> Action:
    """Return what to do with a lasting run whose worker leaves.

    It is moved only where it can start elsewhere, and where the scheduler keeps
    no more tasks of its step from running than it may. Tasks that don't run for
    other reasons count too. A loss with the worker isn't the scheduler's doing.
    """
    within_s = outlook.leaves_in_s - relocation.LEDGER_MARGIN_S
    if within_s < bounds.stop_s:
        return Action.END
    is_allowed = outlook.missing + outlook.count <= outlook.may_miss
    if is_allowed and outlook.has_room:
        return Action.STOP
    return Action.WAIT


def expect_by_progress(
    expectation: Expectation, percent: float, *, is_resumed: bool
) -> Expectation:
    """Return an expectation that takes a first report of progress into account.

    Args:
        expectation: What is known without it.
        percent: Progress in percent.
        is_resumed: Whether the run began from a checkpoint, so that the time
            that it ran doesn't tell its rate.
    """
    if percent < MIN_PERCENT:
        return expectation
    if not is_resumed:
        return Expectation(
            expectation.ran_s,
            expectation.ran_s * 100.0 / percent,
            SIBLING_SCATTER,
        )
    done_s = expectation.duration_s * min(percent, 100.0) / 100
    return expectation._replace(ran_s=max(expectation.ran_s, done_s))
