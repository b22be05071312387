"""Check whether all requested shapes fit into a supply at the same time.

The check constructs a packing, so a positive answer is proved. It counts
cells instead of naming accelerators: workers of one rack without bound or
non-preemptible work are interchangeable, and so are cells of one size in one
data centre. A negative answer may be wrong for shapes that are allowed in
several data centres, because only a few packing orders are tried.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from chervilcove.topology import cells

# Sorts demands without a restriction after those that list data centres.
UNRESTRICTED_CENTRE_COUNT = 64
_SIZE_INDEX = {1: 0, 2: 1, 4: 2}


class Demand(NamedTuple):
    """A requested shape and the data centres where it may be placed.

    Attributes:
        level: Level of the shape, as in `shapes.Shape`.
        size: Size of the shape, as in `shapes.Shape`.
        centres: Allowed data centres, sorted; empty for all.
    """

    level: str
    size: int
    centres: tuple[str, ...]

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of one such shape."""
        return self.size if self.level == "worker" else self.size * 8


class DataCentreSupply(NamedTuple):
    """Capacity of one data centre, in cells.

    Attributes:
        racks: Number of whole workers in each rack.
        blocks: Numbers of blocks of 1, 2 and 4 accelerators on workers that
            are not whole.
    """

    racks: list[int]
    blocks: list[int]


Supply = Mapping[str, DataCentreSupply]
UnmetDemands = dict[Demand, int]


def pack(supply: Supply, demands: Mapping[Demand, int]) -> UnmetDemands:
    """Pack `demands` into `supply`.

    Several orders are tried until one packs everything. If none does, the
    result of the order that leaves the fewest shapes unplaced is returned.

    Returns:
        The number of unplaced shapes by demand, empty if all fit.
    """
    wanted = [(demand, n) for demand, n in demands.items() if n > 0]
    best: UnmetDemands | None = None
    for by_size in (True, False):
        wanted.sort(
            key=_order_by_size if by_size else _order_by_allowed_centres
        )
        for by_slack in (False, True):
            unmet = _Packing(supply, wanted, by_slack).run()
            if not unmet:
                return {}
            if best is None or sum(unmet.values()) < sum(best.values()):
                best = unmet
    return best or {}


def increases_unmet(before: UnmetDemands, after: UnmetDemands) -> bool:
    """Tell whether any demand has more unplaced shapes after than before."""
    return any(count > before.get(key, 0) for key, count in after.items())


def _count_allowed_centres(demand: Demand) -> int:
    return len(demand.centres) or UNRESTRICTED_CENTRE_COUNT


_LEVEL_ORDER = {"rack": 0, "data_centre": 1, "worker": 2}


def _order_by_size(item: tuple[Demand, int]) -> tuple:
    demand = item[0]
    level = _LEVEL_ORDER[demand.level]
    return level, -demand.size, _count_allowed_centres(demand), demand.centres


def _order_by_allowed_centres(item: tuple[Demand, int]) -> tuple:
    demand = item[0]
    level = _LEVEL_ORDER[demand.level]
    return _count_allowed_centres(demand), level, -demand.size, demand.centres


