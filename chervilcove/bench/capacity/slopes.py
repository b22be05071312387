"""Least-squares lines through measured points."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy


class Slope(NamedTuple):
    """Hold a line fitted to measured points.

    Attributes:
        unit: Units of y and x, as in "ms per task".
        points: Measured points, (x, y).
        per_unit: Slope of the line.
        spread: Least and greatest slope between neighbouring points.
        base: Value of the line at x = 0.
    """

    unit: str
    points: tuple[tuple[float, float], ...]
    per_unit: float
    spread: tuple[float, float]
    base: float

    def compute(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.base + self.per_unit * x


def fit(unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through three or more points."""
    xs = numpy.array([point[0] for point in points], dtype=float)
    ys = numpy.array([point[1] for point in points], dtype=float)
    slope, base = numpy.polyfit(xs, ys, 1)
    neighbour_slopes = numpy.diff(ys) / numpy.diff(xs)
    return Slope(
        unit=unit,
        points=tuple((float(x), float(y)) for x, y in points),
        per_unit=float(slope),
        spread=(float(neighbour_slopes.min()), float(neighbour_slopes.max())),
        base=float(base),
    )
