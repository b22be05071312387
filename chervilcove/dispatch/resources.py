"""State of the workers: free resources, and the tasks of each step on them."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import copy
from typing import NamedTuple

from chervilcove.dispatch import speeds
from chervilcove.jobs import specs
from chervilcove.jobs import table


class Worker(NamedTuple):
    """Describe one incarnation of a worker.

    Attributes:
        id: Id of the worker.
        life: Start of the incarnation, as the worker reports it.
        service: Pool that it belongs to.
        data_centre: Its data centre.
        rack: Its rack, empty if it names none.
        labels: All labels that a step may require.
        capacity: Total resources for tasks.
    """

    id: str
    life: int
    service: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: specs.Resources


class WorkerResources:
    """Track what is free on one worker.

    Attributes:
        worker: The worker.
        is_schedulable: Whether it may get new tasks.
        penalty: Sort penalty for failures; 0 if healthy, higher is worse.
        last_success_start: Start of the newest run that succeeded there, on
            any clock.
        speed_class: Whether it is faster or slower than most workers.
        cpu: Free thousandths of a core.
        memory_mb: Free megabytes of memory.
        accelerators: Free accelerators.
        tasks: Number of tasks, by step key.
    """

    def __init__(self, *, worker: Worker):
        self.worker = worker
        self.is_schedulable = True
        self.penalty = 0
        self.last_success_start = 0.0
        self.speed_class = speeds.SpeedClass.USUAL
        self.cpu, self.memory_mb, self.accelerators = worker.capacity
        self.tasks: dict[tuple[str, int, int], int] = {}

    @property
    def free(self) -> specs.Resources:
        """Return the free resources, negative where they are overdrawn."""
        return specs.Resources(self.cpu, self.memory_mb, self.accelerators)

    @property
    def is_idle(self) -> bool:
        """Tell whether the worker has no task with accelerators."""
        return self.accelerators == self.worker.capacity.accelerators

    def copy(self) -> "WorkerResources":
        """Return a copy that changes independently."""
        other = copy.copy(self)
        other.tasks = dict(self.tasks)
        return other

    def fits(self, need: specs.Resources) -> bool:
        """Return whether one more task with `need` fits."""
        return (
            need.accelerators <= self.accelerators
            and need.memory_mb <= self.memory_mb
            and need.cpu <= self.cpu
        )

    def count_fitting(self, need: specs.Resources, limit: int) -> int:
        """Return how many more tasks with `need` fit, at most `limit`."""
        count = limit
        if need.accelerators:
            count = min(count, self.accelerators // need.accelerators)
        if need.memory_mb:
            count = min(count, self.memory_mb // need.memory_mb)
        if need.cpu:
            count = min(count, self.cpu // need.cpu)
        return max(0, count)

    def resize(self, capacity: specs.Resources) -> None:
        """Set the total resources; what tasks hold stays allocated."""
        was = self.worker.capacity
        self.cpu += capacity.cpu - was.cpu
        self.memory_mb += capacity.memory_mb - was.memory_mb
        self.accelerators += capacity.accelerators - was.accelerators
        self.worker = self.worker._replace(capacity=capacity)

    def adjust(
        self, need: specs.Resources, step_key: tuple[str, int, int], count: int
    ) -> None:
        """Allocate `count` tasks of a step; release them if negative."""
        self.cpu -= need.cpu * count
        self.memory_mb -= need.memory_mb * count
        self.accelerators -= need.accelerators * count
        left = self.tasks.get(step_key, 0) + count
        if left:
            self.tasks[step_key] = left
        else:
            self.tasks.pop(step_key, None)


class Allocation(NamedTuple):
    """Workers and resources allocated to tasks of one step.

    Attributes:
        step_key: Key of the step: job, occurrence and step number.
        need: Resources of each task.
        workers: Id of a worker for each task.
    """

    step_key: tuple[str, int, int]
    need: specs.Resources
    workers: tuple[str, ...]


class FleetResources:
    """Track what is free on all workers.

    Attributes:
        by_worker: State of each worker, by its id.
    """

    def __init__(self):
        self.by_worker: dict[str, WorkerResources] = {}
        # Schedulable workers by service and label, None outside of a round.
        self._schedulable: (
            dict[tuple[str, str], list[WorkerResources]] | None
        ) = None

    def copy(self) -> "FleetResources":
        """Return a copy that changes independently, outside of a round."""
        other = FleetResources()
        other.by_worker = {
            name: one.copy() for name, one in self.by_worker.items()
        }
        return other

    @contextlib.contextmanager
    def keep_schedulable(self) -> Iterator[None]:
        """Let no worker come, go or change whether it is schedulable.

        A round asks for the same workers for each step that waits. With a
        thousand workers, that took a large part of its time.
        """
        self._schedulable = {}
        try:
            yield
        finally:
            self._schedulable = None

    def add(self, worker: Worker) -> WorkerResources:
        """Add a worker without tasks, or replace its earlier incarnation."""
        resources = WorkerResources(worker=worker)
        self.by_worker[worker.id] = resources
        return resources

    def list_pool(self, worker: str) -> list[str]:
        """Return the workers of the pool of a worker; it need not exist."""
        room = self.by_worker.get(worker)
        if room is None:
            return []
        return [
            one
            for one, other in self.by_worker.items()
            if other.worker.service == room.worker.service
        ]

    def remove(self, worker: str) -> None:
        """Remove a worker; it need not exist."""
        self.by_worker.pop(worker, None)

    def allocate(self, allocation: Allocation) -> None:
        """Take the resources of an allocation; unknown workers are skipped."""
        self._adjust(allocation, 1)

    def release(self, allocation: Allocation) -> None:
        """Release the resources; unknown workers are skipped."""
        self._adjust(allocation, -1)

    def list_schedulable(
        self, service: str, label: str
    ) -> list[WorkerResources]:
        """Return the workers of a pool that may get new tasks.

        Args:
            service: Pool of workers.
            label: Label that the workers must have, empty for any.

        Returns:
            The workers, in a list that may not be changed.
        """
        known = (self._schedulable or {}).get((service, label))
        if known is not None:
            return known
        found = [
            one
            for one in self.by_worker.values()
            if one.is_schedulable
            and one.worker.service == service
            and (not label or label in one.worker.labels)
        ]
        if self._schedulable is not None:
            self._schedulable[service, label] = found
        return found

    def _adjust(self, allocation: Allocation, count: int) -> None:
        for worker in allocation.workers:
            resources = self.by_worker.get(worker)
            if resources is not None:
                resources.adjust(allocation.need, allocation.step_key, count)


def get_step_key(key: table.UnitKey) -> tuple[str, int, int]:
    """Return the key of a unit's step: job, occurrence, step number."""
    return (key.job, key.occurrence, key.step)


def count_fitting(
    free: specs.Resources, need: specs.Resources, limit: int
) -> int:
    """Return how many tasks with `need` fit into `free`, at most `limit`."""
    count = limit
    if need.accelerators:
        count = min(count, free.accelerators // need.accelerators)
    if need.memory_mb:
        count = min(count, free.memory_mb // need.memory_mb)
    if need.cpu:
        count = min(count, free.cpu // need.cpu)
    return max(0, count)


def group_by_rack(
    workers: Iterable[WorkerResources],
) -> dict[str, list[WorkerResources]]:
    """Return the workers grouped by the name of their rack."""
    racks: dict[str, list[WorkerResources]] = {}
    for one in workers:
        racks.setdefault(one.worker.rack, []).append(one)
    return racks


def count_free_accelerators(workers: Iterable[WorkerResources]) -> int:
    """Return the free accelerators of all workers; overdrawn ones count 0."""
    return sum(max(0, one.accelerators) for one in workers)