class _CentreState:
    """Remaining capacity of a data centre during packing.

    Attributes:
        rack_counts: Number of racks by their number of whole workers.
        whole_workers: Number of whole workers in all racks.
        blocks: Numbers of blocks of 1, 2 and 4 accelerators.
        slack: Remaining accelerators, less those of the demands that are
            restricted to this data centre.
    """

    def __init__(self, supply: DataCentreSupply):
        self.rack_counts = [0] * (max(supply.racks, default=0) + 1)
        for count in supply.racks:
            self.rack_counts[max(count, 0)] += 1
        self.whole_workers = sum(supply.racks)
        self.blocks = list(supply.blocks)
        self.slack = self.whole_workers * cells.ACCELERATORS_PER_WORKER
        self.slack += sum(n << i for i, n in enumerate(self.blocks))

    def find_rack_size(self, size: int) -> int:
        """Find the rack with the fewest whole workers that has `size`.

        Returns:
            The number of whole workers of that rack, 0 if there is none.
        """
        for count in range(size, len(self.rack_counts)):
            if self.rack_counts[count]:
                return count
        return 0

    def take_rack(self, count: int, size: int) -> None:
        """Take `size` workers from a rack with `count` whole workers."""
        self.rack_counts[count] -= 1
        self.rack_counts[count - size] += 1
        self.whole_workers -= size

    def take_workers(self, size: int) -> None:
        """Take `size` workers, from the racks with the fewest ones first."""
        while size:
            count = self.find_rack_size(1)
            racks = min(size // count, self.rack_counts[count])
            if racks:
                self.rack_counts[count] -= racks
                self.rack_counts[0] += racks
                self.whole_workers -= racks * count
                size -= racks * count
            else:
                self.take_rack(count, size)
                size = 0

    def find_block_size(self, size: int) -> int:
        """Return the size of the smallest block that holds `size`, or 0.

        Whole workers count as blocks of 8.
        """
        for block, index in _SIZE_INDEX.items():
            if block >= size and self.blocks[index]:
                return block
        return cells.ACCELERATORS_PER_WORKER if self.whole_workers else 0

    def take_cells(self, block: int, size: int, max_count: int) -> int:
        """Take up to `max_count` cells of `size` from blocks of size `block`.

        Returns:
            The number of cells taken, at least 1.
        """
        cells_in_block = block // size
        blocks = min(-(-max_count // cells_in_block), self._count_blocks(block))
        taken = min(max_count, blocks * cells_in_block)
        self._add_blocks(block, -blocks)
        left = blocks * cells_in_block - taken
        self._add_remainder(left * size)
        return taken

    def _count_blocks(self, block: int) -> int:
        if block == cells.ACCELERATORS_PER_WORKER:
            return self.whole_workers
        return self.blocks[_SIZE_INDEX[block]]

    def _add_blocks(self, block: int, count: int) -> None:
        if block == cells.ACCELERATORS_PER_WORKER:
            self.take_workers(-count)
        else:
            self.blocks[_SIZE_INDEX[block]] += count

    def _add_remainder(self, accelerators: int) -> None:
        """Add the remainder of a split block as aligned smaller blocks."""
        for block, index in _SIZE_INDEX.items():
            if accelerators & block:
                self.blocks[index] += 1


class _Packing:
    """One packing of demands, in the given order, into a copy of the supply.

    With `by_slack` the data centre with the most slack is preferred, without
    it the one where the shape wastes the least.
    """

    def __init__(
        self,
        supply: Supply,
        wanted: Iterable[tuple[Demand, int]],
        by_slack: bool,
    ):
        self._wanted = wanted
        self._by_slack = by_slack
        self._centres = {
            name: _CentreState(supply[name]) for name in sorted(supply)
        }
        for demand, count in wanted:
            if len(demand.centres) == 1 and demand.centres[0] in supply:
                centre = self._centres[demand.centres[0]]
                centre.slack -= demand.accelerators * count

    def run(self) -> UnmetDemands:
        """Pack all demands and return the unplaced shapes."""
        unmet: UnmetDemands = {}
        for demand, count in self._wanted:
            left = count
            while left:
                taken = self._take(demand, left)
                if not taken:
                    unmet[demand] = left
                    break
                left -= taken
        return unmet

    def _take(self, demand: Demand, max_count: int) -> int:
        best: tuple | None = None
        for name in demand.centres or self._centres:
            centre = self._centres.get(name)
            waste = self._measure_waste(centre, demand) if centre else -1
            if waste < 0:
                continue
            key = (waste, -centre.slack)
            if self._by_slack:
                key = (-centre.slack, waste)
            if best is None or key < best[0]:
                best = (key, centre)
        if best is None:
            return 0
        centre = best[1]
        taken = self._take_from(centre, demand, max_count)
        if len(demand.centres) != 1:
            centre.slack -= demand.accelerators * taken
        return taken

    def _measure_waste(self, centre: _CentreState, demand: Demand) -> int:
        """Return by how much the best place exceeds the shape.

        Returns:
            Whole workers or accelerators, as the shape is counted, -1 if
            the shape has no place in the data centre.
        """
        if demand.level == "rack":
            found = centre.find_rack_size(demand.size)
            return found - demand.size if found else -1
        if demand.level == "data_centre":
            return 0 if centre.whole_workers >= demand.size else -1
        found = centre.find_block_size(demand.size)
        return found - demand.size if found else -1

    def _take_from(
        self, centre: _CentreState, demand: Demand, max_count: int
    ) -> int:
        if demand.level == "rack":
            centre.take_rack(centre.find_rack_size(demand.size), demand.size)
            return 1
        if demand.level == "data_centre":
            centre.take_workers(demand.size)
            return 1
        block = centre.find_block_size(demand.size)
        # Placing one cell at a time balances the data centres.
        max_count = 1 if self._by_slack else max_count
        return centre.take_cells(block, demand.size, max_count)
