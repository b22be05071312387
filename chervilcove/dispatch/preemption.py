"""Whose room is freed for work that can't wait.

Load pattern: a burst of urgent jobs meets a full pool. Tasks are stopped in
order of the work that is lost with them, and those whose room turns out not
to be needed are spared. The same search, in order of expected ends, finds
the workers that a gang in danger of starving should wait for.
"""

from typing import NamedTuple

from chervilcove.dispatch import placement
from chervilcove.dispatch import rooms as room_values
from chervilcove.jobs import table


class Release(NamedTuple):
    """Hold a unit whose room may come free.

    Attributes:
        unit: The unit.
        placed: The room that it holds.
        cost: What freeing it costs: lost core-seconds, or seconds to wait.
    """

    unit: table.UnitKey
    placed: room_values.Placed
    cost: float


class Freed(NamedTuple):
    """Hold a placement that stands once `releases` are over."""

    placed: room_values.Placed
    releases: tuple[Release, ...]


def find_release(
    rooms: room_values.Rooms, ask: placement.Ask, releases: list[Release]
) -> Freed | None:
    """Return the cheapest units found whose end makes room for `ask`.

    Args:
        rooms: Room now; it is the same afterwards.
        ask: A request for all of its tasks.
        releases: Units that may be freed, the cheapest first.
    """
    search = _Search(rooms, ask, releases)
    try:
        return search.run()
    finally:
        search.restore()


class _Search:
    """Search once; the cost of a step is that of a placement.

    Load pattern: dozens of urgent gangs wait in a pool of hundreds of runs.
    Trying each run in turn took seconds a round, in which the owner neither
    renewed leases nor read answers.
    """

    def __init__(
        self,
        rooms: room_values.Rooms,
        ask: placement.Ask,
        releases: list[Release],
    ):
        self._rooms = rooms
        self._ask = ask
        self._releases = releases
        self._freed: list[Release] = []

    def run(self) -> Freed | None:
        """Return the placement and what it frees."""
        if self._place_with(len(self._releases)) is None:
            return None
        placed = self._place_with(self._find_least())
        if placed is None:
            return None
        return Freed(self._spare(placed), tuple(self._freed))

    def restore(self) -> None:
        """Take back all room that is freed."""
        for release in self._freed:
            self._rooms.take(release.placed)

    def _find_least(self) -> int:
        """Return how many of the cheapest must be freed.

        More room never unmakes a placement, so halving finds it.
        """
        low, high = 0, len(self._releases)
        while low < high:
            middle = (low + high) // 2
            if self._place_with(middle) is None:
                low = middle + 1
            else:
                high = middle
        return low

    def _place_with(self, count: int) -> room_values.Placed | None:
        """Return the placement once the `count` cheapest are freed."""
        for release in self._releases[len(self._freed) : count]:
            self._rooms.free(release.placed)
            self._freed.append(release)
        while len(self._freed) > count:
            self._rooms.take(self._freed.pop().placed)
        return _place_all(self._rooms, self._ask)

    def _spare(self, placed: room_values.Placed) -> room_values.Placed:
        """Take back what the placement doesn't need, the dearest first."""
        needed: list[Release] = []
        for release in reversed(self._freed):
            self._rooms.take(release.placed)
            if not set(release.placed.workers).isdisjoint(placed.workers):
                spared = _place_all(self._rooms, self._ask)
                if spared is None:
                    self._rooms.free(release.placed)
                    needed.append(release)
                else:
                    placed = spared
        self._freed = needed[::-1]
        return placed


def _place_all(
    rooms: room_values.Rooms, ask: placement.Ask
) -> room_values.Placed | None:
    placed = placement.place(rooms, ask)
    if placed is None or len(placed.workers) < ask.count:
        return None
    return placed
