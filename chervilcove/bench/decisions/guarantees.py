"""Account for the guarantees of customers and check whether they fit."""

import collections
import math
from typing import Any
from typing import NamedTuple

from chervilcove.bench.decisions import shapes
from chervilcove.customers import schema as customers


class WorkerMinimum(NamedTuple):
    """Resources that every worker has at least."""

    processors: float
    memory_gb: float


def find_worker_minimum(
    configuration: customers.Configuration,
) -> WorkerMinimum:
    """Return the smallest resources of any worker in `configuration`."""
    workers = configuration["workers"].values()
    return WorkerMinimum(
        min((worker["processors"] for worker in workers), default=0),
        min((worker["memory_gb"] for worker in workers), default=0),
    )


class Account:
    """Guarantees of one customer and their use by its gangs."""

    def __init__(
        self,
        *,
        customer: str,
        configuration: customers.Configuration,
        worker_minimum: WorkerMinimum,
    ):
        self._configuration = configuration
        self._worker_minimum = worker_minimum
        customer_record = configuration["customers"].get(customer)
        self._guarantees = (
            customer_record["guarantees"] if customer_record else []
        )
        teams = customer_record["teams"] if customer_record else []
        self._unused = [guarantee["count"] for guarantee in self._guarantees]
        self._quota_left = {team["name"]: team["quota"] for team in teams}

    def count_held_gang(self, spec: Any) -> None:
        """Count a gang of the customer that holds places.

        It counts as one whole shape or more of every guarantee.
        """
        size = shapes.count_accelerators(spec)
        team = spec["team"]
        if team in self._quota_left:
            self._quota_left[team] -= size
        if not size:
            return
        for index, guarantee in enumerate(self._guarantees):
            self._unused[index] -= math.ceil(size / guarantee["accelerators"])

    def is_certainly_guaranteed(self, spec: Any) -> bool:
        """Return whether a guarantee covers a held gang in every case.

        Each other gang counts as one whole shape or more of every guarantee.
        The gang is covered if they leave a shape for it.
        """
        size = shapes.count_accelerators(spec)
        for index, guarantee in enumerate(self._guarantees):
            own = math.ceil(size / guarantee["accelerators"])
            if (
                self._always_fits(spec, guarantee)
                and self._unused[index] + own > 0
            ):
                return size > 0
        return False

    @property
    def is_exhausted(self) -> bool:
        """Return whether all shapes of all guarantees are in use."""
        return all(count <= 0 for count in self._unused)

    def claim_shape(self, spec: Any) -> bool:
        """Claim a shape for a waiting gang; return whether one was unused."""
        size = shapes.count_accelerators(spec)
        if not size or self._quota_left.get(spec["team"], size) < size:
            return False
        for index, guarantee in enumerate(self._guarantees):
            if self._unused[index] > 0 and self._always_fits(spec, guarantee):
                self.count_held_gang(spec)
                return True
        return False

    def _always_fits(self, spec: Any, guarantee: customers.Guarantee) -> bool:
        """Return whether the gang fits the shape wherever it is placed."""
        if shapes.count_accelerators(spec) > guarantee["accelerators"]:
            return False
        if not self._satisfies_level(spec, guarantee):
            return False
        centres = guarantee["data_centres"] or list(
            self._configuration["data_centres"]
        )
        allowed = spec["data_centres"]
        if allowed and not set(centres) <= set(allowed):
            return False
        return self._fits_worker_share(spec)

    def _satisfies_level(
        self, spec: Any, guarantee: customers.Guarantee
    ) -> bool:
        required = shapes.get_level_rank(spec["adjacent"])
        given = shapes.get_level_rank(guarantee["adjacent"])
        whole = shapes.WORKER_ACCELERATORS
        is_whole_workers = (
            guarantee["accelerators"] == whole
            and guarantee["adjacent"] == "worker"
        )
        return required >= given or is_whole_workers

    def _fits_worker_share(self, spec: Any) -> bool:
        """Return whether a task needs at most its share of any worker.

        The share is proportional to the task's accelerators.
        """
        part = spec["accelerators"] / shapes.WORKER_ACCELERATORS
        return (
            spec["processors"] <= self._worker_minimum.processors * part + 1e-9
            and spec["memory_gb"]
            <= self._worker_minimum.memory_gb * part + 1e-9
        )


def can_all_fit(
    configuration: customers.Configuration, excluded: frozenset[str]
) -> bool:
    """Return whether all guarantees fit an empty pool at the same time.

    Shapes are packed largest first into the fullest group that still has
    room; shapes that span workers take whole workers. The result is
    conservative: True is always right, False may be wrong.
    """
    free_workers = shapes.list_empty_workers(configuration, excluded)
    free = {
        free_worker.worker: free_worker.mask.bit_count()
        for free_worker in free_workers
    }
    required = [
        guarantee
        for customer in configuration["customers"].values()
        for guarantee in customer["guarantees"]
        for _ in range(guarantee["count"])
    ]
    required.sort(
        key=lambda guarantee: (
            -guarantee["accelerators"],
            shapes.get_level_rank(guarantee["adjacent"]),
            len(guarantee["data_centres"]) or math.inf,
        )
    )
    return all(_pack(guarantee, free_workers, free) for guarantee in required)


def _pack(
    guarantee: customers.Guarantee,
    free_workers: list[shapes.FreeWorker],
    free: dict[str, int],
) -> bool:
    allowed = guarantee["data_centres"]
    usable = [
        free_worker
        for free_worker in free_workers
        if not allowed or free_worker.data_centre in allowed
    ]
    size = 1 << (guarantee["accelerators"] - 1).bit_length()
    whole = shapes.WORKER_ACCELERATORS
    if size <= whole:
        return _pack_small(size, usable, free)
    count = math.ceil(guarantee["accelerators"] / whole)
    groups = collections.defaultdict(list)
    for free_worker in usable:
        if free[free_worker.worker] == whole:
            key = (free_worker.data_centre, free_worker.rack)
            if guarantee["adjacent"] == "data_centre":
                key = (free_worker.data_centre,)
            groups[key].append(free_worker.worker)
    fitting = [group for group in groups.values() if len(group) >= count]
    if not fitting:
        return False
    for worker in min(fitting, key=len)[:count]:
        free[worker] = 0
    return True


def _pack_small(
    size: int, usable: list[shapes.FreeWorker], free: dict[str, int]
) -> bool:
    fitting = [
        free_worker.worker
        for free_worker in usable
        if free[free_worker.worker] >= size
    ]
    if not fitting:
        return False
    free[min(fitting, key=lambda worker: free[worker])] -= size
    return True
