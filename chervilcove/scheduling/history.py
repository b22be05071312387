"""History: run times learned for each customer and kind of work.

Declared run times are far off, so what such work really took replaces the
declaration as it becomes known. Where long declarations go with long runs
within one kind, a line through the logarithms of both still tells longer
jobs from shorter ones; where they do not, its slope is 0 and the mean is
left. Means and slope are updated with each run and forget old ones.
"""

import math
from typing import Any
from typing import NamedTuple

from chervilcove.scheduling import core

MAX_KINDS = 4_096
MAX_CARRIED = 16_384
DECLARED_WEIGHT = 0.5
KIND_WEIGHT = 0.5
MAX_SAMPLES = 32
MIN_RUN_S = 1.0
OVERRUN_SHARE = 0.25
# Variance of declarations, in squared logarithms, that halves the slope.
SLOPE_PRIOR = 0.1


class RunTimeModel(NamedTuple):
    """Hold what one kind of work has taught, in logarithms of seconds.

    Attributes:
        count: Runs that the means stand for, at most `MOST_SAMPLES`.
        run: Mean run time.
        declared: Mean declared run time.
        variance: Variance of the declared run time.
        covariance: Covariance of both.
    """

    count: float = 0.0
    run: float = 0.0
    declared: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def add_run(self, *, run: float, declared: float) -> "RunTimeModel":
        """Return the line after one more run."""
        count = min(self.count + 1.0, MAX_SAMPLES)
        share = 1.0 / count
        off_run = run - self.run
        off_declared = declared - self.declared
        keep = 1.0 - share
        return RunTimeModel(
            count=count,
            run=self.run + share * off_run,
            declared=self.declared + share * off_declared,
            variance=keep * (self.variance + share * off_declared**2),
            covariance=keep
            * (self.covariance + share * off_declared * off_run),
        )

    def predict(self, declared: float) -> float:
        """Return the run time to expect of a job with `declared`."""
        slope = self.covariance / (self.variance + SLOPE_PRIOR)
        slope = min(max(slope, 0.0), 1.0)
        return self.run + slope * (declared - self.declared)


class History:
    """Learn run times from gangs that ended."""

    def __init__(self):
        self._kinds: dict[str, RunTimeModel] = {}
        self._carried: dict[str, float] = {}
        self._estimates: dict[tuple[str, str, float], float] = {}

    def record_completion(self, *, gang: core.Gang, now: float) -> None:
        """Learn from a gang that completed at `now`."""
        run_s = now - gang.since + self._carried.pop(gang.job, 0.0)
        for key in (
            _get_key(gang.customer, gang.kind),
            _get_key("", gang.kind),
        ):
            self._add(key, run_s, gang.declared_s or run_s)

    def carry_over(self, *, gang: core.Gang, now: float) -> None:
        """Remember the work that a stopped gang keeps for its next run."""
        if gang.checkpointable:
            run_s = max(now - gang.since, 0.0)
            carried = self._carried.pop(gang.job, 0.0) + run_s
            self._carried[gang.job] = carried
            _evict_oldest(self._carried, MAX_CARRIED)

    def forget(self, job: str) -> None:
        """Drop what is remembered of a job that ended."""
        self._carried.pop(job, None)

    def get_carried_s(self, job: str) -> float:
        """Return the run time that `job` keeps from earlier runs."""
        return self._carried.get(job, 0.0)

    def estimate_s(
        self, *, customer: str, kind: str, declared_s: float
    ) -> float:
        """Return the run time to expect of a job, in seconds."""
        known = self._estimates.get((customer, kind, declared_s))
        if known is not None:
            return known
        declared = _compute_log(declared_s)
        mean = declared
        for key, weight in (
            (_get_key("", kind), DECLARED_WEIGHT),
            (_get_key(customer, kind), KIND_WEIGHT),
        ):
            line = self._kinds.get(key)
            if line is not None:
                learned = line.predict(declared) * line.count
                mean = (mean * weight + learned) / (weight + line.count)
        if len(self._estimates) >= MAX_CARRIED:
            self._estimates.clear()
        self._estimates[customer, kind, declared_s] = math.exp(mean)
        return math.exp(mean)

    def estimate_remaining_s(self, *, gang: core.Gang, now: float) -> float:
        """Return the time that a running gang still needs, in seconds.

        A gang that has outrun its estimate is taken to need a quarter of
        its run time more.
        """
        run_s = max(now - gang.since, 0.0)
        done_s = run_s + self.get_carried_s(gang.job)
        total_s = self.estimate_s(
            customer=gang.customer,
            kind=gang.kind,
            declared_s=gang.declared_s or done_s,
        )
        if total_s > done_s:
            return total_s - done_s
        return done_s * OVERRUN_SHARE

    def dump(self) -> dict[str, Any]:
        """Return everything learned, for a snapshot."""
        return {"kinds": self._kinds, "carried": self._carried}

    def load(self, value: dict[str, Any]) -> None:
        """Take over what `dump` returned."""
        self._kinds = {
            key: RunTimeModel(*each) for key, each in value["kinds"].items()
        }
        self._carried = dict(value["carried"])
        self._estimates.clear()

    def _add(self, key: str, run_s: float, declared_s: float) -> None:
        self._estimates.clear()
        line = self._kinds.pop(key, RunTimeModel())
        self._kinds[key] = line.add_run(
            run=_compute_log(run_s), declared=_compute_log(declared_s)
        )
        _evict_oldest(self._kinds, MAX_KINDS)


def _compute_log(seconds: float) -> float:
    return math.log(max(seconds, MIN_RUN_S))


def _get_key(customer: str, kind: str) -> str:
    return f"{customer}/{kind}"


def _evict_oldest(table: dict[str, Any], most: int) -> None:
    while len(table) > most:
        del table[next(iter(table))]
