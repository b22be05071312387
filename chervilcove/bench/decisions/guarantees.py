"""Count what a customer holds against its guarantees, and where they fit."""

import collections
import math
from typing import Any
from typing import NamedTuple

from chervilcove.bench.decisions import shapes
from chervilcove.customers import schema as customers


class LeastWorker(NamedTuple):
    """Hold what every worker has at least."""

    processors: float
    memory_gb: float


def find_least_worker(configuration: customers.Configuration) -> LeastWorker:
    """Return what every worker of `configuration` has at least."""
    workers = configuration["workers"].values()
    return LeastWorker(
        min((worker["processors"] for worker in workers), default=0),
        min((worker["memory_gb"] for worker in workers), default=0),
    )


class Account:
    """Hold the guarantees of one customer and what its gangs take of them."""

    def __init__(
        self,
        *,
        customer: str,
        configuration: customers.Configuration,
        least: LeastWorker,
    ):
        self._configuration = configuration
        self._least = least
        entry = configuration["customers"].get(customer)
        self._guarantees = entry["guarantees"] if entry else []
        teams = entry["teams"] if entry else []
        self._left = [item["count"] for item in self._guarantees]
        self._quotas = {team["name"]: team["quota"] for team in teams}

    def hold(self, spec: Any) -> None:
        """Count a gang of the customer that holds places."""
        size = shapes.count_accelerators(spec)
        team = spec["team"]
        if team in self._quotas:
            self._quotas[team] -= size
        if not size:
            return
        for index, item in enumerate(self._guarantees):
            self._left[index] -= math.ceil(size / item["accelerators"])

    def is_surely_within(self, spec: Any) -> bool:
        """Tell whether a gang that is held must have a shape to itself.

        That is so where the other gangs, each of which counts one whole
        shape or more of every guarantee, leave one for it.
        """
        size = shapes.count_accelerators(spec)
        for index, item in enumerate(self._guarantees):
            own = math.ceil(size / item["accelerators"])
            if self._is_sure_fit(spec, item) and self._left[index] + own > 0:
                return size > 0
        return False

    @property
    def is_full(self) -> bool:
        """Tell whether nothing more is owed."""
        return all(left <= 0 for left in self._left)

    def claim(self, spec: Any) -> bool:
        """Take a shape for a waiting gang; tell whether one is owed to it."""
        size = shapes.count_accelerators(spec)
        if not size or self._quotas.get(spec["team"], size) < size:
            return False
        for index, item in enumerate(self._guarantees):
            if self._left[index] > 0 and self._is_sure_fit(spec, item):
                self.hold(spec)
                return True
        return False

    def _is_sure_fit(self, spec: Any, item: customers.Guarantee) -> bool:
        """Tell whether the gang fits the shape wherever the shape lies."""
        if shapes.count_accelerators(spec) > item["accelerators"]:
            return False
        if not self._is_level_enough(spec, item):
            return False
        centres = item["data_centres"] or list(
            self._configuration["data_centres"]
        )
        allowed = spec["data_centres"]
        if allowed and not set(centres) <= set(allowed):
            return False
        return self._has_share(spec)

    def _is_level_enough(self, spec: Any, item: customers.Guarantee) -> bool:
        wanted = shapes.measure_level(spec["adjacent"])
        given = shapes.measure_level(item["adjacent"])
        whole = shapes.WORKER_ACCELERATORS
        is_whole_workers = (
            item["accelerators"] == whole and item["adjacent"] == "worker"
        )
        return wanted >= given or is_whole_workers

    def _has_share(self, spec: Any) -> bool:
        """Tell whether a task asks at most its share of every worker."""
        part = spec["accelerators"] / shapes.WORKER_ACCELERATORS
        return (
            spec["processors"] <= self._least.processors * part + 1e-9
            and spec["memory_gb"] <= self._least.memory_gb * part + 1e-9
        )


def can_all_fit(
    configuration: customers.Configuration, excluded: frozenset[str]
) -> bool:
    """Tell whether all guarantees surely fit side by side in an empty pool.

    Shapes are packed largest first into the fullest group that still has
    room; what spans workers takes whole ones. A no may be wrong, a yes not.
    """
    rooms = shapes.list_empty_rooms(configuration, excluded)
    free = {room.worker: room.mask.bit_count() for room in rooms}
    wanted = [
        item
        for customer in configuration["customers"].values()
        for item in customer["guarantees"]
        for _ in range(item["count"])
    ]
    wanted.sort(
        key=lambda item: (
            -item["accelerators"],
            shapes.measure_level(item["adjacent"]),
            len(item["data_centres"]) or math.inf,
        )
    )
    return all(_pack(item, rooms, free) for item in wanted)


def _pack(
    item: customers.Guarantee, rooms: list[shapes.Room], free: dict[str, int]
) -> bool:
    allowed = item["data_centres"]
    usable = [
        room for room in rooms if not allowed or room.data_centre in allowed
    ]
    size = 1 << (item["accelerators"] - 1).bit_length()
    whole = shapes.WORKER_ACCELERATORS
    if size <= whole:
        return _pack_small(size, usable, free)
    count = math.ceil(item["accelerators"] / whole)
    groups = collections.defaultdict(list)
    for room in usable:
        if free[room.worker] == whole:
            key = (room.data_centre, room.rack)
            if item["adjacent"] == "data_centre":
                key = (room.data_centre,)
            groups[key].append(room.worker)
    fitting = [group for group in groups.values() if len(group) >= count]
    if not fitting:
        return False
    for worker in min(fitting, key=len)[:count]:
        free[worker] = 0
    return True


def _pack_small(
    size: int, usable: list[shapes.Room], free: dict[str, int]
) -> bool:
    fitting = [room.worker for room in usable if free[room.worker] >= size]
    if not fitting:
        return False
    free[min(fitting, key=lambda worker: free[worker])] -= size
    return True
