"""Whether failures point to a job instead of to its workers.

Load pattern: jobs that can never be done, with dozens of tasks that fail
wherever they start, beside sound work. Failures on a worker are evidence
against it only while other tasks of the same job work elsewhere.
"""

import collections
from typing import NamedTuple

# A fault of one or two workers must not be taken for one of the job.
MIN_WORKERS = 3
MEMORY_S = 60.0  # older failures and successes don't count


class _UnitFailures(NamedTuple):
    """Failures of a unit that has not succeeded since.

    Attributes:
        newest_at: Monotonic seconds.
        workers: Workers on which it failed.
    """

    newest_at: float
    workers: frozenset[str]


class _JobOutcomes:
    """Outcomes of the units of one job; times are monotonic seconds.

    Attributes:
        running: Units with a run that have not failed lately.
        failed: Failures by unit, those with the oldest newest one first.
        succeeded: When units succeeded, oldest first.
    """

    def __init__(self):
        self.running: set[str] = set()
        self.failed: collections.OrderedDict[str, _UnitFailures] = (
            collections.OrderedDict()
        )
        self.succeeded: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Number of units in `failed`, by worker.
        self.failures_by_worker: collections.Counter[str] = (
            collections.Counter()
        )

    def add_failure(self, unit: str, worker: str, now: float) -> None:
        """Add a failure of a unit."""
        before = self.drop_failures(unit)
        failures = _UnitFailures(now, before | {worker})
        self.failed[unit] = failures
        self.failures_by_worker.update(failures.workers)

    def drop_failures(self, unit: str) -> frozenset[str]:
        """Forget the failures of a unit; return on which workers they were."""
        if unit not in self.failed:
            return frozenset()
        workers = self.failed.pop(unit).workers
        for worker in workers:
            self.failures_by_worker[worker] -= 1
            if not self.failures_by_worker[worker]:
                del self.failures_by_worker[worker]
        return workers

    def drop_before(self, time_s: float) -> None:
        """Forget what happened before a time."""
        while self.failed:
            unit, failures = next(iter(self.failed.items()))
            if failures.newest_at >= time_s:
                break
            self.drop_failures(unit)
        while self.succeeded and next(iter(self.succeeded.values())) < time_s:
            self.succeeded.popitem(last=False)


class JobFaults:
    """Tell jobs that fail on most workers; times are monotonic seconds."""

    def __init__(self):
        self._jobs: dict[str, _JobOutcomes] = {}

    def record_start(self, unit: str) -> None:
        """Record that a run of a unit was ordered."""
        outcomes = self._jobs.setdefault(get_job(unit), _JobOutcomes())
        if unit not in outcomes.failed:
            outcomes.running.add(unit)

    def record_success(self, unit: str, now: float) -> None:
        """Record that a unit succeeded."""
        outcomes = self._jobs.setdefault(get_job(unit), _JobOutcomes())
        outcomes.running.discard(unit)
        outcomes.drop_failures(unit)
        outcomes.succeeded[unit] = now
        outcomes.succeeded.move_to_end(unit)

    def record_failure(self, unit: str, worker: str, now: float) -> None:
        """Record that a unit failed, or stands still, on a worker."""
        outcomes = self._jobs.setdefault(get_job(unit), _JobOutcomes())
        outcomes.running.discard(unit)
        outcomes.add_failure(unit, worker, now)

    def record_other_end(self, unit: str) -> None:
        """Record that a run ended without a sign of either kind."""
        outcomes = self._jobs.get(get_job(unit))
        if outcomes is not None:
            outcomes.running.discard(unit)

    def is_at_fault(self, job: str, now: float) -> bool:
        """Return whether most units of a job failed, on several workers."""
        outcomes = self._jobs.get(job)
        if outcomes is None:
            return False
        outcomes.drop_before(now - MEMORY_S)
        if len(outcomes.failures_by_worker) < MIN_WORKERS:
            return False
        sound = len(outcomes.running) + len(outcomes.succeeded)
        return len(outcomes.failed) > sound

    def forget(self, job: str) -> None:
        """Discard all records of a job that has ended."""
        self._jobs.pop(job, None)


def get_job(unit: str) -> str:
    """Return the job in the name of a unit."""
    return unit.partition(".")[0]
