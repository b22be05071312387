"""Remaining times of runs without a known rate, and durations of gangs.

The load that this answers: 3 of 100 tasks last 7 times as long as the others of
their step, and declared durations are off by half or more. A run that has
outlived its estimate is then no run that ends at once: most of those that are
left after 1.5 times the estimate last several times longer. Its remaining time
is the median over the ended tasks that had lasted at least as long. The median
is taken, not the mean: just past the estimate most runs end soon, and a mean of
both kinds fits neither.

A run whose progress is known is planned by its rate. The ratios serve before
the rate is known, and for runs that report no progress or stand still.

A gang has no siblings on other workers. Its own rate tells how long it takes,
also after it was preempted and waits again.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
import statistics

from chervilcove.dispatch import relocation

MAX_RATIOS = 512  # newest ended tasks that count
# Ended tasks that the remaining time of a run needs, and how many of them have
# to have lasted at least as long. Of 100 tasks, 3 are long.
MIN_RATIOS = 32
MIN_SURVIVORS = 2
# A task that took this many times what was expected is counted as a long one.
LONG_TAIL_RATIO = 3.0
# Remaining time of a run that is assumed at least. The end of a run that is
# overdue isn't near enough for a preemption to wait for it.
MIN_REMAINING_S = 0.5
# Reports of a gang's rate that count, newest ones, and how many are needed. One
# of them may have met a member that stood still for a moment.
MAX_REPORTS = 5
MIN_REPORTS = 2
MAX_STEPS = 2_000  # steps of gangs that are kept; bounds the state

StepKey = tuple[str, int]


class DurationRatios:
    """Learn how far true durations are from what was expected.

    Args:
        most_per_step: Ended tasks of one step that count at most. Durations
            that were declared are off by the same factor for all tasks of a
            step. None for no limit.
    """

    def __init__(self, *, most_per_step: int | None = None):
        self._most_per_step = most_per_step
        self._newest: collections.deque[tuple[StepKey, float]] = (
            collections.deque()
        )
        self._counts: collections.Counter[StepKey] = collections.Counter()
        self._sorted: list[float] = []

    def record(
        self, step: StepKey, *, ran_s: float, expected_s: float
    ) -> float | None:
        """Record a task that ended as done.

        Args:
            step: Job and number of its step.
            ran_s: How long it took, in seconds.
            expected_s: How long it was expected to take, before its end.

        Returns:
            Its ratio, None unless both durations are positive and finite.
        """
        if not (ran_s > 0.0 and 0.0 < expected_s < math.inf):
            return None
        ratio = ran_s / expected_s
        most = self._most_per_step
        if most is not None and self._counts[step] >= most:
            return ratio
        self._newest.append((step, ratio))
        self._counts[step] += 1
        bisect.insort(self._sorted, ratio)
        if len(self._newest) > MAX_RATIOS:
            step, oldest = self._newest.popleft()
            self._counts[step] -= 1
            if not self._counts[step]:
                del self._counts[step]
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        return ratio

    def estimate_remaining_s(self, *, ran_s: float, expected_s: float) -> float:
        """Return how much longer a run lasts, in seconds.

        Without enough ended tasks that lasted as long, a run is expected to
        last as long past its estimate again as it has done.

        Args:
            ran_s: How long it has run.
            expected_s: How long a run like it is expected to take.
        """
        if expected_s > 0.0 and len(self._sorted) >= MIN_RATIOS:
            ratio = ran_s / expected_s
            first = bisect.bisect_right(self._sorted, ratio)
            survivors = len(self._sorted) - first
            if survivors >= MIN_SURVIVORS:
                median = self._sorted[first + survivors // 2]
                return (median - ratio) * expected_s
        return abs(expected_s - ran_s)


class GangDurations:
    """Learn how long gangs take on the median worker, from their own rate."""

    def __init__(self):
        self._reports: dict[StepKey, collections.deque[float]] = {}

    def record(
        self, step: StepKey, rates: Iterable[float | None], factor: float
    ) -> None:
        """Record the present rates of a gang's members.

        Args:
            step: Job and number of the step.
            rates: Rates in percent a second, None while one isn't known. The
                gang is as fast as the slowest member.
            factor: Time factor of the slowest worker.
        """
        known = list(rates)
        if not known or None in known:
            return
        rate = min(known)
        if rate <= 0.0:
            return  # it stands still, which doesn't tell how long it takes
        reports = self._reports.setdefault(
            step, collections.deque(maxlen=MAX_REPORTS)
        )
        reports.append(100.0 / rate / factor)
        if len(self._reports) > MAX_STEPS:
            del self._reports[next(iter(self._reports))]

    def get_duration_s(self, step: StepKey) -> float | None:
        """Return how long a gang takes on the median worker, if known."""
        reports = self._reports.get(step, ())
        return (
            statistics.median(reports) if len(reports) >= MIN_REPORTS else None
        )

    def forget_job(self, job: str) -> None:
        """Discard the gangs of a job that has ended."""
        for step in [one for one in self._reports if one[0] == job]:
            del self._reports[step]


def combine_remaining_s(
    by_rate_s: Iterable[float | None], estimate_by_duration: Callable[[], float]
) -> float:
    """Return how much longer a run lasts, in seconds.

    Args:
        by_rate_s: Remaining time of each task at its rate, None while that
            isn't known and infinity while the task stands still.
        estimate_by_duration: Returns the remaining time by what is expected of
            the run, in seconds; called only where the rate doesn't tell it.
    """
    known = [one for one in by_rate_s if one is not None]
    if not known:
        return max(MIN_REMAINING_S, estimate_by_duration())
    longest_s = max(known)
    if longest_s < math.inf:
        return longest_s
    # A task that stands still isn't about to end.
    return max(relocation.RATE_WINDOW_S, estimate_by_duration())
