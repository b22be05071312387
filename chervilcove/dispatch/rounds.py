"""One round of decisions: what starts where, and what is stopped for it.

The round is pure: it reads the job table, the room on workers and what runs,
and returns a plan. The owner writes the plan to the ledger and carries it
out.
"""

import itertools
from typing import NamedTuple

from chervilcove.dispatch import headroom
from chervilcove.dispatch import order
from chervilcove.dispatch import patience
from chervilcove.dispatch import placement
from chervilcove.dispatch import preemption
from chervilcove.dispatch import rooms as room_values
from chervilcove.dispatch import situation
from chervilcove.dispatch import wants
from chervilcove.jobs import table

# Work that may be thrown away for an urgent job of mean size, core-seconds: at
# the users' price of 0.0023 a core-second, a third of what it earns more if it
# is in time. Beyond it only a guarantee that would else be broken counts.
MOST_LOST = 450.0
# Worth of a job by its work against the mean of its queue; from the users'
# rules on payoff.
BASE_WORTH = 0.3
MOST_WORTH = 4.0
# Part of its slack that a gang waits before places are kept free for it.
KEEP_AFTER_SHARE = 0.4
MOST_KEPT = 2  # gangs for which places are kept at one time; bounds idling
# Slack under which other work does not wait for the room kept for urgent work:
# a stop of what is in the way and as much again, milliseconds; or this part of
# what it had at first, which in replays of recorded days (bursts) has no more
# of the next priority late than if no room is kept.
PRESSING_SLACK_MS = 2_000
PRESSING_SLACK_SHARE = 0.75


class Start(NamedTuple):
    """Order a run of one unit.

    Attributes:
        unit: The unit.
        workers: A worker for each of its tasks.
        slack_ms: Slack of its job when it was decided.
        waited_ms: Time since its turn came.
    """

    unit: table.UnitKey
    workers: tuple[str, ...]
    slack_ms: float
    waited_ms: float


class Stop(NamedTuple):
    """Order the end of a run for the sake of another unit."""

    unit: table.UnitKey
    beneficiary: str
    loss: float


class Plan(NamedTuple):
    """Hold what a round decided.

    Attributes:
        starts: Runs to order.
        stops: Runs to end.
        due_since: Since when steps are due, in Unix milliseconds: the room
            is there, but not where they should run. For the next round.
        headroom: Room that was kept free for urgent work, None for none.
    """

    starts: list[Start]
    stops: list[Stop]
    due_since: dict[tuple[str, int, int], int]
    headroom: room_values.Placed | None = None


def decide(now: situation.Situation) -> Plan:
    """Return the plan of one round."""
    return _Round(now).run()


