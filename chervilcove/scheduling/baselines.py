"""Simple policies that serve as baselines for the shipped policy.

Both serve jobs in order of submission and keep team quotas, but support
neither guarantees nor preemption.
"""

import abc
import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools

_WORKER_ACCELERATORS = 8
_BLOCK_SIZES = {"accelerator": 1, "pair": 2, "quad": 4, "worker": 8}
_ROUNDING_SLACK = 1e-9
_OVERDUE_GRACE_S = 60.0


class _WorkerState:
    """Free resources of one worker while a round is planned."""

    def __init__(
        self,
        *,
        worker: str,
        rack: str,
        data_centre: str,
        mask: int,
        processors: float,
        memory_gb: float,
    ):
        self.worker = worker
        self.rack = rack
        self.data_centre = data_centre
        self.mask = mask
        self.processors = processors
        self.memory_gb = memory_gb

    def copy(self) -> "_WorkerState":
        """Return an independent copy."""
        return _WorkerState(**vars(self))

    def count_tasks(self, spec: core.JobSpec) -> int:
        """Return how many tasks fit into the free processors and memory."""
        count = spec["tasks"]
        if spec["processors"]:
            count = min(
                count,
                int(self.processors / spec["processors"] + _ROUNDING_SLACK),
            )
        if spec["memory_gb"]:
            count = min(
                count, int(self.memory_gb / spec["memory_gb"] + _ROUNDING_SLACK)
            )
        return max(count, 0)

    def allocate(self, mask: int, processors: float, memory_gb: float) -> None:
        """Allocate resources of the worker."""
        self.mask &= ~mask
        self.processors -= processors
        self.memory_gb -= memory_gb

    def release(self, mask: int, processors: float, memory_gb: float) -> None:
        """Free resources of the worker."""
        self.mask |= mask
        self.processors += processors
        self.memory_gb += memory_gb


_WorkerStates = list[_WorkerState]
_Places = tuple[core.TaskPlace, ...]
_Finder = Callable[[_WorkerStates, core.JobSpec], _Places | None]


class _Reservation(NamedTuple):
    """Places and expected start time of the first waiting job."""

    at: float
    places: _Places
    spec: core.JobSpec


class _SimplePolicy(core.Policy, abc.ABC):
    """Base of both policies: order of jobs, quotas and retry delays.

    Attributes:
        learns: Whether the pool may learn from gangs that ended.
    """

    learns = False

    def decide(
        self, *, pool: pools.Pool, queue: list[core.QueuedJob], now: float
    ) -> core.Plan:
        """Return the placements and waits of the next round."""
        states = _list_worker_states(pool)
        quotas = _list_quotas(pool)
        placements: list[core.Placement] = []
        waits: list[core.Wait] = []
        ready = []
        for job in queue:
            reason = _find_blocking_reason(pool, job, now)
            if reason is not None:
                waits.append(core.Wait(job.spec["id"], reason, ""))
            else:
                ready.append(job)
        self._place(pool, states, ready, quotas, placements, waits, now)
        return core.Plan(placements=tuple(placements), waits=tuple(waits))

    @abc.abstractmethod
    def _place(
        self,
        pool: pools.Pool,
        states: _WorkerStates,
        ready: list[core.QueuedJob],
        quotas: dict[tuple[str, str], int],
        placements: list[core.Placement],
        waits: list[core.Wait],
        now: float,
    ) -> None:
        """Append the decisions on `ready` to `placements` and `waits`."""


class FifoFirstFit(_SimplePolicy):
    """Places jobs in order of submission on the first workers that fit."""

    def _place(
        self, pool, states, ready, quotas, placements, waits, now
    ) -> None:
        for job in ready:
            spec = job.spec
            if not _keeps_quota(spec, quotas):
                waits.append(core.Wait(spec["id"], core.Reason.QUOTA, ""))
                continue
            places = _find_first_fit(states, spec)
            if places is None:
                waits.append(core.Wait(spec["id"], core.Reason.NO_ROOM, ""))
                return
            _record_placement(job, places, states, quotas, placements)


