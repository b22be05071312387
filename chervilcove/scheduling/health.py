"""Failures of workers and jobs, and probation of faulty workers.

A worker that fails several jobs in a row, which other workers can run, goes
on probation and returns after a successful trial. A job that fails on several
workers that run other work can never run; its failures don't count against
any worker.
"""

from collections.abc import Iterable
from typing import Any

from chervilcove.scheduling import core

FAILED_JOBS_TO_PROBATION = 3
FAILED_WORKERS_TO_END = 3
FIRST_PROBATION_S = 600.0
MAX_PROBATION_S = 14_400.0
FIRST_BACK_OFF_S = 5.0
MAX_BACK_OFF_S = 300.0
MAX_JOBS = 16_384
MAX_KINDS = 4_096

_FAILURES = (core.Reason.START_FAILED, core.Reason.TASK_FAILED)


def compute_back_off_s(attempts: int) -> float:
    """Return the delay before the next attempt, in seconds.

    Args:
        attempts: Number of failed attempts.
    """
    if attempts < 1:
        return 0.0
    exponent = min(attempts - 1, 16)
    return min(FIRST_BACK_OFF_S * 2**exponent, MAX_BACK_OFF_S)


class Health:
    """Records of workers and jobs that fail."""

    def __init__(self):
        # By worker, the jobs that failed in a row, with the kind of each.
        self._failed_jobs: dict[str, dict[str, str]] = {}
        # By job that has not ended, the workers where it failed.
        self._failed_workers: dict[str, list[str]] = {}
        # Kinds of work that have completed on any worker.
        self._good_kinds: dict[str, None] = {}
        # By worker, the end and the length of its probation in seconds.
        self._probation: dict[str, list[float]] = {}
        # By worker that returned from probation, the length of the last one.
        self._last_probation_s: dict[str, float] = {}

    def observe_end(
        self, *, gang: core.Gang, reason: str, worker: str, now: float
    ) -> list[str]:
        """Record the end of a gang.

        Args:
            gang: The gang.
            reason: Value of `core.Reason`.
            worker: Worker where the failure occurred, empty if unknown.
            now: Log time, seconds.

        Returns:
            The workers whose probation began or ended.
        """
        if reason == core.Reason.COMPLETED:
            changed = self._observe_success(gang)
        elif reason in _FAILURES:
            changed = self._observe_failure(gang, worker, now)
        else:
            changed = []
        if reason in core.FINAL_REASONS:
            self._failed_workers.pop(gang.job, None)
        return changed

    def is_on_probation(self, worker: str) -> bool:
        """Tell whether `worker` is restricted to trials."""
        return worker in self._probation

    def list_trial_workers(self, now: float) -> list[str]:
        """Return the workers that are due for a trial.

        Their probation time has passed. Probation itself ends when a job
        completes there.
        """
        return [
            worker
            for worker, (until, _) in self._probation.items()
            if until <= now
        ]

    def list_failed_workers(self, job: str) -> list[str]:
        """Return the workers where `job` has failed."""
        return self._failed_workers.get(job, [])

    def is_unrunnable(self, job: str) -> bool:
        """Tell whether `job` failed on enough good workers to end it."""
        workers = self.list_failed_workers(job)
        good = [worker for worker in workers if not self._is_suspect(worker)]
        return len(good) >= FAILED_WORKERS_TO_END

    def retain_workers(self, workers: Iterable[str]) -> None:
        """Delete the records of all workers but `workers`."""
        for table in (
            self._failed_jobs,
            self._probation,
            self._last_probation_s,
        ):
            for name in [each for each in table if each not in workers]:
                del table[name]

    def dump(self) -> dict[str, Any]:
        """Return all records for a snapshot."""
        return {
            "failed": self._failed_jobs,
            "jobs": self._failed_workers,
            "good_kinds": list(self._good_kinds),
            "probation": self._probation,
            "past": self._last_probation_s,
        }

    def load(self, value: dict[str, Any]) -> None:
        """Restore the value of `dump`."""
        self._failed_jobs = {key: dict(x) for key, x in value["failed"].items()}
        self._failed_workers = {
            key: list(x) for key, x in value["jobs"].items()
        }
        self._good_kinds = dict.fromkeys(value["good_kinds"])
        self._probation = {
            key: list(x) for key, x in value["probation"].items()
        }
        self._last_probation_s = dict(value["past"])

    def _observe_success(self, gang: core.Gang) -> list[str]:
        _put_bounded(self._good_kinds, _get_kind(gang), None, MAX_KINDS)
        changed = []
        for worker in dict.fromkeys(place.worker for place in gang.places):
            self._failed_jobs.pop(worker, None)
            self._last_probation_s.pop(worker, None)
            if worker in self._probation:
                self._last_probation_s[worker] = self._probation.pop(worker)[1]
                changed.append(worker)
        return changed

    def _observe_failure(
        self, gang: core.Gang, worker: str, now: float
    ) -> list[str]:
        names = list(dict.fromkeys(place.worker for place in gang.places))
        # The failure of a gang on several workers doesn't tell which of them
        # is at fault.
        blamed = [worker] if worker in names else names[: len(names) == 1]
        failed_on = self._failed_workers.get(gang.job, [])
        failed_on = list(dict.fromkeys([*failed_on, *(blamed or names[:1])]))
        _put_bounded(self._failed_workers, gang.job, failed_on, MAX_JOBS)
        changed = []
        for name in blamed:
            jobs = self._failed_jobs.setdefault(name, {})
            jobs[gang.job] = _get_kind(gang)
            if name in self._probation or self._is_suspect(name):
                self._start_probation(name, now)
                changed.append(name)
        if self.is_unrunnable(gang.job):
            for jobs in self._failed_jobs.values():
                jobs.pop(gang.job, None)
        return changed

    def _is_suspect(self, worker: str) -> bool:
        if worker in self._probation:
            return True
        jobs = self._failed_jobs.get(worker, {})
        if len(jobs) < FAILED_JOBS_TO_PROBATION:
            return False
        kinds = set(jobs.values())
        return len(kinds) > 1 or kinds <= set(self._good_kinds)

    def _start_probation(self, worker: str, now: float) -> None:
        last = self._probation.get(worker, [0.0, 0.0])[1]
        last = last or self._last_probation_s.pop(worker, 0.0)
        length = min(last * 2, MAX_PROBATION_S) or FIRST_PROBATION_S
        self._probation[worker] = [now + length, length]
        self._failed_jobs.pop(worker, None)


def _get_kind(gang: core.Gang) -> str:
    return f"{gang.customer}/{gang.kind}"


def _put_bounded(
    table: dict[str, Any], key: str, value: Any, max_size: int
) -> None:
    table.pop(key, None)
    table[key] = value
    while len(table) > max_size:
        del table[next(iter(table))]
