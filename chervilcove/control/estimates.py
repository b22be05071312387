"""Estimates learned from past jobs: durations, sizes, urgent arrivals."""

import collections
from collections.abc import Iterable
import copy

from chervilcove.dispatch import durations
from chervilcove.dispatch import headroom
from chervilcove.dispatch import pending_steps
from chervilcove.jobs import table

FACTOR_WEIGHT = 0.15  # weight of the newest run in the moving average
# Tasks of one step whose ratio to the declared duration counts; they are all
# off by about the same factor.
MOST_RATIOS_PER_STEP = 8
MAX_URGENT_ARRIVALS = 64  # bounds the cost of a scheduling round


class Estimates:
    """Learn the error of declared durations, and the sizes of jobs.

    Attributes:
        factors: Moving average of actual over declared duration, by queue.
        urgent: The newest urgent arrivals.
    """

    def __init__(self):
        self.factors: dict[str, float] = {}
        self.urgent: collections.deque[headroom.UrgentArrival] = (
            collections.deque(maxlen=MAX_URGENT_ARRIVALS)
        )
        self._ratios = durations.DurationRatios(
            most_per_step=MOST_RATIOS_PER_STEP
        )
        # Ids of the counted jobs; their number and mean declared work by queue.
        self._counted: set[str] = set()
        self._work: dict[str, tuple[int, float]] = {}

    def copy(self) -> "Estimates":
        """Return a copy in which jobs can be recorded apart from this one."""
        other = copy.copy(self)
        other.factors = dict(self.factors)
        other.urgent = self.urgent.copy()
        other._counted = set(self._counted)
        other._work = dict(self._work)
        return other

    def record_duration(self, job: table.Job, step: int, ran_s: float) -> None:
        """Record the duration of a first run that ended as done."""
        estimate_ms = job.spec.steps[step].estimate_ms
        if not estimate_ms:
            return
        queue = job.submission.queue
        known = self.factors.get(queue, 1.0)
        if not job.spec.steps[step].is_filler:  # they run at their pace
            self._ratios.record(
                (job.id, step),
                ran_s=ran_s,
                expected_s=estimate_ms / 1000 * known,
            )
        ratio = ran_s * 1000 / estimate_ms
        self.factors[queue] = known + FACTOR_WEIGHT * (ratio - known)

    def record_jobs(self, jobs: Iterable[table.Job]) -> None:
        """Count new jobs, and record urgent ones as arrivals."""
        for job in jobs:
            if job.id in self._counted:
                continue
            self._counted.add(job.id)
            submission = job.submission
            count, mean = self._work.get(submission.queue, (0, 0.0))
            mean += (pending_steps.compute_declared_work(job.spec) - mean) / (
                count + 1
            )
            self._work[submission.queue] = (count + 1, mean)
            if submission.priority == 0 and not job.spec.is_lasting:
                self.urgent.append(
                    headroom.UrgentArrival(
                        submission.accepted_ms,
                        submission.service,
                        job.spec.steps[0],
                        submission.customer,
                    )
                )

    def estimate_remaining_s(self, *, ran_s: float, expected_s: float) -> float:
        """Return how much longer a run with a declared duration lasts."""
        return self._ratios.estimate_remaining_s(
            ran_s=ran_s, expected_s=expected_s
        )

    def get_mean_work(self) -> dict[str, float]:
        """Return the mean declared work of the counted jobs, by queue."""
        return {queue: mean for queue, (_, mean) in self._work.items()}

    def forget(self, job: str) -> None:
        """Remove a job from the counted jobs."""
        self._counted.discard(job)
