"""Health of workers, judged by the outcomes of their runs.

A worker that fails all that it starts, or on which tasks never advance, is
always free and so attracts work. A failed run makes its worker suspect until a
run that started afterwards succeeds, at most for the usual length of such
faults: leaving idle workers unused costs much in a small pool. The first
failures of two units on a worker, less those made up for by successes, put it
into quarantine. A unit that has failed before may fail on any worker, so its
failures quarantine none.

Load pattern: jobs that can never be done, or a fault of most of a pool.
Failures of a job that fails on most workers say nothing about any of them
(`dispatch/job_faults.py`): quarantines that rest on them are lifted. At most a
part of a pool is in quarantine for what its tasks do, those workers that failed
tasks of the most jobs.
"""

from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from chervilcove.dispatch import job_faults

# On a healthy worker, one unit in twenty fails.
FAILED_UNITS_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 6.0  # partial faults of workers last 5 to 7 s
MAX_QUARANTINE_S = 60.0
SUSPECT_PERIOD_S = 8.0  # partial faults of workers last 5 to 7 s
# Of a pool, one worker at least. More of them seldom fail at once on their own.
MAX_QUARANTINED_SHARE = 1 / 3


class _Failure(NamedTuple):
    """A failed run.

    Attributes:
        failed_at: Monotonic seconds.
        is_first_failure: Whether its unit had not failed before.
    """

    failed_at: float
    is_first_failure: bool


class _Quarantine(NamedTuple):
    """Quarantine of a worker, and the probation that follows it.

    Probation lasts until a run that started after `started` succeeds.

    Attributes:
        started: Monotonic seconds.
        until: Monotonic seconds.
        length_s: Length in seconds.
        failures: Failures that it rests on, by unit; empty if the worker did
            not answer.
        previous: The quarantine before, None if that was made up for.
    """

    started: float
    until: float
    length_s: float
    failures: dict[str, _Failure]
    previous: "_Quarantine | None" = None


