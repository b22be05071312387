"""Search for the running units whose end makes room for a step.

A burst of urgent jobs meets a full pool. Running units are preempted in order
of the work that is lost with them, and those whose resources turn out not to be
needed are spared. The same search, in order of expected ends, finds the workers
to reserve for a gang that is in danger of starving.
"""

from typing import NamedTuple

from chervilcove.dispatch import placement
from chervilcove.dispatch import rooms as room_values
from chervilcove.jobs import table


class ReleaseCandidate(NamedTuple):
    """A running unit whose resources may be released.

    Attributes:
        unit: The unit.
        placed: Its allocation.
        cost: Cost of its release: core-seconds lost, or seconds to wait.
    """

    unit: table.UnitKey
    placed: room_values.Placed
    cost: float


class ReleasePlan(NamedTuple):
    """An allocation that is possible once the units in `releases` ended."""

    placed: room_values.Placed
    releases: tuple[ReleaseCandidate, ...]


def find_release_plan(
    rooms: room_values.Rooms,
    request: placement.PlacementRequest,
    candidates: list[ReleaseCandidate],
) -> ReleasePlan | None:
    """Return a cheap set of units whose end makes room for all tasks.

    The set is minimal: without any one of its units the tasks don't fit. It
    needn't be the cheapest set.

    Args:
        rooms: State of all workers; unchanged on return.
        request: Request that needs workers for all of its tasks.
        candidates: Units that may be released, cheapest first.

    Returns:
        None if the tasks don't fit even if all candidates end.
    """
    search = _Search(rooms, request, candidates)
    try:
        return search.run()
    finally:
        search.restore()


class _Search:
    """Search for one release plan.

    Its cost is dominated by the placements that it tries. Dozens of urgent
    gangs may wait in a pool of hundreds of runs: trying the runs one by one
    took seconds a round, in which the owner neither renewed leases nor read
    answers.
    """

    def __init__(
        self,
        rooms: room_values.Rooms,
        request: placement.PlacementRequest,
        candidates: list[ReleaseCandidate],
    ):
        self._rooms = rooms
        self._request = request
        self._candidates = candidates
        self._released: list[ReleaseCandidate] = []

    def run(self) -> ReleasePlan | None:
        """Return the plan, None if there is none."""
        if self._place_with(len(self._candidates)) is None:
            return None
        placed = self._place_with(self._find_min_count())
        if placed is None:
            return None
        return ReleasePlan(self._drop_unneeded(placed), tuple(self._released))

    def restore(self) -> None:
        """Allocate again all that the search released."""
        for candidate in self._released:
            self._rooms.take(candidate.placed)

    def _find_min_count(self) -> int:
        """Return how many of the cheapest candidates must be released.

        Releasing more never makes a possible placement impossible, so a binary
        search finds the number.
        """
        low, high = 0, len(self._candidates)
        while low < high:
            middle = (low + high) // 2
            if self._place_with(middle) is None:
                low = middle + 1
            else:
                high = middle
        return low

    def _place_with(self, count: int) -> room_values.Placed | None:
        """Return the placement with the `count` cheapest released."""
        for candidate in self._candidates[len(self._released) : count]:
            self._rooms.free(candidate.placed)
            self._released.append(candidate)
        while len(self._released) > count:
            self._rooms.take(self._released.pop().placed)
        return _place_all(self._rooms, self._request)

    def _drop_unneeded(self, placed: room_values.Placed) -> room_values.Placed:
        """Spare the units that the placement doesn't need, costliest first."""
        needed: list[ReleaseCandidate] = []
        for candidate in reversed(self._released):
            self._rooms.take(candidate.placed)
            if not set(candidate.placed.workers).isdisjoint(placed.workers):
                retried = _place_all(self._rooms, self._request)
                if retried is None:
                    self._rooms.free(candidate.placed)
                    needed.append(candidate)
                else:
                    placed = retried
        self._released = needed[::-1]
        return placed


def _place_all(
    rooms: room_values.Rooms, request: placement.PlacementRequest
) -> room_values.Placed | None:
    """Return a placement of all requested tasks, None if some don't fit."""
    placed = placement.place(rooms, request)
    if placed is None or len(placed.workers) < request.count:
        return None
    return placed