class BackfillBestFit(_SimplePolicy):
    """Starts later jobs early if they don't delay the first waiting job.

    This is EASY backfilling (Lifka, 1995): the first job that doesn't fit
    gets a reservation at the time when enough gangs will have ended,
    according to their declared run times. Each gang is placed in the fullest
    group of workers that holds it.
    """

    def __init__(self):
        self._declared_s: dict[str, float] = {}

    def _place(
        self, pool, states, ready, quotas, placements, waits, now
    ) -> None:
        for job in ready:
            self._declared_s[job.spec["id"]] = job.spec["declared_run_s"]
        reservation: _Reservation | None = None
        without: _WorkerStates = []
        failed: set[tuple] = set()
        for job in ready:
            spec = job.spec
            if not _keeps_quota(spec, quotas):
                waits.append(core.Wait(spec["id"], core.Reason.QUOTA, ""))
                continue
            if reservation is None:
                places = _find_best_fit(states, spec)
                if places is not None:
                    _record_placement(job, places, states, quotas, placements)
                    continue
                reservation = self._reserve(pool, states, placements, spec, now)
                without = _subtract(states, reservation)
                waits.append(core.Wait(spec["id"], core.Reason.NO_ROOM, ""))
                continue
            short = now + spec["declared_run_s"] <= reservation.at
            key = (_get_shape_key(spec), short)
            places = None
            if key not in failed:
                places = _find_best_fit(states if short else without, spec)
            if places is None:
                failed.add(key)
                waits.append(
                    core.Wait(spec["id"], core.Reason.BEHIND_OTHERS, "")
                )
                continue
            _record_placement(job, places, states, quotas, placements)
            without = _subtract(states, reservation)

    def _reserve(
        self,
        pool: pools.Pool,
        states: _WorkerStates,
        placements: list[core.Placement],
        spec: core.JobSpec,
        now: float,
    ) -> _Reservation:
        """Find when and where `spec` will fit by declared run times."""
        running = sorted(
            (self._expect_end(gang, now), gang.job)
            for gang in pool.gangs.values()
        )
        low, high = 0, len(running)
        best: _Places = ()
        while low < high:
            middle = (low + high) // 2
            ended = [pool.gangs[job] for _, job in running[: middle + 1]]
            places = _find_best_fit(_release_gangs(states, ended), spec)
            if places is None:
                low = middle + 1
            else:
                best = places
                high = middle
        if not best:
            return _Reservation(now, (), spec)
        return _Reservation(running[low][0], best, spec)

    def _expect_end(self, gang: core.Gang, now: float) -> float:
        declared_s = self._declared_s.get(gang.job, 0.0)
        return max(gang.since + declared_s, now + _OVERDUE_GRACE_S)


def _list_worker_states(pool: pools.Pool) -> _WorkerStates:
    return [
        _WorkerState(
            worker=name,
            rack=worker["rack"],
            data_centre=worker["data_centre"],
            mask=pool.get_free_mask(name),
            processors=pool.get_free_processors(name),
            memory_gb=pool.get_free_memory_gb(name),
        )
        for name, worker in pool.configuration["workers"].items()
        if pool.is_usable(name)
    ]


def _list_quotas(pool: pools.Pool) -> dict[tuple[str, str], int]:
    """Return the unused quota of each configured team.

    Teams that aren't configured have no quota.
    """
    left = {
        (customer["name"], team["name"]): team["quota"]
        for customer in pool.configuration["customers"].values()
        for team in customer["teams"]
    }
    for gang in pool.gangs.values():
        size = sum(place.mask.bit_count() for place in gang.places)
        key = (gang.customer, gang.team)
        if key in left:
            left[key] -= size
    return left


def _find_blocking_reason(
    pool: pools.Pool, job: core.QueuedJob, now: float
) -> core.Reason | None:
    """Return why `job` can't be placed now regardless of free resources."""
    if job.not_before > now:
        return core.Reason.BACK_OFF
    centres = pool.configuration["data_centres"]
    allowed = job.spec["data_centres"]
    if allowed and not any(
        centres[name]["in_service"] for name in allowed if name in centres
    ):
        return core.Reason.DATA_CENTRE_OUT
    return None


def _keeps_quota(
    spec: core.JobSpec, quotas: dict[tuple[str, str], int]
) -> bool:
    size = spec["tasks"] * spec["accelerators"]
    key = (spec["customer"], spec["team"])
    return not size or key not in quotas or quotas[key] >= size


def _record_placement(
    job: core.QueuedJob,
    places: _Places,
    states: _WorkerStates,
    quotas: dict[tuple[str, str], int],
    placements: list[core.Placement],
) -> None:
    spec = job.spec
    _take_places(states, places, spec)
    key = (spec["customer"], spec["team"])
    if key in quotas:
        quotas[key] -= spec["tasks"] * spec["accelerators"]
    placements.append(core.Placement(spec["id"], job.attempts + 1, "", places))


