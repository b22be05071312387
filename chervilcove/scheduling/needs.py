"""Resources and adjacency that a gang needs."""

from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells
from chervilcove.topology import shapes


class Need(NamedTuple):
    """Resources of a gang in whole units, and where it may be placed.

    Attributes:
        tasks: Number of tasks.
        accelerators: Accelerators of one task.
        processors: Thousandths of a core of one task.
        memory: Thousandths of a gigabyte of one task.
        span: "worker", "rack" or "data_centre", one of which must hold the
            whole gang.
        max_cell_size: Size of the cell that must hold a gang within one
            worker.
        centres: Allowed data centres, sorted; empty for all.
    """

    tasks: int
    accelerators: int
    processors: int
    memory: int
    span: str
    max_cell_size: int
    centres: tuple[str, ...]

    @property
    def total_accelerators(self) -> int:
        """Return the number of accelerators of the whole gang."""
        return self.tasks * self.accelerators

    def count_tasks(self, mask: int, processors: int, memory: int) -> int:
        """Return how many tasks fit into the given resources."""
        count = self.tasks
        if self.accelerators:
            found = len(cells.list_cells(mask, self.accelerators))
            count = min(count, found)
        if self.processors:
            count = min(count, processors // self.processors)
        if self.memory:
            count = min(count, memory // self.memory)
        return max(count, 0)

    def count_free_tasks(self, worker: worker_states.WorkerState) -> int:
        """Return how many tasks fit into the free resources of `worker`."""
        return self.count_tasks(
            worker.free_mask, worker.free_processors, worker.free_memory
        )

    def fits_whole_gang(self, processors: int, memory: int) -> bool:
        """Tell whether the processors and memory of the whole gang fit."""
        return (
            self.tasks * self.processors <= processors
            and self.tasks * self.memory <= memory
        )

    def pick_masks(self, mask: int, count: int) -> tuple[int, ...]:
        """Return masks for `count` tasks within `mask`.

        Returns:
            One mask a task, empty if the tasks don't fit. Tasks without
            accelerators have the mask 0.
        """
        if not self.accelerators:
            return (0,) * count
        picked = cells.pick_cells(mask, self.accelerators, count)
        if self.max_cell_size < cells.ACCELERATORS_PER_WORKER and picked:
            union = sum(picked)
            return (
                picked
                if cells.find_enclosing_cell(union, self.max_cell_size)
                else ()
            )
        return picked

    def make_places(
        self, worker: worker_states.WorkerState, mask: int, count: int
    ) -> tuple[core.TaskPlace, ...]:
        """Return places for `count` tasks within `mask` of `worker`."""
        return tuple(
            core.TaskPlace(worker.name, each)
            for each in self.pick_masks(mask, count)
        )


def make_need(spec: core.JobSpec) -> Need:
    """Return the need of the gang of `spec`."""
    adjacent = spec["adjacent"]
    limit = shapes.get_max_accelerators(adjacent)
    return Need(
        spec["tasks"],
        spec["accelerators"],
        worker_states.to_milliunits(spec["processors"]),
        worker_states.to_milliunits(spec["memory_gb"]),
        adjacent if limit is None else "worker",
        limit
        if limit and spec["accelerators"]
        else cells.ACCELERATORS_PER_WORKER,
        tuple(sorted(spec["data_centres"])),
    )
