"""Room that a gang keeps while it is stopped in order to start again.

When a task of a gang fails or has to leave its worker, the other tasks are
stopped and end one by one. Only then can the gang start again. Rounds in
between gave the workers that were left first to other tasks, and an urgent gang
then preempted as many again: one of 20 tasks stopped 217 others for four runs.
"""

import time
from typing import NamedTuple

from chervilcove.control import fleet as fleets
from chervilcove.control import runs
from chervilcove.core import logs
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import table

# Time beside that of a stop until the owner knows of the end of the last task.
MARGIN_S = 0.15


class _Room(NamedTuple):
    """Room of a task that has ended.

    Attributes:
        worker: The process of the worker that it ran in. Its successor starts
            without tasks.
        placed: The allocation of the task.
    """

    worker: resource_values.WorkerResources
    placed: resource_values.Allocation


class _Kept(NamedTuple):
    """Rooms of one run.

    Attributes:
        since: Monotonic seconds of the first end.
        rooms: The rooms that are kept; none once this has lasted too long.
    """

    since: float
    rooms: list[_Room]


class KeptRooms:
    """Keep the room of ended tasks of gangs until all their tasks have ended.

    Args:
        fleet: Workers of the owner.
        stop_s: Longest time that a stop takes, in seconds.
    """

    def __init__(self, *, fleet: fleets.Fleet, stop_s: float):
        self._fleet = fleet
        self._log = logs.Log(source="owner")
        self._keep_s = stop_s + MARGIN_S
        self._kept: dict[table.UnitKey, _Kept] = {}

    def set_stop_s(self, stop_s: float) -> None:
        """Set the longest time that a stop takes, from now on."""
        self._keep_s = stop_s + MARGIN_S

    def release_member(self, run: runs.Run, member: runs.Member) -> None:
        """Release the room of a task that has ended, or keep it for its gang.

        The room of a task that failed isn't kept, as the gang will avoid that
        worker.
        """
        worker = self._fleet.resources.by_worker.get(member.place.worker)
        if run.restarts and member.outcome != "failed" and worker is not None:
            now = time.monotonic()
            kept = self._kept.setdefault(run.key, _Kept(now, []))
            if now - kept.since <= self._keep_s:
                kept.rooms.append(_Room(worker, member.placed))
                return
        self._fleet.resources.release(member.placed)

    def release_run(self, key: table.UnitKey) -> None:
        """Release what is kept for a unit, as its run has ended."""
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._release(key, kept)

    def release_late(self) -> None:
        """Release what has been kept for longer than a stop takes."""
        now = time.monotonic()
        for key, kept in self._kept.items():
            if now - kept.since > self._keep_s:
                self._release(key, kept)

    def _release(self, key: table.UnitKey, kept: _Kept) -> None:
        if not kept.rooms:
            return
        for room in kept.rooms:
            room.worker.adjust(room.placed.need, room.placed.step_key, -1)
        self._log.info(
            "gang_room_kept",
            unit=key.format(),
            tasks=len(kept.rooms),
            kept_s=round(time.monotonic() - kept.since, 2),
        )
        kept.rooms.clear()
