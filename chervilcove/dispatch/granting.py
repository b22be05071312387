"""Which workers a queue's policy is asked about.

Load pattern: a policy that answers one call at a time, in a time that grows
with the workers named, while the step that it is asked for waits. So it is
asked about few workers at once, first those where the step fits best, and no
more once those that it grants have room for the step.
"""

from collections.abc import Mapping

from chervilcove.dispatch import rooms as room_values
from chervilcove.jobs import specs

# Workers named in one call: the users' objectives allow for one call on 30.
MOST_ASKED = 30


def choose_asked(
    *,
    rooms: room_values.Rooms,
    service: str,
    step: specs.Step,
    answers: Mapping[str, bool],
) -> list[str]:
    """Return the workers to ask about next; none if enough are granted.

    Args:
        rooms: Room on workers.
        service: Pool of workers.
        step: The step.
        answers: Whether a worker was granted, of those asked about.
    """
    candidates = [
        room
        for room in rooms.list_open(service, step.label)
        if _count(room.worker.capacity, step)
    ]
    granted = [room for room in candidates if answers.get(room.worker.id)]
    if _has_enough(granted, step):
        return []
    fitting = {
        rack: sum(_count(room.free, step) for room in group)
        for rack, group in room_values.group_by_rack(candidates).items()
    }
    unknown = [room for room in candidates if room.worker.id not in answers]
    unknown.sort(
        key=lambda room: (
            bool(step.data_rack) and room.worker.rack != step.data_rack,
            -fitting[room.worker.rack] if step.same_rack else 0,
            room.penalty,
            -_count(room.free, step),
            room.worker.id,
        )
    )
    return [room.worker.id for room in unknown[:MOST_ASKED]]


def _has_enough(granted: list[room_values.Room], step: specs.Step) -> bool:
    groups = [granted]
    if step.same_rack:
        groups = list(room_values.group_by_rack(granted).values())
    return any(
        sum(_count(room.free, step) for room in group) >= step.count
        for group in groups
    )


def _count(free: specs.Need, step: specs.Step) -> int:
    most = step.most_per_worker or step.count
    return room_values.count_fitting(free, step.need, most)
