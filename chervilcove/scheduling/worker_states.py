"""State of one worker: its allocations and what slots may still bind.

Processors and memory are counted as integers in thousandths of a core and of
a gigabyte, so that repeated allocation and release adds no rounding error.
"""

import functools
import math
from typing import NamedTuple

from chervilcove.customers import schema as customers
from chervilcove.topology import cells

MILLIUNITS_PER_UNIT = 1_000


@functools.lru_cache(maxsize=4_096)  # few sizes, asked for at each allocation
def to_milliunits(amount: float) -> int:
    """Convert requested cores or gigabytes to thousandths, rounded up."""
    return math.ceil(round(amount * MILLIUNITS_PER_UNIT, 3))


class WorkerAllocation(NamedTuple):
    """Resources that one gang holds on one worker.

    Attributes:
        mask: Accelerators, as bits.
        processors: Thousandths of a core.
        memory: Thousandths of a gigabyte.
        is_nonpreemptible: Whether the gang is never preempted for others.
    """

    mask: int
    processors: int
    memory: int
    is_nonpreemptible: bool


class WorkerState:
    """State of one worker.

    Attributes:
        index: Position in the configuration.
        full_mask: All its accelerators.
        free_mask: Accelerators that no gang holds.
        free_processors: Free thousandths of a core.
        free_memory: Free thousandths of a gigabyte.
        processor_share: Thousandths of a core per accelerator.
        memory_share: Thousandths of a gigabyte per accelerator.
        worker_allocations: Resources held by gangs, by job.
        bound_masks: Bound accelerators, by slot or by pinned job.
        bound_mask: All bound accelerators.
        supply_blocks: Numbers of bindable blocks of 1, 2, 4 and 8
            accelerators that `bindings.Bindings` counts as supply.
    """

    def __init__(self, *, index: int, config: customers.Worker):
        self.index = index
        self.config = config
        self.name = config["name"]
        self.data_centre = config["data_centre"]
        self.rack = config["rack"]
        self.full_mask = (1 << config["accelerators"]) - 1
        self.free_mask = self.full_mask
        self.free_processors = config["processors"] * MILLIUNITS_PER_UNIT
        self.free_memory = config["memory_gb"] * MILLIUNITS_PER_UNIT
        accelerators = max(config["accelerators"], 1)
        self.processor_share = self.free_processors // accelerators
        self.memory_share = self.free_memory // accelerators
        self.worker_allocations: dict[str, WorkerAllocation] = {}
        self.bound_masks: dict[str, int] = {}
        self.bound_mask = 0
        self.supply_blocks = (0, 0, 0, 0)
        self.healthy = True
        self.in_service = True
        self._pinned: dict[str, tuple[int, int]] = {}

    @property
    def is_usable(self) -> bool:
        """Tell whether new gangs may be placed on the worker."""
        return self.healthy and self.in_service

    def allocate(self, job: str, allocation: WorkerAllocation) -> None:
        """Allocate resources of the worker to `job`."""
        self.worker_allocations[job] = allocation
        self.free_mask &= ~allocation.mask
        self.free_processors -= allocation.processors
        self.free_memory -= allocation.memory

    def release(self, job: str) -> None:
        """Free the resources of `job`."""
        allocation = self.worker_allocations.pop(job)
        self.free_mask |= allocation.mask & self.full_mask
        self.free_processors += allocation.processors
        self.free_memory += allocation.memory

    def bind(self, key: str, mask: int) -> None:
        """Bind `mask` to the slot or pinned job `key`."""
        self.bound_masks[key] = mask
        self.bound_mask |= mask

    def unbind(self, key: str) -> None:
        """Remove the binding of `key`."""
        del self.bound_masks[key]
        self.bound_mask = 0
        for mask in self.bound_masks.values():
            self.bound_mask |= mask

    def pin(self, job: str, allocation: WorkerAllocation) -> None:
        """Record the processors and memory that a pinned gang uses in excess.

        Pinned gangs are never preempted. The share that belongs to the gang's
        own accelerators is not in excess.
        """
        count = allocation.mask.bit_count()
        processors = allocation.processors - count * self.processor_share
        memory = allocation.memory - count * self.memory_share
        self._pinned[job] = (max(processors, 0), max(memory, 0))

    def unpin(self, job: str) -> None:
        """Remove the record made by `pin`."""
        del self._pinned[job]

    def count_stranded(self) -> int:
        """Count the accelerators whose processors or memory are used up.

        Pinned gangs that use more than the share of their own accelerators
        take it from the share of others, which are stranded.
        """
        processors = sum(each[0] for each in self._pinned.values())
        memory = sum(each[1] for each in self._pinned.values())
        if not processors and not memory:
            return 0
        return max(
            -(-processors // max(self.processor_share, 1)),
            -(-memory // max(self.memory_share, 1)),
        )

    def get_bindable_mask(self) -> int:
        """Return the accelerators that are not bound."""
        return self.full_mask & ~self.bound_mask

    def can_bind(self, mask: int) -> bool:
        """Tell whether a slot may be bound to `mask`.

        It must not be bound yet and must leave enough bindable accelerators
        to cover the stranded ones.
        """
        left = self.get_bindable_mask() & ~mask
        is_open = self.get_bindable_mask() & mask == mask
        return is_open and left.bit_count() >= self.count_stranded()

    def count_conflicts(self) -> int:
        """Count the accelerators that are needed more than once.

        These are bound by several slots or jobs, or are stranded in excess of
        the accelerators that are not bound.
        """
        kept = sum(mask.bit_count() for mask in self.bound_masks.values())
        missing = self.count_stranded() - self.get_bindable_mask().bit_count()
        return kept - self.bound_mask.bit_count() + max(missing, 0)

    def count_bindable_blocks(self) -> tuple[int, int, int, int]:
        """Count the blocks that the worker adds to the supply.

        Returns:
            Numbers of bindable blocks of 1, 2, 4 and 8 accelerators without
            the stranded ones, all 0 if the worker is not usable.
        """
        if not self.is_usable:
            return (0, 0, 0, 0)
        mask = cells.remove_accelerators(
            self.get_bindable_mask(), self.count_stranded()
        )
        return cells.count_blocks(mask)
