"""Placement of the tasks of a step on workers.

Tasks of 1 to 8 accelerators share a pool that is two thirds full. Small tasks
spread over idle workers would leave no whole worker for a task of 8, so
placement is best fit: a task goes where the least is left free, and untouched
workers come last, for gangs those of untouched racks. A gang that must share a
rack gets the rack that it fills best. A step with a data rack is placed there,
or waits for it while its objective allows.

Some workers fail what they start. A task that has failed once is lost with its
job if it fails again, so it is placed on workers without failures only, first
on those where a run succeeded most recently.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import heapq
import types
from typing import NamedTuple

from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import speeds
from chervilcove.jobs import specs

# Order of speed classes: work that can wait leaves the fast workers. Degraded
# workers come last for all work.
FAST_FIRST = (0, 1, 2, 3)
SLOW_FIRST = (2, 1, 0, 3)


class PlacementRequest(NamedTuple):
    """Request for workers for tasks of one step.

    Attributes:
        step_key: Key of the step: job, occurrence and step number.
        step: Description of the step.
        count: Number of tasks to place.
        service: Pool of workers.
        requires_locality: Whether the tasks may be placed only on the rack of
            their data, or a gang on one rack, where the step asks for it.
        allowed: Workers that the queue's policy grants; None for all.
        requires_healthy: Whether only workers without failures are used.
        prefers_fast: Whether fast workers come first; else slow ones do.
        costs: Slowdown by neighbours on a worker, by its id; absent for none.
    """

    step_key: tuple[str, int, int]
    step: specs.Step
    count: int
    service: str
    requires_locality: bool
    allowed: frozenset[str] | None = None
    requires_healthy: bool = False
    prefers_fast: bool = False
    costs: Mapping[str, float] = types.MappingProxyType({})


def place(
    resources: resource_values.FleetResources, request: PlacementRequest
) -> resource_values.Allocation | None:
    """Return workers for the requested tasks, without allocating them.

    A gang gets workers for all of its tasks or none. For other steps as many
    tasks as fit are placed.
    """
    return place_among(list_eligible(resources, request), request)


def list_eligible(
    resources: resource_values.FleetResources, request: PlacementRequest
) -> list[resource_values.WorkerResources]:
    """Return the workers that the request may use, whether they fit or not."""
    schedulable = resources.list_schedulable(
        request.service, request.step.label
    )
    if request.allowed is None and not request.requires_healthy:
        return schedulable
    return [
        one
        for one in schedulable
        if (request.allowed is None or one.worker.id in request.allowed)
        and not (request.requires_healthy and one.penalty)
    ]


def place_among(
    eligible: list[resource_values.WorkerResources], request: PlacementRequest
) -> resource_values.Allocation | None:
    """Like `place`, on some of the workers that `list_eligible` returns."""
    cpu, memory_mb, accelerators = request.step.need
    candidates = [
        one
        for one in eligible
        if one.memory_mb >= memory_mb
        and one.cpu >= cpu
        and one.accelerators >= accelerators
    ]
    if not candidates:
        return None
    if not request.step.is_gang:
        if request.step.data_rack and request.requires_locality:
            near = _filter_by_rack(candidates, request.step.data_rack)
            candidates = near or []
        chosen = _choose_workers(candidates, request)
        return _build_allocation(request, chosen) if chosen else None
    return _place_gang(candidates, request)


def _place_gang(
    candidates: list[resource_values.WorkerResources], request: PlacementRequest
) -> resource_values.Allocation | None:
    groups: list[list[resource_values.WorkerResources]] = []
    if request.step.data_rack:
        groups += _list_speed_groups(
            [_filter_by_rack(candidates, request.step.data_rack)], request
        )
    if request.step.same_rack and not (
        request.step.data_rack and request.requires_locality
    ):
        racks = resource_values.group_by_rack(candidates)
        # The fullest rack that still holds the gang comes first.
        groups += _list_speed_groups(
            sorted(racks.values(), key=resource_values.count_free_accelerators),
            request,
        )
    is_bound = request.step.same_rack or bool(request.step.data_rack)
    if not (is_bound and request.requires_locality):
        groups += _list_speed_groups([candidates], request)
    for group in groups:
        chosen = _choose_workers(group, request)
        if len(chosen) == request.count:
            return _build_allocation(request, chosen)
    return None


def _list_speed_groups(
    groups: list[list[resource_values.WorkerResources]],
    request: PlacementRequest,
) -> list[list[resource_values.WorkerResources]]:
    """Return the parts of groups with workers of like speed, and the groups.

    A gang advances at the rate of its slowest member, so that one slow member
    wastes the others' speed. Preferred speeds come first, over all groups.
    """
    present = {one.speed_class for group in groups for one in group}
    if len(present) < 2:
        return groups
    fast, usual, slow, _ = speeds.SpeedClass
    orders = [{fast}, {usual}, {fast, usual}, {slow}, {fast, usual, slow}]
    if not request.prefers_fast:
        orders[:2] = [{usual}, {fast}]
    parts = [
        [one for one in group if one.speed_class in classes]
        for classes in orders
        if classes & present
        for group in groups
    ]
    return [part for part in parts if part] + groups


def _choose_workers(
    candidates: list[resource_values.WorkerResources], request: PlacementRequest
) -> list[str]:
    """Return a worker for each task, at most `request.count` of them.

    Each worker, in order of preference, takes as many tasks as fit. Lasting
    tasks and tasks that have failed are first spread one per worker, so that
    one faulty worker doesn't get all of them.
    """
    chosen: list[str] = []
    is_spread = not request.step.is_gang and (
        request.step.is_lasting or request.requires_healthy
    )
    ordered: Iterable[resource_values.WorkerResources]
    ordered = _sort_candidates(candidates, request)
    if is_spread:
        ordered = list(ordered)  # read twice
    for candidate in ordered:
        fitting = _count_fitting(candidate, request)
        if is_spread:
            fitting = min(fitting, 1)
        chosen += [candidate.worker.id] * min(
            fitting, request.count - len(chosen)
        )
        if len(chosen) == request.count:
            return chosen
    if is_spread and chosen:
        # The remaining tasks go wherever they fit.
        for candidate in ordered:
            fitting = _count_fitting(candidate, request) - 1
            chosen += [candidate.worker.id] * min(
                fitting, request.count - len(chosen)
            )
    return chosen


def _sort_candidates(
    candidates: list[resource_values.WorkerResources], request: PlacementRequest
) -> Iterator[resource_values.WorkerResources]:
    """Return the candidates in the order of preference.

    The elements of the key that are equal for all candidates are left out, as
    the keys of a thousand workers took a large part of a round.
    """
    step = request.step
    speed_order = FAST_FIRST if request.prefers_fast else SLOW_FIRST
    degraded = speeds.SpeedClass.DEGRADED
    idle_counts: dict[str, int] = {}
    if step.is_gang:
        idle_counts = collections.Counter(
            one.worker.rack
            for one in candidates
            if one.accelerators == one.worker.capacity.accelerators
        )
    # Gangs use up racks that are in use already, so that whole ones remain for
    # those that must share one.
    keys = [
        (
            one.accelerators,
            idle_counts[one.worker.rack]
            if idle_counts
            and one.accelerators == one.worker.capacity.accelerators
            else 0,
            one.cpu,
            one.worker.id,
            one,
        )
        for one in candidates
    ]
    data_rack = step.data_rack
    costs = request.costs
    if data_rack or costs or request.requires_healthy:
        keys = [
            (
                bool(data_rack) and one.worker.rack != data_rack,
                one.penalty,
                one.speed_class is degraded,
                costs.get(one.worker.id, 0.0),
                -one.last_success_start if request.requires_healthy else 0.0,
                speed_order[one.speed_class],
                key,
            )
            for one, key in zip(candidates, keys, strict=True)
        ]
        return (key[-1][-1] for key in _iterate_sorted(keys))
    usual = [one.speed_class for one in candidates].count(
        speeds.SpeedClass.USUAL
    )
    penalties = [one.penalty for one in candidates]
    if usual < len(candidates) or any(penalties):
        keys = [
            (
                one.penalty,
                one.speed_class is degraded,
                speed_order[one.speed_class],
                key,
            )
            for one, key in zip(candidates, keys, strict=True)
        ]
        return (key[-1][-1] for key in _iterate_sorted(keys))
    return (key[-1] for key in _iterate_sorted(keys))


def _iterate_sorted(keys: list[tuple]) -> Iterator[tuple]:
    """Yield keys in their order; most steps need the first ones only."""
    heapq.heapify(keys)
    while keys:
        yield heapq.heappop(keys)


def _count_fitting(
    candidate: resource_values.WorkerResources, request: PlacementRequest
) -> int:
    """Return how many of the requested tasks fit on a worker."""
    return candidate.count_fitting(
        request.step.need, limit_tasks(candidate, request)
    )


def limit_tasks(
    candidate: resource_values.WorkerResources, request: PlacementRequest
) -> int:
    """Return how many of the tasks may share a worker, whether they fit."""
    if not request.step.most_per_worker:
        return request.count
    running = candidate.tasks.get(request.step_key, 0)
    return max(0, min(request.count, request.step.most_per_worker - running))


def _filter_by_rack(
    candidates: list[resource_values.WorkerResources], rack: str
) -> list[resource_values.WorkerResources]:
    return [
        candidate for candidate in candidates if candidate.worker.rack == rack
    ]


def _build_allocation(
    request: PlacementRequest, chosen: list[str]
) -> resource_values.Allocation:
    return resource_values.Allocation(
        request.step_key, request.step.need, tuple(chosen)
    )
