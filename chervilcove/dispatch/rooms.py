"""Room on workers: what is free, and what each step has taken there."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilcove.jobs import specs
from chervilcove.jobs import table


class Worker(NamedTuple):
    """Describe a worker in one of its lives.

    Attributes:
        id: Its id.
        life: Start of that life, as the worker tells it.
        service: Pool that it belongs to.
        data_centre: Where it stands.
        rack: Its rack, empty where it names none.
        labels: Everything that a step may ask for.
        capacity: What its tasks may take together.
    """

    id: str
    life: int
    service: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: specs.Need


class Room:
    """Hold what is free on one worker.

    Attributes:
        worker: The worker.
        is_open: Whether it may get new tasks.
        penalty: Standing among its peers; 0 for good, higher is worse.
        proved: When the newest run began that ended done there; any clock.
    """

    def __init__(self, *, worker: Worker):
        self.worker = worker
        self.is_open = True
        self.penalty = 0
        self.proved = 0.0
        self.cpu, self.memory_mb, self.accelerators = worker.capacity
        self.tasks: dict[tuple[str, int, int], int] = {}

    @property
    def free(self) -> specs.Need:
        """Return what is free; less than nothing where it was overdrawn."""
        return specs.Need(self.cpu, self.memory_mb, self.accelerators)

    def fits(self, need: specs.Need) -> bool:
        """Tell whether one more task with `need` fits."""
        return (
            need.accelerators <= self.accelerators
            and need.memory_mb <= self.memory_mb
            and need.cpu <= self.cpu
        )

    def change(
        self, need: specs.Need, turn: tuple[str, int, int], count: int
    ) -> None:
        """Take room for `count` tasks of a step; free it if negative."""
        self.cpu -= need.cpu * count
        self.memory_mb -= need.memory_mb * count
        self.accelerators -= need.accelerators * count
        left = self.tasks.get(turn, 0) + count
        if left:
            self.tasks[turn] = left
        else:
            self.tasks.pop(turn, None)


class Placed(NamedTuple):
    """Hold the workers that tasks of one step take.

    Attributes:
        turn: Job, occurrence and step.
        need: What each task takes.
        workers: A worker for each task, by id.
    """

    turn: tuple[str, int, int]
    need: specs.Need
    workers: tuple[str, ...]


class Rooms:
    """Hold the room of all workers."""

    def __init__(self):
        self.by_worker: dict[str, Room] = {}

    def add(self, worker: Worker) -> Room:
        """Add an empty worker, or one in a new life."""
        room = Room(worker=worker)
        self.by_worker[worker.id] = room
        return room

    def remove(self, worker: str) -> None:
        """Forget a worker."""
        self.by_worker.pop(worker, None)

    def take(self, placed: Placed) -> None:
        """Take the room of `placed`."""
        self._change(placed, 1)

    def free(self, placed: Placed) -> None:
        """Free the room of `placed`."""
        self._change(placed, -1)

    def list_open(self, service: str, label: str) -> list[Room]:
        """Return the rooms that may get tasks of a step."""
        return [
            room
            for room in self.by_worker.values()
            if room.is_open
            and room.worker.service == service
            and (not label or label in room.worker.labels)
        ]

    def _change(self, placed: Placed, count: int) -> None:
        for worker in placed.workers:
            room = self.by_worker.get(worker)
            if room is not None:
                room.change(placed.need, placed.turn, count)


def get_turn(key: table.UnitKey) -> tuple[str, int, int]:
    """Return the step of a unit: job, occurrence, step."""
    return (key.job, key.occurrence, key.step)


def count_fitting(free: specs.Need, need: specs.Need, most: int) -> int:
    """Return how many tasks with `need` fit into `free`, `most` at most."""
    counts = [
        whole // each for whole, each in zip(free, need, strict=True) if each
    ]
    return max(0, min([most, *counts]))


def group_by_rack(rooms: Iterable[Room]) -> dict[str, list[Room]]:
    """Return `rooms` by their rack."""
    racks: dict[str, list[Room]] = {}
    for room in rooms:
        racks.setdefault(room.worker.rack, []).append(room)
    return racks


def count_free(rooms: Iterable[Room]) -> int:
    """Return the free accelerators of `rooms` together."""
    return sum(max(0, room.accelerators) for room in rooms)
