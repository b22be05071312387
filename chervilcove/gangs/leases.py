"""Leases of one running gang, and the status that its task reports imply.

The module reads no clock: callers pass times in, in monotonic seconds of
this entry.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import Any
from typing import NamedTuple

from chervilcove.scheduling import core as scheduling

MAX_CLOCK_DRIFT_RATIO = 0.01
EXPIRY_MARGIN_S = 0.2

RUNNING = "running"
DONE = "done"
FAILED = "failed"
MISSING = "missing"


class Timing(NamedTuple):
    """Hold the durations of leases and of calls to workers, in seconds.

    Attributes:
        start_ttl_s: Lifetime of the token that a start requires.
        first_ttl_s: Run lease that the start grants. Renewals extend it once
            `started` is committed.
        run_ttl_s: Run lease that each renewal grants.
        renew_s: Maximum time between two renewals.
        call_timeout_s: Timeout of a call, in addition to the time that the
            worker may wait before it answers.
        stop_grace_s: Time that a worker has for a checkpoint on a stop.
        prepare_patience_s: Maximum wait for preempted gangs to release the
            places.
        recovery_s: Time without a failed call before an unreachable worker
            counts as reachable.
    """

    start_ttl_s: float = 2.0
    first_ttl_s: float = 5.0
    run_ttl_s: float = 20.0
    renew_s: float = 6.0
    call_timeout_s: float = 1.0
    stop_grace_s: float = 2.0
    prepare_patience_s: float = 8.0
    recovery_s: float = 10.0

    @property
    def silence_s(self) -> float:
        """Return how long a worker may be silent before its tasks are lost."""
        return self.run_ttl_s / 2

    @property
    def expiry_delay_s(self) -> float:
        """Return the time after which a lease sent now has expired.

        It allows for clock drift between worker and entry.
        """
        return self.run_ttl_s * (1 + MAX_CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_S


def create_timing(*, run_ttl_s: float, renew_s: float) -> Timing:
    """Return the timing for a run lease and a renewal period.

    With a short run lease, the durations that depend on it shrink in
    proportion, so that a silent worker is called again before its gangs
    count as lost.
    """
    defaults = Timing()
    return defaults._replace(
        start_ttl_s=min(defaults.start_ttl_s, run_ttl_s / 2),
        first_ttl_s=min(defaults.first_ttl_s, run_ttl_s),
        run_ttl_s=run_ttl_s,
        renew_s=renew_s,
        call_timeout_s=min(defaults.call_timeout_s, run_ttl_s / 8),
        recovery_s=min(defaults.recovery_s, run_ttl_s),
    )


class TaskReport(NamedTuple):
    """Hold the state of one task as its worker reports it.

    Attributes:
        index: Index of the task in the gang.
        state: "running", "done", "failed", "stopped", "expired", "missing".
        kept_s: Seconds of work saved in its latest checkpoint.
        result: Return value of the task.
    """

    index: int
    state: str
    kept_s: float
    result: Any


class Outcome(enum.StrEnum):
    """Outcomes of a gang; the final ones are as in the record `ended`."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    LOST = "lost"


class GangStatus(NamedTuple):
    """Describe the status of a gang.

    Attributes:
        outcome: Outcome, `RUNNING` as long as there is none.
        worker: Worker at fault, empty for none.
        detail: Observation behind the outcome, one word.
    """

    outcome: Outcome
    worker: str = ""
    detail: str = ""


class GangLease:
    """Track the leases and tasks of one attempt on all its workers.

    Args:
        job: Job id.
        attempt: Number of the attempt.
        places: Place of each task, in order of task index.
        now: Time at which this entry began to track the attempt.
        timing: Durations of leases.
    """

    def __init__(
        self,
        *,
        job: str,
        attempt: int,
        places: Iterable[scheduling.TaskPlace],
        now: float,
        timing: Timing,
    ):
        self.job = job
        self.attempt = attempt
        self._places = tuple(places)
        self._timing = timing
        self._reports: dict[int, TaskReport] = {}
        self._answered_at = {place.worker: now for place in self._places}
        self._renewal_sent_at = {place.worker: now for place in self._places}

    def list_workers(self) -> list[str]:
        """Return the names of the workers that hold its places."""
        return list(self._answered_at)

    def record_renewal_sent(self, worker: str, now: float) -> None:
        """Record that `worker` may receive a renewal from `now` on."""
        self._renewal_sent_at[worker] = now

    def record_answer(
        self, worker: str, now: float, reports: Iterable[TaskReport]
    ) -> None:
        """Record an answer of `worker`; a task once done stays done."""
        self._answered_at[worker] = now
        for report in reports:
            known = self._reports.get(report.index)
            if known is None or known.state != DONE:
                self._reports[report.index] = report

    def record_missing(self, worker: str) -> None:
        """Record that `worker` doesn't know the gang."""
        for index, place in enumerate(self._places):
            known = self._reports.get(index)
            if place.worker != worker or (known and known.state == DONE):
                continue
            kept_s = known.kept_s if known else 0.0
            self._reports[index] = TaskReport(index, MISSING, kept_s, None)

    def compute_expiry(self, worker: str) -> float:
        """Return the time by which the lease on `worker` has expired."""
        return self._renewal_sent_at[worker] + self._timing.expiry_delay_s

    def list_reports(self) -> dict[int, TaskReport]:
        """Return the latest report on each task by its index."""
        return dict(self._reports)

    def compute_status(self, now: float) -> GangStatus:
        """Return the status of the gang at `now`.

        One lost task makes the whole gang lost, and so does one unfinished
        task on a worker that has been silent for longer than `silence_s`.
        """
        status = evaluate_tasks(self._places, self._reports)
        if status.outcome is not Outcome.RUNNING:
            return status
        for index, place in enumerate(self._places):
            report = self._reports.get(index)
            if report is not None and report.state == DONE:
                continue
            if now - self._answered_at[place.worker] > self._timing.silence_s:
                return GangStatus(Outcome.LOST, place.worker, "silent")
        return status


def evaluate_tasks(
    places: Iterable[scheduling.TaskPlace], reports: Mapping[int, TaskReport]
) -> GangStatus:
    """Return the status of a gang with these task reports.

    A failed task takes precedence over lost ones.
    """
    places = tuple(places)
    lost: GangStatus | None = None
    for index, place in enumerate(places):
        report = reports.get(index)
        if report is None or report.state in (RUNNING, DONE):
            continue
        if report.state == FAILED:
            return GangStatus(Outcome.FAILED, place.worker, FAILED)
        at_fault = place.worker if report.state == MISSING else ""
        lost = lost or GangStatus(Outcome.LOST, at_fault, report.state)
    if lost is not None:
        return lost
    is_done = all(
        index in reports and reports[index].state == DONE
        for index in range(len(places))
    )
    return GangStatus(Outcome.COMPLETED if is_done else Outcome.RUNNING)


def compute_kept_s(count: int, reports: Mapping[int, TaskReport]) -> float:
    """Return the seconds of work that a later attempt need not repeat.

    That is the least checkpointed work of the unfinished tasks, and 0 if one
    of the `count` tasks was never reported.
    """
    if any(index not in reports for index in range(count)):
        return 0.0
    kept = [
        report.kept_s for report in reports.values() if report.state != DONE
    ]
    return min(kept, default=0.0)
