"""Shapes: a number of accelerators within one level of the topology."""

import math
from typing import NamedTuple

from chervilcove.topology import cells

LEVELS = ("accelerator", "pair", "quad", "worker", "rack", "data_centre")
_MAX_ACCELERATORS = {"accelerator": 1, "pair": 2, "quad": 4, "worker": 8}


class Shape(NamedTuple):
    """A shape rounded up to whole cells.

    Attributes:
        level: "worker" for one cell of a worker, "rack" or "data_centre"
            for whole workers within one of these.
        size: Accelerators of the cell at level "worker", the number of
            whole workers at the other levels.
    """

    level: str
    size: int

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators that the shape occupies."""
        if self.level == "worker":
            return self.size
        return self.size * cells.ACCELERATORS_PER_WORKER


def get_max_accelerators(adjacent: str) -> int | None:
    """Return the maximum accelerators of one `adjacent`, None for no limit.

    Racks and data centres have no limit.
    """
    return _MAX_ACCELERATORS.get(adjacent)


def make_shape(*, accelerators: int, adjacent: str) -> Shape | None:
    """Round a request up to whole cells.

    Up to 8 accelerators are placed in one cell of a worker, which is at least
    as adjacent as requested. Larger requests get whole workers.

    Args:
        accelerators: Number of requested accelerators.
        adjacent: Level from `LEVELS` within which they must be placed.

    Returns:
        The shape, or None if no such shape can exist.
    """
    limit = get_max_accelerators(adjacent)
    if adjacent not in LEVELS or accelerators < 1:
        return None
    if limit is not None and accelerators > limit:
        return None
    if accelerators <= cells.ACCELERATORS_PER_WORKER:
        return Shape("worker", cells.get_cell_size(accelerators))
    return Shape(
        adjacent, math.ceil(accelerators / cells.ACCELERATORS_PER_WORKER)
    )
