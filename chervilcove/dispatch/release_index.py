"""Units that may be released, by worker, and the room that this makes.

Dozens of urgent gangs may wait in a pool of a thousand runs, and the owner
neither renews leases nor reads answers meanwhile. What it takes to make room on
a worker is therefore kept from one search to the next, until the worker
changes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import operator
from typing import NamedTuple

from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs
from chervilcove.jobs import table


class ReleaseCandidate(NamedTuple):
    """A running unit whose resources may be released.

    Attributes:
        unit: The unit.
        allocation: Its allocation.
        cost: Cost of its release: core-seconds lost, or seconds to wait.
    """

    unit: table.UnitKey
    allocation: resource_values.Allocation
    cost: float


class Slot(NamedTuple):
    """Room for one task on a worker, beside the slots before it.

    Attributes:
        cost: Cost of the releases.
        releases: Units that must end for it, beside those before it.
    """

    cost: float
    releases: tuple[ReleaseCandidate, ...]


_FREE_SLOT = Slot(0.0, ())
_get_cost = operator.attrgetter("cost")
MAX_TASKS_PER_WORKER = 64  # the largest gang


class Slots:
    """Slots on a worker in the order of releases, found as they are read.

    Most searches read the first slots of most workers only.
    """

    def __init__(self, found: Iterator[Slot]):
        self._found = found
        self._known: list[Slot] = []

    def get(self, number: int) -> Slot | None:
        """Return a slot by its number, None if there are fewer."""
        while len(self._known) <= number:
            slot = next(self._found, None)
            if slot is None:
                return None
            self._known.append(slot)
        return self._known[number]


class ReleaseIndex:
    """Units that may be released, by worker, for the searches of one round.

    Units are described once their worker is looked at. Each worker is sorted
    alone, as sorting all units took most of a round with 27,000 tasks.

    Args:
        list_units: Returns the units that run on a worker, each once.
        describe: Returns a unit as it was when the index was built, None if it
            may not be released.
    """

    def __init__(
        self,
        *,
        list_units: Callable[[str], Iterable[table.UnitKey]],
        describe: Callable[[table.UnitKey], ReleaseCandidate | None],
    ):
        self._list_units = list_units
        self._describe = describe
        self._by_unit: dict[table.UnitKey, ReleaseCandidate | None] = {}
        self._by_worker: dict[str, list[ReleaseCandidate]] = {}
        # Units whose release costs nothing any more, in the order of that, on
        # workers that were not looked at yet.
        self._freed: dict[str, list[ReleaseCandidate]] = {}
        # Slots by worker and need, each with what was free on the worker and
        # how often costs there had changed.
        self._slots: dict[
            tuple[str, specs.Resources], tuple[tuple[int, ...], Slots]
        ] = {}
        self._cost_changes: dict[str, int] = {}

    def set_free(self, unit: table.UnitKey) -> None:
        """Record that the release of a unit costs nothing from now on."""
        before = self._get(unit)
        if before is None or not before.cost:
            return
        after = before._replace(cost=0.0)
        self._by_unit[unit] = after
        for worker in dict.fromkeys(before.allocation.workers):
            units = self._by_worker.get(worker)
            if units is None:
                self._freed.setdefault(worker, []).append(before)
                continue
            _move_to_front(units, before, after)
            self._cost_changes[worker] = self._cost_changes.get(worker, 0) + 1

    def list_slots(
        self, one: resource_values.WorkerResources, need: specs.Resources
    ) -> Slots:
        """Return all slots for tasks on a worker, in the order of releases.

        Args:
            one: The worker.
            need: Resources of each task.
        """
        name = one.worker.id
        version = (
            one.cpu,
            one.memory_mb,
            one.accelerators,
            self._cost_changes.get(name, 0),
        )
        kept = self._slots.get((name, need))
        if kept is None or kept[0] != version:
            most = resource_values.count_fitting(
                one.worker.capacity, need, MAX_TASKS_PER_WORKER
            )
            slots = self.find_slots_after(one, need, most, frozenset())
            kept = (version, slots)
            self._slots[name, need] = kept
        return kept[1]

    def find_slots_after(
        self,
        one: resource_values.WorkerResources,
        need: specs.Resources,
        limit: int,
        released: frozenset[table.UnitKey],
    ) -> Slots:
        """Return the slots on a worker, at most `limit`, once units have ended.

        Args:
            one: The worker.
            need: Resources of each task.
            limit: Most slots to return.
            released: Units that have ended by then.
        """
        return Slots(self._iterate_slots(one, need, limit, released))

    def _iterate_slots(
        self,
        one: resource_values.WorkerResources,
        need: specs.Resources,
        limit: int,
        released: frozenset[table.UnitKey],
    ) -> Iterator[Slot]:
        name = one.worker.id
        free = one.free
        if released:
            for candidate in self._list_candidates(name):
                if candidate.unit in released:
                    free = _add(free, candidate, name)
        fitting = resource_values.count_fitting(free, need, limit)
        for _ in range(fitting):
            yield _FREE_SLOT
        cpu, memory_mb, accelerators = free
        cost = 0.0
        releases: list[ReleaseCandidate] = []
        if fitting >= limit:
            return
        for candidate in self._list_candidates(name):
            unit, allocation, unit_cost = candidate
            if unit in released:
                continue
            workers = allocation.workers
            count = 1 if len(workers) == 1 else workers.count(name)
            ended = allocation.need
            cpu += ended.cpu * count
            memory_mb += ended.memory_mb * count
            accelerators += ended.accelerators * count
            cost += unit_cost
            releases.append(candidate)
            wanted = fitting + 1
            if (
                (need.cpu and cpu < need.cpu * wanted)
                or (need.memory_mb and memory_mb < need.memory_mb * wanted)
                or (
                    need.accelerators
                    and accelerators < need.accelerators * wanted
                )
            ):
                continue
            free = specs.Resources(cpu, memory_mb, accelerators)
            more = resource_values.count_fitting(free, need, limit) - fitting
            yield Slot(cost, tuple(releases))
            for _ in range(more - 1):
                yield _FREE_SLOT
            fitting += more
            if fitting >= limit:
                return
            cost = 0.0
            releases = []

    def _get(self, unit: table.UnitKey) -> ReleaseCandidate | None:
        if unit not in self._by_unit:
            self._by_unit[unit] = self._describe(unit)
        return self._by_unit[unit]

    def _list_candidates(self, worker: str) -> list[ReleaseCandidate]:
        """Return the units on a worker, cheapest first."""
        found = self._by_worker.get(worker)
        if found is not None:
            return found
        freed = {one.unit: one for one in self._freed.pop(worker, ())}
        found = []
        for unit in self._list_units(worker):
            one = freed.get(unit) or self._get(unit)
            if one is not None:
                found.append(one)
        found = _sort_candidates(found)
        for unit, before in freed.items():
            _move_to_front(found, before, self._by_unit[unit])
        self._by_worker[worker] = found
        return found


def _move_to_front(
    units: list[ReleaseCandidate],
    before: ReleaseCandidate,
    after: ReleaseCandidate,
) -> None:
    units.remove(before)
    units.insert(0, after)


def _sort_candidates(
    candidates: list[ReleaseCandidate],
) -> list[ReleaseCandidate]:
    """Return candidates by cost, those of equal cost by name.

    Names are formatted for equal costs only, as that takes longer than the
    sorting.
    """
    ordered = sorted(candidates, key=_get_cost)
    costs = [one.cost for one in ordered]
    if len(set(costs)) < len(costs):
        ordered.sort(key=get_sort_key)
    return ordered


def get_sort_key(candidate: ReleaseCandidate) -> tuple:
    """Return the key that sorts candidates by cost, then by name."""
    return (candidate.cost, candidate.unit.format())


def _add(
    free: specs.Resources, candidate: ReleaseCandidate, worker: str
) -> specs.Resources:
    """Return what is free on a worker once a unit has ended."""
    count = candidate.allocation.workers.count(worker)
    need = candidate.allocation.need
    return specs.Resources(
        free.cpu + need.cpu * count,
        free.memory_mb + need.memory_mb * count,
        free.accelerators + need.accelerators * count,
    )
