"""Simulated workers that start, stop and fail gangs."""

from typing import Any
from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools

_SLACK = 1e-6


class _Hold(NamedTuple):
    """Resources on one worker held by a stopping gang until `until`."""

    mask: int
    processors: float
    memory_gb: float
    until: float


class FakeWorkers:
    """All workers of a pool."""

    def __init__(self, *, platform: dict[str, Any]):
        self._platform = platform
        self.failing: set[str] = set()
        self.starting: dict[str, float] = {}
        self._started: dict[str, float] = {}
        self._holds: dict[str, list[_Hold]] = {}

    def set_failing(self, worker: str, fails: bool) -> None:
        """Set whether `worker` fails every task that it starts."""
        if fails:
            self.failing.add(worker)
        else:
            self.failing.discard(worker)

    def prepare(self, gang: core.Gang, now: float) -> None:
        """Register that `gang` is about to start."""
        self.starting[gang.job] = now

    def start(self, job: str, now: float) -> None:
        """Start all tasks of `job`."""
        del self.starting[job]
        self._started[job] = now

    def stop(self, gang: core.Gang, now: float, hold_s: float) -> float | None:
        """Stop `gang`; keep its resources held for `hold_s` if it had started.

        Returns:
            The time at which it started, or None if it never started.
        """
        if self.starting.pop(gang.job, None) is not None:
            return None
        started = self._started.pop(gang.job)
        if hold_s > 0:
            for place in gang.places:
                self._holds.setdefault(place.worker, []).append(
                    _Hold(
                        place.mask,
                        gang.processors,
                        gang.memory_gb,
                        now + hold_s,
                    )
                )
        return started

    def list_failing_workers(self, gang: core.Gang) -> list[str]:
        """Return the failing workers of `gang`, sorted by name."""
        return sorted({place.worker for place in gang.places} & self.failing)

    def find_ready_time(
        self, gang: core.Gang, pool: pools.Pool, now: float
    ) -> float:
        """Return the time from which no stopping gang holds its places."""
        ready = now + self._platform["agreement_s"]
        for place in gang.places:
            for hold in self._list_holds(place.worker, now):
                if hold.mask & place.mask or self._is_overcommitted(
                    place.worker, pool
                ):
                    ready = max(ready, hold.until)
        return ready

    def _list_holds(self, worker: str, now: float) -> list[_Hold]:
        holds = self._holds.get(worker)
        if not holds:
            return []
        holds = [hold for hold in holds if hold.until > now]
        self._holds[worker] = holds
        return holds

    def _is_overcommitted(self, worker: str, pool: pools.Pool) -> bool:
        """Return whether stopping gangs hold cores or memory that is in use."""
        holds = self._holds[worker]
        processors = sum(hold.processors for hold in holds)
        memory_gb = sum(hold.memory_gb for hold in holds)
        return (
            pool.get_free_processors(worker) + _SLACK < processors
            or pool.get_free_memory_gb(worker) + _SLACK < memory_gb
        )
