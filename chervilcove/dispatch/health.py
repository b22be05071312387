"""Workers judged against their peers.

Load pattern: a worker that fails, or never advances, all that it starts is
always free and so attracts work. A run that fails makes its worker suspect
until one that began since has ended done, or for as long as such spells last:
idle workers are missed in a small pool. Two units that failed there first,
less those made up for, close the worker until it has rested; a unit that had
failed before may fail anywhere, and closes none.
"""

from typing import NamedTuple

FAILED_UNITS_TO_REST = 2  # of a healthy worker one unit in twenty fails
FIRST_REST_S = 6.0  # the users' grey spells last 5 to 7 s
LONGEST_REST_S = 60.0
SUSPECT_S = 8.0  # the users' grey spells last 5 to 7 s


class _Failure(NamedTuple):
    """Hold a failed run; `is_first` if its unit had not failed before."""

    moment: float
    is_first: bool


class _Rest(NamedTuple):
    """Hold the rest of a worker, on trial until a run is done."""

    began: float
    until: float
    length: float


class WorkerHealth:
    """Keep which workers fail what they start; times are monotonic."""

    def __init__(self):
        # By worker and unit, the oldest first.
        self._failed: dict[str, dict[str, _Failure]] = {}
        self._rests: dict[str, _Rest] = {}
        # When the newest run that ended done began.
        self._proved: dict[str, float] = {}

    def note_done(self, worker: str, began: float) -> None:
        """Learn that a run that began at `began` ended done there.

        It makes up for one failure before it began. A run that began before
        the failure says nothing: of a worker that turns bad the long runs
        end done while all that is new fails.
        """
        self._proved[worker] = max(self._proved.get(worker, 0.0), began)
        failed = self._failed.get(worker, {})
        oldest = next(iter(failed), None)
        if oldest is not None and failed[oldest].moment < began:
            del failed[oldest]
        rest = self._rests.get(worker)
        if rest is not None and rest.began < began:
            del self._rests[worker]

    def note_failed(
        self, worker: str, unit: str, now: float, *, is_first: bool = True
    ) -> bool:
        """Learn that a run failed there; return whether a rest begins.

        Args:
            worker: The worker.
            unit: Name of the unit.
            now: Monotonic seconds.
            is_first: Whether the unit had not failed before.
        """
        failed = self._failed.setdefault(worker, {})
        failed.setdefault(unit, _Failure(now, is_first))
        count = sum(one.is_first for one in failed.values())
        is_on_trial = worker in self._rests and is_first
        if is_on_trial or count >= FAILED_UNITS_TO_REST:
            return self._rest(worker, now)
        return False

    def note_refused(self, worker: str, now: float) -> bool:
        """Learn that it ignored an order; return whether a rest begins."""
        return self._rest(worker, now)

    def is_resting(self, worker: str, now: float) -> bool:
        """Tell whether the worker gets no new tasks."""
        return worker in self._rests and now < self._rests[worker].until

    def get_penalty(self, worker: str, now: float) -> int:
        """Return its standing among its peers, 0 for good."""
        rest = self._rests.get(worker)
        if rest is not None and now < rest.until + SUSPECT_S:
            return 2
        failed = self._failed.get(worker, {})
        return int(any(now < x.moment + SUSPECT_S for x in failed.values()))

    def get_proved(self, worker: str) -> float:
        """Return when the newest run began that ended done, 0 for none."""
        return self._proved.get(worker, 0.0)

    def forget(self, worker: str) -> None:
        """Forget a worker that left."""
        self._proved.pop(worker, None)
        self._failed.pop(worker, None)
        self._rests.pop(worker, None)

    def _rest(self, worker: str, now: float) -> bool:
        before = self._rests.get(worker)
        if before is not None and now < before.until:
            return False
        length = FIRST_REST_S
        if before is not None:
            length = min(before.length * 2, LONGEST_REST_S)
        self._rests[worker] = _Rest(now, now + length, length)
        self._failed.pop(worker, None)
        return True
