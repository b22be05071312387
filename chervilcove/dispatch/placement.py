"""Where tasks go.

Load pattern: a pool at two thirds of its accelerators with tasks of 1 to 8
each. Small tasks spread over idle workers leave no worker whole for a task
of 8, so tasks go where the least is left free, whole workers last; gangs
that must share a rack get the rack that they fill best; work goes near its
data, or waits for it while its objective allows.

Load pattern: workers that fail what they start. A task that failed once is
lost with its job if it fails again, so such tasks go only to workers without
failures, first to those that have lately shown that they work.
"""

from typing import NamedTuple

from chervilcove.dispatch import rooms as room_values
from chervilcove.jobs import specs


class Ask(NamedTuple):
    """Ask for workers for tasks of one step.

    Attributes:
        turn: Job, occurrence and step.
        step: What its tasks need.
        count: Tasks to place.
        service: Pool of workers.
        is_patient: Whether it may still wait for a place near its data.
        allowed: Workers that the queue's policy grants; None for all.
        is_careful: Whether only workers without failures will do.
    """

    turn: tuple[str, int, int]
    step: specs.Step
    count: int
    service: str
    is_patient: bool
    allowed: frozenset[str] | None = None
    is_careful: bool = False


def place(rooms: room_values.Rooms, ask: Ask) -> room_values.Placed | None:
    """Return workers for the tasks of `ask`, without taking their room.

    A gang gets all of its workers or none; of other steps as many tasks as
    fit are placed, those of the first ones.
    """
    candidates = rooms.list_open(ask.service, ask.step.label)
    if ask.allowed is not None:
        candidates = [
            room for room in candidates if room.worker.id in ask.allowed
        ]
    candidates = [room for room in candidates if room.fits(ask.step.need)]
    if ask.is_careful:
        candidates = [room for room in candidates if not room.penalty]
    if not candidates:
        return None
    if not ask.step.is_gang:
        if ask.step.data_rack and ask.is_patient:
            near = _pick_rack(candidates, ask.step.data_rack)
            candidates = near or []
        chosen = _fill(candidates, ask)
        return _build(ask, chosen) if chosen else None
    return _place_gang(candidates, ask)


def _place_gang(
    candidates: list[room_values.Room], ask: Ask
) -> room_values.Placed | None:
    groups: list[list[room_values.Room]] = []
    if ask.step.data_rack:
        groups.append(_pick_rack(candidates, ask.step.data_rack))
    if ask.step.same_rack and not (ask.step.data_rack and ask.is_patient):
        racks = room_values.group_by_rack(candidates)
        # The rack with the least free room that still holds the gang.
        groups += sorted(racks.values(), key=room_values.count_free)
    is_bound = ask.step.same_rack or bool(ask.step.data_rack)
    if not (is_bound and ask.is_patient):
        groups.append(candidates)
    for group in groups:
        chosen = _fill(group, ask)
        if len(chosen) == ask.count:
            return _build(ask, chosen)
    return None


def _fill(candidates: list[room_values.Room], ask: Ask) -> list[str]:
    """Return a worker for each task, at most `ask.count` of them.

    Each worker in turn of preference takes as many as fit; tasks that last
    and tasks that failed are spread first, so that one bad worker does not
    take them all.
    """
    need = ask.step.need
    chosen: list[str] = []
    data_rack = ask.step.data_rack
    ordered = sorted(
        candidates,
        key=lambda room: (
            bool(data_rack) and room.worker.rack != data_rack,
            room.penalty,
            -room.proved if ask.is_careful else 0.0,
            room.accelerators - need.accelerators,
            room.cpu,
            room.worker.id,
        ),
    )
    is_spread = not ask.step.is_gang and (ask.step.is_lasting or ask.is_careful)
    for room in ordered:
        most = _count_fitting(room, ask)
        if is_spread:
            most = min(most, 1)
        chosen += [room.worker.id] * min(most, ask.count - len(chosen))
        if len(chosen) == ask.count:
            return chosen
    if is_spread and chosen:
        # Then whatever room is left.
        for room in ordered:
            most = _count_fitting(room, ask) - 1
            chosen += [room.worker.id] * min(most, ask.count - len(chosen))
    return chosen


def _count_fitting(room: room_values.Room, ask: Ask) -> int:
    most = ask.count
    if ask.step.most_per_worker:
        taken = room.tasks.get(ask.turn, 0)
        most = min(most, ask.step.most_per_worker - taken)
    return room_values.count_fitting(room.free, ask.step.need, most)


def _pick_rack(
    candidates: list[room_values.Room], rack: str
) -> list[room_values.Room]:
    return [room for room in candidates if room.worker.rack == rack]


def _build(ask: Ask, chosen: list[str]) -> room_values.Placed:
    return room_values.Placed(ask.turn, ask.step.need, tuple(chosen))