class WorkerHealth:
    """Record successes and failures of workers; times are monotonic.

    Args:
        list_pool: Returns the workers of the pool of a worker, itself included.
        on_lift: Called with a worker and a job when a quarantine is lifted, as
            the job turned out to be at fault.
    """

    def __init__(
        self,
        *,
        list_pool: Callable[[str], Collection[str]] = lambda _: (),
        on_lift: Callable[[str, str], None] = lambda worker, job: None,
    ):
        self._list_pool = list_pool
        self._on_lift = on_lift
        self._jobs = job_faults.JobFaults()
        # By worker and unit, oldest failure first.
        self._failures: dict[str, dict[str, _Failure]] = {}
        self._quarantines: dict[str, _Quarantine] = {}
        # Workers with a quarantine that rests on failures of a job, by job.
        self._workers_by_job: dict[str, set[str]] = {}
        # Start of the newest run that succeeded, by worker.
        self._last_success_starts: dict[str, float] = {}

    def record_start(self, unit: str) -> None:
        """Record that a run of a unit was ordered."""
        self._jobs.record_start(unit)

    def record_other_end(self, unit: str) -> None:
        """Record that a run ended neither as done nor as failed."""
        self._jobs.record_other_end(unit)

    def record_success(
        self, worker: str, started: float, *, unit: str = "", now: float = 0.0
    ) -> None:
        """Record that a run that started at `started` succeeded.

        It makes up for one failure that came before it started. A run that
        started before the failure says nothing about the worker's state now:
        on a worker that turns bad, long runs still succeed while all new runs
        fail.

        Args:
            worker: Id of the worker.
            started: Start of the run, monotonic seconds.
            unit: Name of the unit, empty if only the worker counts.
            now: Monotonic seconds.
        """
        if unit:
            self._jobs.record_success(unit, now)
        self._last_success_starts[worker] = max(
            self._last_success_starts.get(worker, 0.0), started
        )
        failures = self._failures.get(worker, {})
        oldest = next(iter(failures), None)
        if oldest is not None and failures[oldest].failed_at < started:
            del failures[oldest]
        quarantine = self._quarantines.get(worker)
        if quarantine is not None and quarantine.started < started:
            self._drop_quarantine(worker)

    def record_failure(
        self,
        worker: str,
        unit: str,
        now: float,
        *,
        is_first_failure: bool = True,
    ) -> bool:
        """Record that a run failed; return whether a quarantine begins.

        Args:
            worker: Id of the worker.
            unit: Name of the unit.
            now: Monotonic seconds.
            is_first_failure: Whether the unit had not failed before.
        """
        self._jobs.record_failure(unit, worker, now)
        failures = self._failures.setdefault(worker, {})
        failures.setdefault(unit, _Failure(now, is_first_failure))
        if self._lift_for_job(job_faults.get_job(unit), now):
            return False
        counted = self._select_counted(failures, now)
        is_on_probation = worker in self._quarantines and is_first_failure
        if is_on_probation or len(counted) >= FAILED_UNITS_TO_QUARANTINE:
            return self._quarantine_within_share(worker, now, counted)
        return False

    def record_standstill(self, worker: str, unit: str, now: float) -> bool:
        """Record that a task doesn't advance.

        Returns:
            Whether a quarantine begins.
        """
        self._jobs.record_failure(unit, worker, now)
        if self._lift_for_job(job_faults.get_job(unit), now):
            return False
        return self._quarantine_within_share(
            worker, now, {unit: _Failure(now, is_first_failure=True)}
        )

    def record_unresponsive(self, worker: str, now: float) -> bool:
        """Quarantine a worker that ignores commands.

        Returns:
            Whether a quarantine begins.
        """
        return self._quarantine(worker, now, {})

    def forget_job(self, job: str, now: float) -> None:
        """Discard the records of a job that has ended.

        Its failures still count, unless they point to the job.
        """
        if self._lift_for_job(job, now):
            for failures in self._failures.values():
                for unit in [
                    one for one in failures if job_faults.get_job(one) == job
                ]:
                    del failures[unit]
        self._workers_by_job.pop(job, None)
        self._jobs.forget(job)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether the worker is quarantined and gets no new tasks."""
        return (
            worker in self._quarantines
            and now < self._quarantines[worker].until
        )

    def get_penalty(self, worker: str, now: float) -> int:
        """Return the sort penalty of the worker.

        Returns:
            0 if it is healthy, 1 if it failed a run within the suspect
            period, 2 if it is quarantined or was within that period.
        """
        quarantine = self._quarantines.get(worker)
        if quarantine is not None and now < quarantine.until + SUSPECT_PERIOD_S:
            return 2
        failures = self._failures.get(worker, {})
        return int(
            any(
                now < one.failed_at + SUSPECT_PERIOD_S
                and not self._jobs.is_at_fault(job_faults.get_job(unit), now)
                for unit, one in failures.items()
            )
        )

    def get_last_success_start(self, worker: str) -> float:
        """Return the start of the newest run that succeeded, 0 for none."""
        return self._last_success_starts.get(worker, 0.0)

    def forget(self, worker: str) -> None:
        """Discard all records of a worker that left."""
        self._last_success_starts.pop(worker, None)
        self._failures.pop(worker, None)
        self._drop_quarantine(worker)

    def _select_counted(
        self, failures: dict[str, _Failure], now: float
    ) -> dict[str, _Failure]:
        """Return the first failures of units whose jobs aren't at fault."""
        return {
            unit: one
            for unit, one in failures.items()
            if one.is_first_failure
            and not self._jobs.is_at_fault(job_faults.get_job(unit), now)
        }

    def _quarantine_within_share(
        self, worker: str, now: float, failures: dict[str, _Failure]
    ) -> bool:
        """Begin a quarantine for failures, unless too much of the pool is.

        The worker replaces the one that failed tasks of the fewest jobs, if it
        failed those of more jobs itself.

        Returns:
            Whether a quarantine begins.
        """
        pool = self._list_pool(worker)
        resting = [
            one
            for one in pool
            if one != worker
            and self.is_quarantined(one, now)
            and self._quarantines[one].failures
        ]
        most = max(1, int(len(pool) * MAX_QUARANTINED_SHARE))
        if pool and len(resting) >= most:
            weakest = min(resting, key=self._count_jobs)
            if self._count_jobs(weakest) >= _count_jobs(failures):
                return False
            self._lift(weakest, self._quarantines[weakest].failures)
        return self._quarantine(worker, now, failures)

    def _count_jobs(self, worker: str) -> int:
        return _count_jobs(self._quarantines[worker].failures)

    def _quarantine(
        self, worker: str, now: float, failures: dict[str, _Failure]
    ) -> bool:
        """Begin a quarantine, twice as long as one not yet made up for.

        Returns:
            False if the worker is quarantined already.
        """
        previous = self._quarantines.get(worker)
        if previous is not None and now < previous.until:
            return False
        length_s = INITIAL_QUARANTINE_S
        if previous is not None:
            length_s = min(previous.length_s * 2, MAX_QUARANTINE_S)
            previous = previous._replace(previous=None)
        self._drop_quarantine(worker)
        self._quarantines[worker] = _Quarantine(
            now, now + length_s, length_s, failures, previous
        )
        for unit in failures:
            job = job_faults.get_job(unit)
            self._workers_by_job.setdefault(job, set()).add(worker)
        self._failures.pop(worker, None)
        return True

    def _lift_for_job(self, job: str, now: float) -> bool:
        """Lift the quarantines that rest on failures of a job at fault.

        Returns:
            Whether the job is at fault.
        """
        if not self._jobs.is_at_fault(job, now):
            return False
        for worker in self._workers_by_job.pop(job, ()):
            failures = self._quarantines[worker].failures
            counted = self._select_counted(failures, now)
            needed = FAILED_UNITS_TO_QUARANTINE
            if self._quarantines[worker].previous is not None:
                needed = 1
            if len(counted) < needed:
                self._lift(worker, counted)
                self._on_lift(worker, job)
        return True

    def _lift(self, worker: str, failures: dict[str, _Failure]) -> None:
        """Undo a quarantine, and keep failures as if it had not begun."""
        previous = self._quarantines[worker].previous
        self._drop_quarantine(worker)
        if previous is not None:
            self._quarantines[worker] = previous
            for unit in previous.failures:
                job = job_faults.get_job(unit)
                self._workers_by_job.setdefault(job, set()).add(worker)
        if failures:
            kept = {**failures, **self._failures.get(worker, {})}
            self._failures[worker] = kept

    def _drop_quarantine(self, worker: str) -> None:
        quarantine = self._quarantines.pop(worker, None)
        if quarantine is None:
            return
        for unit in quarantine.failures:
            workers = self._workers_by_job.get(job_faults.get_job(unit), set())
            workers.discard(worker)
            if not workers:
                self._workers_by_job.pop(job_faults.get_job(unit), None)


def _count_jobs(failures: dict[str, _Failure]) -> int:
    return len({job_faults.get_job(unit) for unit in failures})
