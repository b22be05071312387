"""Bindings of slots to cells, and the supply left for unbound slots.

A gang that runs under a guarantee names its slot. The slot is then bound to
the cells that enclose its gangs; these cells hold no other non-preemptible
work. All other slots must fit together into the bindable cells that remain.
"""

from collections.abc import Iterable

from chervilcove.customers import guarantees
from chervilcove.scheduling import core
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells
from chervilcove.topology import packing

WorkerAllocations = dict[
    worker_states.WorkerState, worker_states.WorkerAllocation
]


class Binding:
    """Cells and gangs of one bound slot.

    Attributes:
        slot: The slot.
        by_job: Resources of each of its gangs by worker.
        masks: Cells that the slot is bound to, by worker.
    """

    def __init__(self, *, slot: guarantees.Slot):
        self.slot = slot
        self.by_job: dict[str, WorkerAllocations] = {}
        self.masks: dict[worker_states.WorkerState, int] = {}

    @property
    def is_usable(self) -> bool:
        """Tell whether all workers of the slot are usable."""
        return all(worker.is_usable for worker in self.masks)


class Bindings:
    """Bound and unbound slots, and the supply for the unbound ones.

    Attributes:
        slots: Slots by name.
        slots_by_customer: Slots of each customer.
        bound: Bindings by name of the slot.
        version: Grows with each change of supply or demand.
    """

    def __init__(
        self,
        *,
        slots: Iterable[guarantees.Slot],
        workers: Iterable[worker_states.WorkerState],
    ):
        self.slots = {slot.name: slot for slot in slots}
        self.slots_by_customer: dict[str, list[guarantees.Slot]] = {}
        self.bound: dict[str, Binding] = {}
        self.version = 0
        self._unbound: dict[packing.Demand, int] = {}
        self._remaining: dict[packing.Demand, int] = {}
        self._whole_workers: dict[str, dict[str, int]] = {}
        self._blocks: dict[str, list[int]] = {}
        self._reserved_workers: dict[str, int] = {}
        self._conflicts: dict[worker_states.WorkerState, int] = {}
        self._unmet: tuple[int, packing.UnmetDemands] | None = None
        for slot in self.slots.values():
            self.slots_by_customer.setdefault(slot.customer, []).append(slot)
            self._add_count(self._unbound, slot.demand, 1)
        for worker in workers:
            self._whole_workers.setdefault(worker.data_centre, {})[
                worker.rack
            ] = 0
            self._blocks[worker.data_centre] = [0, 0, 0]
        for worker in workers:
            self.update_supply(worker)

    def bind(self, gang: core.Gang, parts: WorkerAllocations) -> bool:
        """Bind the slot of `gang` to the cells around its places.

        Args:
            gang: Gang that names the slot.
            parts: Resources of the gang by worker.

        Returns:
            Whether the slot exists, belongs to the gang's customer and may
            be bound there; if not, nothing has changed.
        """
        slot = self.slots.get(gang.slot)
        if slot is None or slot.customer != gang.customer:
            return False
        binding = self.bound.get(slot.name) or Binding(slot=slot)
        masks = self.find_cells(slot, parts)
        if not masks or not self._can_bind(binding, masks, parts):
            return False
        self._update_demand(binding, -1)
        self.bound[slot.name] = binding
        binding.by_job[gang.job] = parts
        self._set_masks(binding, {**binding.masks, **masks})
        self._update_demand(binding, 1)
        return True

    def unbind(self, gang: core.Gang) -> None:
        """Remove a gang that `bind` accepted from its slot."""
        binding = self.bound[gang.slot]
        self._update_demand(binding, -1)
        del binding.by_job[gang.job]
        masks: dict[worker_states.WorkerState, int] = {}
        for parts in binding.by_job.values():
            masks.update(self.find_cells(binding.slot, parts))
        self._set_masks(binding, masks)
        if not binding.by_job:
            del self.bound[gang.slot]
        self._update_demand(binding, 1)

    def pin(self, job: str, parts: WorkerAllocations) -> None:
        """Bind the places of a gang that is never preempted."""
        for worker, part in parts.items():
            worker.bind(job, part.mask)
            worker.pin(job, part)
            self.update_supply(worker)

    def unpin(self, job: str, parts: WorkerAllocations) -> None:
        """Remove the bindings made by `pin`."""
        for worker in parts:
            worker.unbind(job)
            worker.unpin(job)
            self.update_supply(worker)

    def set_usable(
        self,
        worker: worker_states.WorkerState,
        *,
        healthy: bool,
        in_service: bool,
    ) -> None:
        """Set whether `worker` is usable and recount the slots bound to it."""
        affected = [b for b in self.bound.values() if worker in b.masks]
        for binding in affected:
            self._update_demand(binding, -1)
        worker.healthy = healthy
        worker.in_service = in_service
        for binding in affected:
            self._update_demand(binding, 1)
        self.update_supply(worker)

    def update_supply(self, worker: worker_states.WorkerState) -> None:
        """Recount the supply and the conflicts of `worker`."""
        conflicts = worker.count_conflicts()
        if conflicts != self._conflicts.get(worker, 0):
            self.version += 1
            self._conflicts[worker] = conflicts
        blocks = worker.count_bindable_blocks()
        old = worker.supply_blocks
        if blocks == old:
            return
        self.version += 1
        worker.supply_blocks = blocks
        self._whole_workers[worker.data_centre][worker.rack] += (
            blocks[3] - old[3]
        )
        counts = self._blocks[worker.data_centre]
        for index in range(3):
            counts[index] += blocks[index] - old[index]

    def find_unmet(self) -> packing.UnmetDemands:
        """Return the unbound shapes that don't fit into the supply together.

        Cells that are overcommitted count as unmet demands of their own.
        """
        if self._unmet is None or self._unmet[0] != self.version:
            demands = dict(self._unbound)
            for demand, count in self._remaining.items():
                self._add_count(demands, demand, count)
            unmet = packing.pack(self.get_supply(), demands)
            unmet.update(self._find_overcommitted())
            self._unmet = (self.version, unmet)
        return self._unmet[1]

    def get_supply(self) -> dict[str, packing.DataCentreSupply]:
        """Return the bindable cells by data centre.

        Whole workers that partly bound slots still reserve are left out.
        """
        supply = {}
        for centre, racks in self._whole_workers.items():
            left = [
                max(count - self._reserved_workers.get(rack, 0), 0)
                for rack, count in racks.items()
            ]
            supply[centre] = packing.DataCentreSupply(
                left, self._blocks[centre]
            )
        return supply

    def count_bindable_workers(self, worker: worker_states.WorkerState) -> int:
        """Count the unreserved whole workers in the rack of `worker`."""
        whole = self._whole_workers[worker.data_centre][worker.rack]
        return whole - self._reserved_workers.get(worker.rack, 0)

    def find_cells(
        self, slot: guarantees.Slot, parts: WorkerAllocations
    ) -> dict[worker_states.WorkerState, int]:
        """Return the cells of `slot` that enclose `parts`, by worker.

        Returns:
            The masks, empty if the slot can't hold the parts.
        """
        demand = slot.demand
        if demand.centres and any(
            worker.data_centre not in demand.centres for worker in parts
        ):
            return {}
        if any(not part.mask for part in parts.values()):
            return {}
        if demand.level == "worker":
            if len(parts) != 1:
                return {}
            ((worker, part),) = parts.items()
            cell = cells.find_enclosing_cell(part.mask, demand.size)
            return (
                {worker: cell} if cell & ~worker.full_mask == 0 != cell else {}
            )
        if any(worker.full_mask != cells.FULL_MASK for worker in parts):
            return {}
        return dict.fromkeys(parts, cells.FULL_MASK)

    def _can_bind(
        self,
        binding: Binding,
        masks: dict[worker_states.WorkerState, int],
        parts: WorkerAllocations,
    ) -> bool:
        name = binding.slot.name
        for worker, mask in masks.items():
            kept = worker.bound_masks.get(name)
            if kept is None and not worker.can_bind(mask):
                return False
            if kept is not None and kept != mask:
                return False
            if not self._fits_resource_share(
                binding, worker, mask, parts[worker]
            ):
                return False
        together = {**binding.masks, **masks}
        demand = binding.slot.demand
        if demand.level == "worker":
            return len(together) == 1
        if len(together) > demand.size:
            return False
        if demand.level == "rack":
            return len({worker.rack for worker in together}) == 1
        return len({worker.data_centre for worker in together}) == 1

    def _fits_resource_share(
        self,
        binding: Binding,
        worker: worker_states.WorkerState,
        mask: int,
        part: worker_states.WorkerAllocation,
    ) -> bool:
        processors = part.processors
        memory = part.memory
        for parts in binding.by_job.values():
            if worker in parts:
                processors += parts[worker].processors
                memory += parts[worker].memory
        count = mask.bit_count()
        return (
            processors <= count * worker.processor_share
            and memory <= count * worker.memory_share
        )

    def _set_masks(
        self, binding: Binding, masks: dict[worker_states.WorkerState, int]
    ) -> None:
        name = binding.slot.name
        for worker in binding.masks:
            if worker not in masks:
                worker.unbind(name)
                self.update_supply(worker)
        for worker, mask in masks.items():
            if worker not in binding.masks:
                worker.bind(name, mask)
                self.update_supply(worker)
        binding.masks = masks

    def _update_demand(self, binding: Binding, sign: int) -> None:
        """Add or subtract the demand of a slot beyond its bound cells.

        Args:
            binding: The binding of the slot.
            sign: 1 to add, -1 to subtract.
        """
        self.version += 1
        demand = binding.slot.demand
        if not binding.masks or not binding.is_usable:
            self._add_count(self._unbound, demand, sign)
            return
        rest = demand.size - len(binding.masks)
        if demand.level == "worker" or not rest:
            return
        worker = next(iter(binding.masks))
        if demand.level == "rack":
            kept = self._reserved_workers.get(worker.rack, 0) + sign * rest
            self._reserved_workers[worker.rack] = kept
            return
        near = packing.Demand(demand.level, rest, (worker.data_centre,))
        self._add_count(self._remaining, near, sign)

    def _find_overcommitted(self) -> packing.UnmetDemands:
        """Count conflicting cells and reservations that racks can't cover.

        Reservations exceed the whole workers of a rack when some of these
        are no longer usable.
        """
        unmet: packing.UnmetDemands = {}
        for worker, count in self._conflicts.items():
            if count:
                twice = packing.Demand("twice", 1, (worker.data_centre,))
                self._add_count(unmet, twice, count)
        for centre, racks in self._whole_workers.items():
            for rack, whole in racks.items():
                missing = self._reserved_workers.get(rack, 0) - whole
                if missing > 0:
                    self._add_count(
                        unmet, packing.Demand("kept", 1, (centre,)), missing
                    )
        return unmet

    @staticmethod
    def _add_count(
        counts: dict[packing.Demand, int], demand: packing.Demand, count: int
    ) -> None:
        counts[demand] = counts.get(demand, 0) + count