class _Round:
    """Decide once.

    Room taken by a start, or kept for a unit that waits, is given back at
    the end: the owner takes it again as it carries the plan out.
    """

    def __init__(self, now: situation.Situation):
        self._now = now
        self._taken: list[room_values.Placed] = []
        self._starts: list[Start] = []
        self._stops: list[Stop] = []
        self._stopped: set[table.UnitKey] = set()
        self._kept = 0
        self._headroom: room_values.Placed | None = None
        self._waiting = wants.list_wants(now)
        self._patience = patience.Patience(now, self._waiting)

    def run(self) -> Plan:
        """Return the plan."""
        pressing = list(itertools.takewhile(_is_pressing, self._waiting))
        rest = self._waiting[len(pressing) :]
        try:
            for want in pressing:
                self._serve(want)
            self._keep_headroom()
            for want in rest:
                self._serve_beside_headroom(want)
        finally:
            if self._headroom is not None:
                self._now.rooms.free(self._headroom)
            for placed in self._taken:
                self._now.rooms.free(placed)
        return Plan(
            self._starts,
            self._stops,
            self._patience.due_since,
            self._headroom,
        )

    def _keep_headroom(self) -> None:
        """Keep room free for the next urgent job."""
        shape = headroom.choose_shape(self._now.urgent, self._now.now_ms)
        if shape is None:
            return
        self._headroom = headroom.find_room(self._now.rooms, shape)
        if self._headroom is not None:
            self._now.rooms.take(self._headroom)

    def _serve_beside_headroom(self, want: wants.Want) -> None:
        """Serve a step beside the room kept, or from it once it is due."""
        is_due = self._patience.get_due_ms(want) >= patience.RESCUE_MS
        if self._headroom is None or not is_due:
            self._serve(want)
            return
        self._now.rooms.free(self._headroom)
        self._serve(want)
        self._now.rooms.take(self._headroom)

    def _serve(self, want: wants.Want) -> None:
        units = [
            unit
            for unit in want.job.list_waiting(want.occurrence, want.step)
            if not self._now.is_resting(unit)
        ]
        allowed = None
        if want.queue.needs_advice:
            allowed = self._now.get_grants(want.turn)
            if allowed is None:
                return
        # Those that failed choose first: fewer workers will do for them.
        for is_careful in (True, False):
            chosen = [
                unit
                for unit in units
                if self._patience.is_careful(want, unit) == is_careful
            ]
            if chosen:
                self._serve_units(want, chosen, allowed, is_careful=is_careful)

    def _serve_units(
        self,
        want: wants.Want,
        units: list[table.UnitKey],
        allowed: frozenset[str] | None,
        *,
        is_careful: bool,
    ) -> None:
        is_gang = want.described.is_gang
        ask = placement.Ask(
            turn=want.turn,
            step=want.described,
            count=want.described.count if is_gang else len(units),
            service=want.queue.service,
            is_patient=self._patience.is_patient(want),
            allowed=allowed,
            is_careful=is_careful,
        )
        placed = placement.place(self._now.rooms, ask)
        if placed is not None:
            self._start(want, units, placed)
            missing = 0 if is_gang else len(units) - len(placed.workers)
            if not missing:
                return
            ask = ask._replace(count=missing)
        if want.standing.tier in (order.Tier.GUARANTEED, order.Tier.URGENT):
            self._preempt(want, ask)
        elif self._patience.needs_rescue(want):
            self._preempt(want, ask, is_rescue=True)
        else:
            self._keep(want, ask)

    def _start(
        self,
        want: wants.Want,
        units: list[table.UnitKey],
        placed: room_values.Placed,
    ) -> None:
        self._take(placed)
        waited_ms = self._now.now_ms - want.standing.since_ms
        slack_ms = want.standing.slack_ms
        if want.described.is_gang:
            self._starts.append(
                Start(units[0], placed.workers, slack_ms, waited_ms)
            )
            return
        for unit, worker in zip(units, placed.workers, strict=False):
            self._starts.append(Start(unit, (worker,), slack_ms, waited_ms))

    def _preempt(
        self, want: wants.Want, ask: placement.Ask, *, is_rescue: bool = False
    ) -> None:
        """Free room for a step, or keep what is being freed.

        For a rescue only single tasks are stopped: they rescue no one, so
        that no two units stop each other in turn.
        """
        releases = sorted(
            (
                preemption.Release(
                    unit,
                    running.placed,
                    0.0 if self._is_stopping(unit) else running.compute_loss(),
                )
                for unit, running in self._now.running.items()
                if self._is_stopping(unit)
                or not (
                    running.is_urgent
                    or self._is_lasting(unit)
                    or (is_rescue and len(running.placed.workers) > 1)
                )
            ),
            key=lambda release: (release.cost, release.unit.format()),
        )
        freed = preemption.find_release(self._now.rooms, ask, releases)
        if freed is None:
            return
        loss = sum(release.cost for release in freed.releases)
        if is_rescue:
            # Elsewhere it would take its own work twice more.
            most = wants.compute_work(want.job.spec)
        else:
            most = MOST_LOST * self._weigh(want)
        if loss > most and not self._must_begin(want):
            return
        for release in freed.releases:
            if not self._is_stopping(release.unit):
                self._stopped.add(release.unit)
                self._stops.append(
                    Stop(release.unit, want.job.id, release.cost)
                )
        self._take(freed.placed)

    def _weigh(self, want: wants.Want) -> float:
        """Return the worth of a job against the mean of its queue."""
        mean = self._now.mean_work.get(want.queue.name, 0.0)
        if mean <= 0.0:
            return 1.0
        share = wants.compute_work(want.job.spec) / mean
        return min(BASE_WORTH + (1 - BASE_WORTH) * share, MOST_WORTH)

    def _must_begin(self, want: wants.Want) -> bool:
        """Tell whether a guarantee leaves no more time to wait."""
        if want.standing.tier is not order.Tier.GUARANTEED:
            return False
        bounds = self._now.bounds
        waited_ms = self._now.now_ms - want.standing.since_ms
        margin_ms = 2 * patience.RECLAIM_MARGIN_MS
        return waited_ms >= bounds.reclaim_ms - bounds.stop_ms - margin_ms

    def _keep(self, want: wants.Want, ask: placement.Ask) -> None:
        """Keep places free for work that is in danger of starving."""
        standing = want.standing
        share = 1.0 - standing.slack_ms / max(1.0, standing.total_slack_ms)
        if self._kept >= MOST_KEPT or share < KEEP_AFTER_SHARE:
            return
        if not ask.step.is_gang:
            ask = ask._replace(count=1)
        releases = sorted(
            (
                preemption.Release(unit, running.placed, running.left_s)
                for unit, running in self._now.running.items()
            ),
            key=lambda release: (release.cost, release.unit.format()),
        )
        freed = preemption.find_release(self._now.rooms, ask, releases)
        if freed is not None:
            self._kept += 1
            self._take(freed.placed)

    def _take(self, placed: room_values.Placed) -> None:
        self._now.rooms.take(placed)
        self._taken.append(placed)

    def _is_stopping(self, unit: table.UnitKey) -> bool:
        return unit in self._stopped or self._now.running[unit].is_stopping

    def _is_lasting(self, unit: table.UnitKey) -> bool:
        running = self._now.running[unit]
        return running.left_s == float("inf")


def _is_pressing(want: wants.Want) -> bool:
    """Tell whether a step can't leave room for urgent work to come."""
    standing = want.standing
    if standing.is_urgent or want.described.is_lasting:
        return True
    return standing.tier is order.Tier.IN_TIME and standing.slack_ms < max(
        PRESSING_SLACK_MS,
        PRESSING_SLACK_SHARE * standing.total_slack_ms,
    )
