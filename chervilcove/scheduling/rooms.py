"""Rooms: what one worker holds, and what of it guarantees may claim.

Processors and memory are counted in thousandths, as whole numbers, so that
taking and giving back leaves no rounding error.
"""

import math
from typing import NamedTuple

from chervilcove.customers import core as customers
from chervilcove.topology import cells

MILLIUNITS_PER_UNIT = 1_000


def to_units(amount: float) -> int:
    """Return a demand of processors or gigabytes in thousandths."""
    return math.ceil(round(amount * MILLIUNITS_PER_UNIT, 3))


class WorkerAllocation(NamedTuple):
    """Say what one gang holds on one worker.

    Attributes:
        mask: Its accelerators.
        processors: Thousandths of a core.
        memory: Thousandths of a gigabyte.
        is_firm: Whether it may not be preempted for others.
    """

    mask: int
    processors: int
    memory: int
    is_nonpreemptible: bool


class Room:
    """Hold the state of one worker.

    Attributes:
        index: Position in the configuration.
        free_mask: Accelerators that no gang holds.
        free_processors: Free thousandths of a core.
        free_memory: Free thousandths of a gigabyte.
        holdings: What each gang holds here, by job.
        firm: Accelerators that are bound, by slot or job.
        firm_mask: All bound accelerators.
        blocks: Open blocks of 1, 2, 4 and 8 accelerators, for the supply.
    """

    def __init__(self, *, index: int, spec: customers.Worker):
        self.index = index
        self.spec = spec
        self.name = spec["name"]
        self.centre = spec["data_centre"]
        self.rack = spec["rack"]
        self.full_mask = (1 << spec["accelerators"]) - 1
        self.free_mask = self.full_mask
        self.free_processors = spec["processors"] * MILLIUNITS_PER_UNIT
        self.free_memory = spec["memory_gb"] * MILLIUNITS_PER_UNIT
        accelerators = max(spec["accelerators"], 1)
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
        """Tell whether new gangs may come here."""
        return self.healthy and self.in_service

    def allocate(self, job: str, allocation: WorkerAllocation) -> None:
        """Give `job` what `allocation` says."""
        self.worker_allocations[job] = allocation
        self.free_mask &= ~allocation.mask
        self.free_processors -= allocation.processors
        self.free_memory -= allocation.memory

    def release(self, job: str) -> None:
        """Take back what `job` holds."""
        allocation = self.worker_allocations.pop(job)
        self.free_mask |= allocation.mask & self.full_mask
        self.free_processors += allocation.processors
        self.free_memory += allocation.memory

    def bind(self, key: str, mask: int) -> None:
        """Keep `mask` for the slot or job `key`."""
        self.bound_masks[key] = mask
        self.bound_mask |= mask

    def unbind(self, key: str) -> None:
        """Give up what is kept for `key`."""
        del self.bound_masks[key]
        self.bound_mask = 0
        for mask in self.bound_masks.values():
            self.bound_mask |= mask

    def pin(self, job: str, allocation: WorkerAllocation) -> None:
        """Keep what a gang that must not be preempted uses beyond its share.

        The share of its own accelerators comes with these.
        """
        count = allocation.mask.bit_count()
        processors = allocation.processors - count * self.processor_share
        memory = allocation.memory - count * self.memory_share
        self._pinned[job] = (max(processors, 0), max(memory, 0))

    def unpin(self, job: str) -> None:
        """Give up what `pin` keeps."""
        del self._pinned[job]

    def count_stranded(self) -> int:
        """Return the accelerators whose share pinned gangs use up."""
        processors = sum(each[0] for each in self._pinned.values())
        memory = sum(each[1] for each in self._pinned.values())
        if not processors and not memory:
            return 0
        return max(
            -(-processors // max(self.processor_share, 1)),
            -(-memory // max(self.memory_share, 1)),
        )

    def get_bindable_mask(self) -> int:
        """Return the accelerators that a slot may still be bound to."""
        return self.full_mask & ~self.bound_mask

    def can_bind(self, mask: int) -> bool:
        """Tell whether `mask` is open and leaves pinned gangs their share."""
        left = self.get_bindable_mask() & ~mask
        is_open = self.get_bindable_mask() & mask == mask
        return is_open and left.bit_count() >= self.count_stranded()

    def count_conflicts(self) -> int:
        """Return the accelerators that more than one slot or job counts on."""
        kept = sum(mask.bit_count() for mask in self.bound_masks.values())
        lack = self.count_stranded() - self.get_bindable_mask().bit_count()
        return kept - self.bound_mask.bit_count() + max(lack, 0)

    def count_bindable_blocks(self) -> tuple[int, int, int, int]:
        """Return the blocks that count as supply, all 0 if not usable."""
        if not self.is_usable:
            return (0, 0, 0, 0)
        mask = cells.remove_accelerators(
            self.get_bindable_mask(), self.count_stranded()
        )
        return cells.count_blocks(mask)
