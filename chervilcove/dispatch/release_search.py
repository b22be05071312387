"""Search for the running units whose end makes room for a step.

A burst of urgent jobs meets a full pool. Running units are preempted where the
least work is lost with them, and those whose resources turn out not to be
needed are spared. A gang that must share a rack gets the rack that costs least
to empty.
"""

import heapq
from typing import NamedTuple

from chervilcove.dispatch import placement
from chervilcove.dispatch import release_index
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import search_windows
from chervilcove.jobs import table


class ReleasePlan(NamedTuple):
    """An allocation that is possible once the units in `releases` ended."""

    allocation: resource_values.Allocation
    releases: tuple[release_index.ReleaseCandidate, ...]

    @property
    def cost(self) -> float:
        """Return the cost of all releases."""
        return sum(release.cost for release in self.releases)


def find_release_plan(
    resources: resource_values.FleetResources,
    request: placement.PlacementRequest,
    index: release_index.ReleaseIndex,
    *,
    turn: int | None = None,
) -> ReleasePlan | None:
    """Return a cheap set of units whose end makes room for all tasks.

    The set is minimal: without any one of its units the tasks don't fit. It
    needn't be the cheapest set; for a gang that must share a rack, it is the
    cheapest of the sets that are found for each rack.

    Args:
        resources: State of all workers; unchanged on return.
        request: Request that needs workers for all of its tasks.
        index: Units that may be released.
        turn: Selects the workers to search, see `search_windows`; None for all.

    Returns:
        None if the tasks don't fit even if all those units end.
    """
    pools = list_pools(placement.list_eligible(resources, request), request)
    if turn is not None:
        pools = search_windows.limit_pools(pools, request, turn)
    found = [
        (choice.cost, number, choice, pool)
        for number, pool in enumerate(pools)
        if (choice := _choose_slots(pool, request, index)) is not None
    ]
    if not found:
        return None
    _, _, choice, pool = min(found, key=lambda one: one[:2])
    return _Reduction(resources, request, pool).run(choice)


def list_pools(
    eligible: list[resource_values.WorkerResources],
    request: placement.PlacementRequest,
) -> list[list[resource_values.WorkerResources]]:
    """Return the sets of workers that are searched apart from each other."""
    step = request.step
    if not request.requires_locality:
        return [eligible]
    if step.data_rack:
        near = [one for one in eligible if one.worker.rack == step.data_rack]
        return [near]
    if not (step.is_gang and step.same_rack):
        return [eligible]
    racks = resource_values.group_by_rack(eligible)
    return [racks[name] for name in sorted(racks)]


class _Choice(NamedTuple):
    """Workers for all tasks, and the units that must end for them."""

    cost: float
    workers: tuple[str, ...]
    releases: tuple[release_index.ReleaseCandidate, ...]


def _choose_slots(
    pool: list[resource_values.WorkerResources],
    request: placement.PlacementRequest,
    index: release_index.ReleaseIndex,
) -> _Choice | None:
    """Return the cheapest slots of a pool, one by one."""
    need = request.step.need
    by_name = {one.worker.id: one for one in pool}
    slots: dict[str, release_index.Slots] = {}
    heap: list[tuple[float, int, str, int]] = []
    versions = dict.fromkeys(by_name, 0)
    for name, one in by_name.items():
        if not placement.limit_tasks(one, request):
            continue
        slots[name] = index.list_slots(one, need)
        first = slots[name].get(0)
        if first is not None:
            heap.append((first.cost, one.accelerators, name, 0))
    heapq.heapify(heap)
    workers: list[str] = []
    taken = dict.fromkeys(by_name, 0)
    released: dict[table.UnitKey, release_index.ReleaseCandidate] = {}
    cost = 0.0
    while heap and len(workers) < request.count:
        slot_cost, _, name, version = heapq.heappop(heap)
        if version != versions[name]:
            continue
        slot = slots[name].get(taken[name])
        workers.append(name)
        taken[name] += 1
        cost += slot_cost
        touched = {name}
        for release in slot.releases:
            released[release.unit] = release
            touched.update(release.allocation.workers)
        for other in touched & by_name.keys():
            one = by_name[other]
            versions[other] += 1
            if other != name:
                slots[other] = index.find_slots_after(
                    one,
                    need,
                    placement.limit_tasks(one, request),
                    frozenset(released),
                )
            following = None
            if taken[other] < placement.limit_tasks(one, request):
                following = slots[other].get(taken[other])
            if following is not None:
                entry = (
                    following.cost,
                    one.accelerators,
                    other,
                    versions[other],
                )
                heapq.heappush(heap, entry)
    if len(workers) < request.count:
        return None
    return _Choice(cost, tuple(workers), tuple(released.values()))


class _Reduction:
    """Reduce the releases of a choice to those that are needed.

    Whether all tasks fit is told by how many fit on each worker, which changes
    only where a release is taken back. A placement for each release took most
    of a round in which a dozen steps search.
    """

    def __init__(
        self,
        resources: resource_values.FleetResources,
        request: placement.PlacementRequest,
        pool: list[resource_values.WorkerResources],
    ):
        self._resources = resources
        self._request = request
        self._pool = pool
        self._fitting: dict[str, int] = {}  # by worker of the pool
        self._total = 0

    def run(self, choice: _Choice) -> ReleasePlan | None:
        """Return the plan; resources are unchanged on return."""
        for release in choice.releases:
            self._resources.release(release.allocation)
        # Less is free from here on, so that no other worker can fit.
        need = self._request.step.need
        self._pool = [one for one in self._pool if one.fits(need)]
        self._fitting = {one.worker.id: self._count(one) for one in self._pool}
        self._total = sum(self._fitting.values())
        needed: list[release_index.ReleaseCandidate] = []
        # The costliest units are spared first.
        for release in sorted(
            choice.releases, key=release_index.get_sort_key, reverse=True
        ):
            self._resources.allocate(release.allocation)
            self._recount(release)
            if self._total < self._request.count:
                self._resources.release(release.allocation)
                self._recount(release)
                needed.append(release)
        allocation = self._place_all()
        for release in needed:
            self._resources.allocate(release.allocation)
        if allocation is None:
            return None
        return ReleasePlan(allocation, tuple(needed[::-1]))

    def _recount(self, release: release_index.ReleaseCandidate) -> None:
        """Count the tasks on the workers of a release anew."""
        for name in set(release.allocation.workers):
            before = self._fitting.get(name)
            if before is not None:
                after = self._count(self._resources.by_worker[name])
                self._fitting[name] = after
                self._total += after - before

    def _count(self, one: resource_values.WorkerResources) -> int:
        """Return how many of the tasks fit on a worker of the pool.

        The workers of one pool need no further choice by racks, see
        `list_pools`.
        """
        if not one.fits(self._request.step.need):
            return 0
        return one.count_fitting(
            self._request.step.need, placement.limit_tasks(one, self._request)
        )

    def _place_all(self) -> resource_values.Allocation | None:
        """Return a placement of all requested tasks, None if some don't fit."""
        allocation = placement.place_among(self._pool, self._request)
        if allocation is None or len(allocation.workers) < self._request.count:
            return None
        return allocation
