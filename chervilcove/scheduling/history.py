"""Run times learned for each customer and kind of work.

Declared run times are inaccurate, so measured run times of the same kind of
work replace them as they become known. A linear regression on the logarithms
of declared and measured run times still separates longer from shorter jobs of
one kind if the two correlate; if they don't, its slope is 0 and the estimate
is the mean. The regression is updated with each run, and recent runs weigh
more than old ones.
"""

import math
from typing import Any
from typing import NamedTuple

from chervilcove.scheduling import core

MAX_KINDS = 4_096
MAX_CARRIED = 16_384
# Weights, in runs, of the declared run time and of the estimate for the kind.
DECLARED_WEIGHT = 0.5
KIND_WEIGHT = 0.5
MAX_SAMPLES = 32
MIN_RUN_S = 1.0
OVERRUN_SHARE = 0.25
# Variance of the logarithms of declared run times that halves the slope.
SLOPE_PRIOR = 0.1


class RunTimeModel(NamedTuple):
    """Linear regression for one kind of work, in logarithms of seconds.

    Attributes:
        count: Number of runs in the means, at most `MAX_SAMPLES`.
        run: Mean run time.
        declared: Mean declared run time.
        variance: Variance of the declared run time.
        covariance: Covariance of the declared and the measured run time.
    """

    count: float = 0.0
    run: float = 0.0
    declared: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def add_run(self, *, run: float, declared: float) -> "RunTimeModel":
        """Return the model updated with one more run."""
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
        """Return the expected run time of a job with `declared`."""
        slope = self.covariance / (self.variance + SLOPE_PRIOR)
        slope = min(max(slope, 0.0), 1.0)
        return self.run + slope * (declared - self.declared)


class History:
    """Run times learned from gangs that ended."""

    def __init__(self):
        self._kinds: dict[str, RunTimeModel] = {}
        self._carried: dict[str, float] = {}
        self._estimates: dict[tuple[str, str, float], float] = {}

    def record_completion(self, *, gang: core.Gang, now: float) -> None:
        """Add the run time of a gang that completed at `now`."""
        run_s = now - gang.since + self._carried.pop(gang.job, 0.0)
        for key in (
            _get_key(gang.customer, gang.kind),
            _get_key("", gang.kind),
        ):
            self._add(key, run_s, gang.declared_s or run_s)

    def carry_over(self, *, gang: core.Gang, now: float) -> None:
        """Record the run time that a stopped gang keeps by its checkpoint."""
        if gang.checkpointable:
            run_s = max(now - gang.since, 0.0)
            carried = self._carried.pop(gang.job, 0.0) + run_s
            self._carried[gang.job] = carried
            _evict_oldest(self._carried, MAX_CARRIED)

    def forget(self, job: str) -> None:
        """Delete the record of a job that ended."""
        self._carried.pop(job, None)

    def get_carried_s(self, job: str) -> float:
        """Return the run time that `job` keeps from earlier runs, seconds."""
        return self._carried.get(job, 0.0)

    def estimate_s(
        self, *, customer: str, kind: str, declared_s: float
    ) -> float:
        """Return the expected run time of a job, in seconds.

        The declared run time is averaged, in logarithms, with the estimates
        for the kind of work and for the kind of work of this customer. Their
        weights grow with the number of runs.
        """
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
        """Return the expected remaining run time of a gang, in seconds.

        A gang that has run longer than its estimate is expected to need
        another quarter of its run time.
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
        """Return all learned values for a snapshot."""
        return {"kinds": self._kinds, "carried": self._carried}

    def load(self, value: dict[str, Any]) -> None:
        """Restore the value of `dump`."""
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


def _evict_oldest(table: dict[str, Any], max_size: int) -> None:
    while len(table) > max_size:
        del table[next(iter(table))]
