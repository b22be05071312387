"""Room kept free for the urgent work that comes next.

Load pattern: gangs of whole workers come about once a second to a pool that
other work fills. Each stop of what is in the way takes up to a second, which
is most of the time that a short urgent gang may wait, and throws work away.
So work that can wait leaves room for one gang of the size that came lately.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from chervilcove.dispatch import rooms as room_values
from chervilcove.jobs import specs

TURN = ("headroom", 0, 0)  # holds the room kept free
# Urgent arrivals are remembered this long: some gaps between them, at the
# least rate at which keeping room for them pays.
MEMORY_MS = 10_000
LEAST_ARRIVALS = 3  # within that time; fewer don't pay for idle workers
# Part of the arrivals that the room kept free suffices for; of 0.5, 0.75 and
# 0.9 the first served urgent work worse on htsw-sched, the last idles most.
COVERED_SHARE = 0.75


class Arrival(NamedTuple):
    """Hold the first step of an urgent job.

    Attributes:
        at_ms: When it came, Unix milliseconds.
        service: Pool of workers.
        step: The step.
    """

    at_ms: int
    service: str
    step: specs.Step


def choose_shape(arrivals: Iterable[Arrival], now_ms: int) -> Arrival | None:
    """Return the arrival whose like room is kept free for; None for none."""
    recent = sorted(
        (one for one in arrivals if now_ms - one.at_ms < MEMORY_MS),
        key=lambda one: (
            one.step.count * one.step.need.accelerators,
            one.at_ms,
        ),
    )
    if len(recent) < LEAST_ARRIVALS:
        return None
    return recent[math.ceil(COVERED_SHARE * len(recent)) - 1]


def find_room(
    rooms: room_values.Rooms, shape: Arrival
) -> room_values.Placed | None:
    """Return the room to keep free, of workers with the most free now.

    Where it isn't free yet, taking it leaves less than nothing on these
    workers, so that they empty as what runs there ends.
    """
    step = shape.step
    candidates = rooms.list_open(shape.service, step.label)
    groups = [candidates]
    if step.same_rack:
        racks = room_values.group_by_rack(candidates)
        groups = [racks[name] for name in sorted(racks)]
    picks = [pick for group in groups if (pick := _pick(group, step))]
    best = max(picks, key=lambda pick: pick.free, default=None)
    if best is None:
        return None
    return room_values.Placed(TURN, step.need, best.workers)


class _Pick(NamedTuple):
    """Hold a worker for each task, and the accelerators free on them."""

    workers: tuple[str, ...]
    free: int


def _pick(group: list[room_values.Room], step: specs.Step) -> _Pick | None:
    """Return the workers of `group` to keep, None if it can't hold `step`."""
    ordered = sorted(
        group, key=lambda room: (-room.accelerators, room.worker.id)
    )
    workers: list[str] = []
    free = 0
    for room in ordered:
        slots = room_values.count_fitting(
            room.worker.capacity, step.need, step.count - len(workers)
        )
        if not slots:
            continue
        workers += [room.worker.id] * slots
        free += room.accelerators
        if len(workers) == step.count:
            return _Pick(tuple(workers), free)
    return None
