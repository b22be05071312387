"""How long a step waits for the place that it should have.

Load pattern: racks in part use. Away from its rack a gang, or from its data a
task, takes three times as long and holds its workers for as long; it goes
there only where the users' rules ask for a start.
"""

from collections.abc import Iterable

from chervilcove.dispatch import order
from chervilcove.dispatch import rooms as room_values
from chervilcove.dispatch import situation
from chervilcove.dispatch import wants
from chervilcove.jobs import table

# Wait for a place near the data while under half of the pool is in use,
# milliseconds; the users' rules allow 3 s with nothing running there.
PATIENCE_MS = 2_000
# Time that a gang is due, after which what is in its way to one rack is
# stopped; with the stop it fits into its patience.
RESCUE_MS = 800
# Time kept to decide and start within a guarantee, beside the stop of what is
# in the way, milliseconds.
RECLAIM_MARGIN_MS = 500


class Patience:
    """Tell which steps still wait for their place.

    It reads the room as it is before any start of the round.

    Args:
        now: The situation.
        waiting: All steps that wait.

    Attributes:
        due_since: Since when steps are due, Unix milliseconds.
    """

    def __init__(self, now: situation.Situation, waiting: Iterable[wants.Want]):
        self._now = now
        self._half_empty: dict[str, bool] = {}  # by service
        self.due_since = {
            want.turn: now.due_since.get(want.turn, now.now_ms)
            for want in waiting
            if self._is_due(want)
        }

    def get_due_ms(self, want: wants.Want) -> int:
        """Return how long a step has been due, 0 if it isn't."""
        now_ms = self._now.now_ms
        return now_ms - self.due_since.get(want.turn, now_ms)

    def is_patient(self, want: wants.Want) -> bool:
        """Tell whether a step waits for the rack that it needs.

        On other racks it takes three times as long, and holds its places
        for as long: it goes there only where it would break a guarantee,
        where its rack can't hold it, or while much of the pool is idle.
        """
        step = want.described
        if not (step.data_rack or (step.same_rack and step.is_gang)):
            return False
        if not self._has_rack(want):
            return False
        waited_ms = self._now.now_ms - want.standing.since_ms
        if want.standing.tier is order.Tier.GUARANTEED:
            bounds = self._now.bounds
            return waited_ms < bounds.reclaim_ms - 2 * RECLAIM_MARGIN_MS
        if step.is_lasting:
            # It has to run however full the pool is.
            return waited_ms < PATIENCE_MS
        return self.get_due_ms(want) < PATIENCE_MS

    def needs_rescue(self, want: wants.Want) -> bool:
        """Tell whether a gang may stop single tasks to get one rack.

        Load pattern: small tasks in every rack of a pool that is half empty.
        Elsewhere than in one rack the gang would hold its workers three
        times as long, which costs more than the tasks in its way.
        """
        step = want.described
        return (
            self.get_due_ms(want) >= RESCUE_MS
            and step.is_gang
            and step.same_rack
            and self._has_rack(want)
        )

    def is_careful(self, want: wants.Want, unit: table.UnitKey) -> bool:
        """Tell whether a unit waits for workers without failures.

        Load pattern: workers that fail part of what they start, for seconds.
        A unit that failed is near the end of its attempts, and its job earns
        nothing without it.
        """
        return (
            want.job.get_unit(unit).failures > 0
            and want.standing.tier is not order.Tier.WORTHLESS
            and self.get_due_ms(want) < PATIENCE_MS
        )

    def _is_due(self, want: wants.Want) -> bool:
        """Tell whether a step has to begin soon, be its place the best or not.

        The users' rules have it begin within 3 s in which under half of the
        pool is in use and there is room for it twice over.
        """
        service = want.queue.service
        if service not in self._half_empty:
            self._half_empty[service] = self._is_half_empty(service)
        step = want.described
        twice = 2 * step.count if step.is_gang else 2
        return self._half_empty[service] and self._has_room(want, twice)

    def _has_room(self, want: wants.Want, count: int) -> bool:
        """Tell whether there is room for `count` tasks of a step."""
        step = want.described
        rooms = self._now.rooms.list_open(want.queue.service, step.label)
        fitting = (
            room_values.count_fitting(room.free, step.need, count)
            for room in rooms
        )
        return sum(fitting) >= count

    def _has_rack(self, want: wants.Want) -> bool:
        """Tell whether a rack that the step needs could hold it if empty."""
        step = want.described
        least = step.count if step.is_gang else 1
        rooms = self._now.rooms.list_open(want.queue.service, step.label)
        return any(
            sum(
                room_values.count_fitting(
                    room.worker.capacity, step.need, least
                )
                for room in group
            )
            >= least
            for rack, group in room_values.group_by_rack(rooms).items()
            if step.data_rack in ("", rack)
        )

    def _is_half_empty(self, service: str) -> bool:
        rooms = self._now.rooms.list_open(service, "")
        whole = sum(room.worker.capacity.accelerators for room in rooms)
        return room_values.count_free(rooms) * 2 > whole
