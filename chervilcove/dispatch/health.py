"""Health of workers, judged by the outcomes of their runs.

A worker that fails all that it starts, or on which tasks never advance, is
always free and so attracts work. A failed run makes its worker suspect until a
run that started afterwards succeeds, at most for the usual length of such
faults: leaving idle workers unused costs much in a small pool. The first
failures of two units on a worker, less those made up for by successes, put it
into quarantine. A unit that has failed before may fail on any worker, so its
failures quarantine none.
"""

from typing import NamedTuple

# On a healthy worker, one unit in twenty fails.
FAILED_UNITS_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 6.0  # partial faults of workers last 5 to 7 s
MAX_QUARANTINE_S = 60.0
SUSPECT_PERIOD_S = 8.0  # partial faults of workers last 5 to 7 s


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
    """

    started: float
    until: float
    length_s: float


class WorkerHealth:
    """Record successes and failures of workers; times are monotonic."""

    def __init__(self):
        # By worker and unit, oldest failure first.
        self._failures: dict[str, dict[str, _Failure]] = {}
        self._quarantines: dict[str, _Quarantine] = {}
        # Start of the newest run that succeeded, by worker.
        self._last_success_starts: dict[str, float] = {}

    def record_success(self, worker: str, started: float) -> None:
        """Record that a run that started at `started` succeeded.

        It makes up for one failure that came before it started. A run that
        started before the failure says nothing about the worker's state now:
        on a worker that turns bad, long runs still succeed while all new runs
        fail.
        """
        self._last_success_starts[worker] = max(
            self._last_success_starts.get(worker, 0.0), started
        )
        failures = self._failures.get(worker, {})
        oldest = next(iter(failures), None)
        if oldest is not None and failures[oldest].failed_at < started:
            del failures[oldest]
        quarantine = self._quarantines.get(worker)
        if quarantine is not None and quarantine.started < started:
            del self._quarantines[worker]

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
        failures = self._failures.setdefault(worker, {})
        failures.setdefault(unit, _Failure(now, is_first_failure))
        count = sum(one.is_first_failure for one in failures.values())
        is_on_probation = worker in self._quarantines and is_first_failure
        if is_on_probation or count >= FAILED_UNITS_TO_QUARANTINE:
            return self._quarantine(worker, now)
        return False

    def record_unresponsive(self, worker: str, now: float) -> bool:
        """Quarantine a worker that ignores commands or whose tasks stall.

        Returns:
            Whether a quarantine begins.
        """
        return self._quarantine(worker, now)

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
            any(now < x.failed_at + SUSPECT_PERIOD_S for x in failures.values())
        )

    def get_last_success_start(self, worker: str) -> float:
        """Return the start of the newest run that succeeded, 0 for none."""
        return self._last_success_starts.get(worker, 0.0)

    def forget(self, worker: str) -> None:
        """Discard all records of a worker that left."""
        self._last_success_starts.pop(worker, None)
        self._failures.pop(worker, None)
        self._quarantines.pop(worker, None)

    def _quarantine(self, worker: str, now: float) -> bool:
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
        self._quarantines[worker] = _Quarantine(now, now + length_s, length_s)
        self._failures.pop(worker, None)
        return True
