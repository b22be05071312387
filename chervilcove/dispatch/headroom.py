"""Headroom: resources kept free for the next urgent gang.

Urgent gangs of whole workers arrive about once a second in a pool that other
work keeps full. Preempting the work in the way takes up to a second, which is
most of the time that a short urgent gang may wait, and discards work. Steps
that can wait therefore leave room for one gang of the size seen recently.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs

HEADROOM_KEY = ("headroom", 0, 0)  # pseudo step key that holds the headroom
# Recent urgent arrivals are those within this window. It spans several gaps
# between arrivals at the lowest rate at which headroom is worth its cost.
ARRIVAL_WINDOW_MS = 10_000
# With fewer arrivals in the window, headroom isn't worth the idle workers.
MIN_ARRIVALS = 3
# Share of the recent arrivals that the headroom can hold. On the deployment
# htsw-sched, 0.5 served urgent work worse than 0.75 did, and 0.9 left the most
# workers idle.
COVERED_ARRIVALS_SHARE = 0.75


class UrgentArrival(NamedTuple):
    """First step of an urgent job that arrived.

    Attributes:
        at_ms: Arrival time, Unix milliseconds.
        service: Pool of workers.
        step: The step.
        customer: Its customer.
    """

    at_ms: int
    service: str
    step: specs.Step
    customer: str = ""


def choose_reference_arrival(
    arrivals: Iterable[UrgentArrival], now_ms: int
) -> UrgentArrival | None:
    """Return the arrival whose size the headroom should have.

    Returns:
        None if urgent work is too rare to keep headroom for it.
    """
    recent = sorted(
        (one for one in arrivals if now_ms - one.at_ms < ARRIVAL_WINDOW_MS),
        key=lambda one: (
            one.step.count * one.step.need.accelerators,
            one.at_ms,
        ),
    )
    if len(recent) < MIN_ARRIVALS:
        return None
    return recent[math.ceil(COVERED_ARRIVALS_SHARE * len(recent)) - 1]


def find_headroom(
    resources: resource_values.FleetResources, reference: UrgentArrival
) -> resource_values.Allocation | None:
    """Return the headroom, on the workers that have the most free now.

    The workers needn't be free yet. Allocating the headroom may then overdraw
    them, so that they get no new tasks and drain as their tasks end.

    Returns:
        None if no worker or rack can hold the reference step even when empty.
    """
    step = reference.step
    workers_of_pool = resources.list_schedulable(reference.service, step.label)
    groups = [workers_of_pool]
    if step.same_rack:
        racks = resource_values.group_by_rack(workers_of_pool)
        groups = [racks[name] for name in sorted(racks)]
    candidates = [
        candidate
        for group in groups
        if (candidate := _find_candidate(group, step))
    ]
    best = max(candidates, key=lambda candidate: candidate.free, default=None)
    if best is None:
        return None
    return resource_values.Allocation(HEADROOM_KEY, step.need, best.workers)


class _Candidate(NamedTuple):
    """A worker for each task, and what is free on these workers.

    Attributes:
        workers: Id of a worker for each task.
        free: Number of tasks that fit now, and the free accelerators.
    """

    workers: tuple[str, ...]
    free: tuple[int, int]


def _find_candidate(
    group: list[resource_values.WorkerResources], step: specs.Step
) -> _Candidate | None:
    """Return workers of `group` for `step`, None if it can't hold the step."""
    # Memory may run out before accelerators do, so that a worker with all of
    # its accelerators may have no room.
    fitting = {
        one.worker.id: 0
        if _is_bound_by_accelerators(one.worker.capacity, step.need)
        else one.count_fitting(step.need, step.count)
        for one in group
    }
    ordered = sorted(
        group,
        key=lambda one: (
            -fitting[one.worker.id],
            -one.accelerators,
            one.worker.id,
        ),
    )
    workers: list[str] = []
    free = fits = 0
    for one in ordered:
        slots = resource_values.count_fitting(
            one.worker.capacity, step.need, step.count - len(workers)
        )
        if not slots:
            continue
        workers += [one.worker.id] * slots
        fits += min(slots, fitting[one.worker.id])
        free += one.accelerators
        if len(workers) == step.count:
            return _Candidate(tuple(workers), (fits, free))
    return None


def _is_bound_by_accelerators(
    capacity: specs.Resources, need: specs.Resources
) -> bool:
    """Return whether accelerators run out first on a worker."""
    share = need.accelerators / max(1, capacity.accelerators)
    return share >= need.cpu / max(1, capacity.cpu) and (
        share >= need.memory_mb / max(1, capacity.memory_mb)
    )
