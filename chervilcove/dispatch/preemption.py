"""Search for the running units whose end makes room for a step.

A burst of urgent jobs meets a full pool. Running units are preempted in order
of the work that is lost with them, and those whose resources turn out not to be
needed are spared. The same search, in order of expected ends, finds the workers
to reserve for a gang that is in danger of starving.
"""

from typing import NamedTuple

from chervilcove.dispatch import placement
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import table


class ReleaseCandidate(NamedTuple):
    """A running unit whose resources may be released.

    Attributes:
        unit: The unit.
        allocation: Its allocation.
        cost: Cost of its release: core-seconds lost, or seconds to wait.
    """

    unit: table.UnitKey
    allocation: resource_values.Allocation
    cost: float


class ReleasePlan(NamedTuple):
    """An allocation that is possible once the units in `releases` ended."""

    allocation: resource_values.Allocation
    releases: tuple[ReleaseCandidate, ...]


def find_release_plan(
    resources: resource_values.FleetResources,
    request: placement.PlacementRequest,
    candidates: list[ReleaseCandidate],
) -> ReleasePlan | None:
    """Return a cheap set of units whose end makes room for all tasks.

    The set is minimal: without any one of its units the tasks don't fit. It
    needn't be the cheapest set.

    Args:
        resources: State of all workers; unchanged on return.
        request: Request that needs workers for all of its tasks.
        candidates: Units that may be released, cheapest first.

    Returns:
        None if the tasks don't fit even if all candidates end.
    """
    search = _Search(resources, request, candidates)
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
        resources: resource_values.FleetResources,
        request: placement.PlacementRequest,
        candidates: list[ReleaseCandidate],
    ):
        self._resources = resources
        self._request = request
        self._candidates = candidates
        self._released: list[ReleaseCandidate] = []

    def run(self) -> ReleasePlan | None:
        """Return the plan, None if there is none."""
        if self._place_with(len(self._candidates)) is None:
            return None
        allocation = self._place_with(self._find_min_count())
        if allocation is None:
            return None
        return ReleasePlan(
            self._drop_unneeded(allocation), tuple(self._released)
        )

    def restore(self) -> None:
        """Allocate again all that the search released."""
        for candidate in self._released:
            self._resources.allocate(candidate.allocation)

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

    def _place_with(self, count: int) -> resource_values.Allocation | None:
        """Return the placement with the `count` cheapest released."""
        for candidate in self._candidates[len(self._released) : count]:
            self._resources.release(candidate.allocation)
            self._released.append(candidate)
        while len(self._released) > count:
            self._resources.allocate(self._released.pop().allocation)
        return _place_all(self._resources, self._request)

    def _drop_unneeded(
        self, allocation: resource_values.Allocation
    ) -> resource_values.Allocation:
        """Spare the units that the placement doesn't need, costliest first."""
        needed: list[ReleaseCandidate] = []
        for candidate in reversed(self._released):
            self._resources.allocate(candidate.allocation)
            if not set(candidate.allocation.workers).isdisjoint(
                allocation.workers
            ):
                retried = _place_all(self._resources, self._request)
                if retried is None:
                    self._resources.release(candidate.allocation)
                    needed.append(candidate)
                else:
                    allocation = retried
        self._released = needed[::-1]
        return allocation


def _place_all(
    resources: resource_values.FleetResources,
    request: placement.PlacementRequest,
) -> resource_values.Allocation | None:
    """Return a placement of all requested tasks, None if some don't fit."""
    allocation = placement.place(resources, request)
    if allocation is None or len(allocation.workers) < request.count:
        return None
    return allocation