def _take_places(
    states: _WorkerStates, places: _Places, spec: core.JobSpec
) -> None:
    by_name = {state.worker: state for state in states}
    for place in places:
        state = by_name.get(place.worker)
        if state is not None:
            state.allocate(place.mask, spec["processors"], spec["memory_gb"])


def _subtract(
    states: _WorkerStates, reservation: _Reservation
) -> _WorkerStates:
    """Return copies of `states` without the reserved resources."""
    left = [state.copy() for state in states]
    _take_places(left, reservation.places, reservation.spec)
    return left


def _release_gangs(
    states: _WorkerStates, ended: Iterable[core.Gang]
) -> _WorkerStates:
    """Return copies of `states` with the resources of `ended` freed."""
    freed = [state.copy() for state in states]
    by_name = {state.worker: state for state in freed}
    for gang in ended:
        for place in gang.places:
            state = by_name.get(place.worker)
            if state is not None:
                state.release(place.mask, gang.processors, gang.memory_gb)
    return freed


def _get_shape_key(spec: core.JobSpec) -> tuple:
    return (
        spec["tasks"],
        spec["accelerators"],
        spec["adjacent"],
        spec["processors"],
        spec["memory_gb"],
        tuple(spec["data_centres"]),
    )


def _find_first_fit(
    states: _WorkerStates, spec: core.JobSpec
) -> _Places | None:
    """Return the first places that fit the gang, in order of configuration."""
    for group in _list_groups(states, spec):
        places = _fill(group, spec)
        if places is not None:
            return places
    return None


def _find_best_fit(states: _WorkerStates, spec: core.JobSpec) -> _Places | None:
    """Return places in the fullest group of workers that fits the gang."""
    groups = [
        (sum(_count_free(state) for state in group), index, group)
        for index, group in enumerate(_list_groups(states, spec))
    ]
    groups.sort()
    size = spec["tasks"] * spec["accelerators"]
    for free, _, group in groups:
        if free < size:
            continue
        group.sort(key=_count_free)
        places = _fill(group, spec)
        if places is not None:
            return places
    return None


def _count_free(state: _WorkerState) -> int:
    return state.mask.bit_count()


def _list_groups(
    states: _WorkerStates, spec: core.JobSpec
) -> list[_WorkerStates]:
    """Return the groups of workers one of which must hold the gang."""
    groups: dict[tuple[str, ...], _WorkerStates] = collections.defaultdict(list)
    level = spec["adjacent"]
    allowed = spec["data_centres"]
    for state in states:
        if allowed and state.data_centre not in allowed:
            continue
        key: tuple[str, ...] = (state.data_centre,)
        if level == "rack":
            key = (state.data_centre, state.rack)
        elif level in _BLOCK_SIZES:
            key = (state.worker,)
        groups[key].append(state)
    return list(groups.values())


def _fill(group: _WorkerStates, spec: core.JobSpec) -> _Places | None:
    """Return places for all tasks within one group, None if they don't fit."""
    size = _BLOCK_SIZES.get(spec["adjacent"], _WORKER_ACCELERATORS)
    if spec["adjacent"] not in _BLOCK_SIZES:
        places: list[core.TaskPlace] = []
        for state in group:
            places.extend(
                _fill_block(state, spec, 0, size, spec["tasks"] - len(places))
            )
            if len(places) == spec["tasks"]:
                return tuple(places)
        return None
    for start in range(0, _WORKER_ACCELERATORS, size):
        places = _fill_block(group[0], spec, start, size, spec["tasks"])
        if len(places) == spec["tasks"]:
            return tuple(places)
    return None


def _fill_block(
    state: _WorkerState,
    spec: core.JobSpec,
    first: int,
    length: int,
    max_count: int,
) -> list[core.TaskPlace]:
    """Return places for up to `max_count` tasks within a block of one worker.

    Args:
        state: State of the worker.
        spec: The job.
        first: First accelerator of the block.
        length: Accelerators of the block.
        max_count: Maximum number of places.
    """
    size = spec["accelerators"]
    if size and not state.mask:
        return []
    max_count = min(max_count, state.count_tasks(spec))
    if not size:
        return [core.TaskPlace(state.worker, 0)] * max_count
    places = []
    for start in range(first, first + length, size):
        if len(places) >= max_count:
            break
        wanted = ((1 << size) - 1) << start
        if state.mask & wanted == wanted:
            places.append(core.TaskPlace(state.worker, wanted))
    return places
