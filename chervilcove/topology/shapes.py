"""Shapes: a number of accelerators and the level that they lie within."""

import math
from typing import NamedTuple

from chervilcove.topology import cells

LEVELS = ("accelerator", "pair", "quad", "worker", "rack", "data_centre")
_MAX_ACCELERATORS = {"accelerator": 1, "pair": 2, "quad": 4, "worker": 8}


class Shape(NamedTuple):
    """Describe a shape in whole cells.

    Attributes:
        level: "worker" for one cell of a worker, else "rack" or
            "data_centre" for whole workers within one of these.
        size: Accelerators of the cell, or number of whole workers.
    """

    level: str
    size: int

    @property
    def accelerators(self) -> int:
        """Return the accelerators that the shape takes up."""
        if self.level == "worker":
            return self.size
        return self.size * cells.ACCELERATORS


def get_limit(adjacent: str) -> int | None:
    """Return the most accelerators within one `adjacent`, None for any."""
    return _MAX_ACCELERATORS.get(adjacent)


def make_shape(*, accelerators: int, adjacent: str) -> Shape | None:
    """Round a shape up to whole cells.

    Up to 8 accelerators lie in one cell of a worker, which is at least as
    adjacent as asked. More take whole workers.

    Returns:
        The shape, or None where no such shape can exist.
    """
    limit = get_limit(adjacent)
    if adjacent not in LEVELS or accelerators < 1:
        return None
    if limit is not None and accelerators > limit:
        return None
    if accelerators <= cells.ACCELERATORS:
        return Shape("worker", cells.get_cell_size(accelerators))
    return Shape(adjacent, math.ceil(accelerators / cells.ACCELERATORS))
